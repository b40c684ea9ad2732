package io.indigoreach.cloud;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;

/**
 * Caches the machine types of the cloud. They are read from a copy in the state service, so that a node can start during a cloud
 * outage. If the copy does not exist, the node reads the types from the cloud and stores the copy. Used on the event loop only.
 */
public final class Catalogue {
    private static final Span RETRY_INTERVAL = Span.seconds(1);

    private final StateClient state;
    private final CloudClient cloud;
    private final PeriodicTask readTask;
    private List<MachineType> types = List.of();
    private boolean isStored;

    /** Creates an empty catalogue; {@link #start()} starts reading. */
    public Catalogue(Vertx vertx, StateClient state, CloudClient cloud) {
        this.state = state;
        this.cloud = cloud;
        this.readTask = new PeriodicTask(vertx, "catalogue", RETRY_INTERVAL, this::readStep);
    }

    /** Starts reading, and retries until the types are known. */
    public Catalogue start() {
        readTask.start();
        return this;
    }

    /** Stops reading. */
    public void stop() {
        readTask.cancel();
    }

    /** Returns whether the types are known. */
    public boolean isKnown() {
        return !types.isEmpty();
    }

    /** Returns the types, with their prices as of the read; empty if the types are not known yet. */
    public List<MachineType> types() {
        return types;
    }

    /** Reads the types from the cloud, with the current spot prices. */
    public Future<List<MachineType>> readCurrentTypes() {
        return cloud.readMachineTypes();
    }

    private Future<Span> readStep() {
        if (isKnown()) {
            readTask.cancel();
            return Future.succeededFuture(RETRY_INTERVAL);
        }
        return state.get(RecordKeys.CATALOGUE).compose(entry -> {
            if (entry != null) {
                types = CatalogueRecordCodec.readCatalogue(entry.value());
                isStored = isKnown();
                return Future.succeededFuture(Span.ZERO);
            }
            return cloud.readMachineTypes().compose(listedTypes -> {
                types = List.copyOf(listedTypes);
                return writeCopy().map(Span.ZERO);
            });
        });
    }

    /** Stores the copy unless it exists. Descriptions of types do not change, so the first node to read them can write it. */
    private Future<Void> writeCopy() {
        if (isStored || types.isEmpty()) {
            return Future.succeededFuture();
        }
        return state.commit(new StateClient.Txn()
                        .when(RecordKeys.CATALOGUE, Revision.ABSENT)
                        .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(types)))
                .map(outcome -> {
                    isStored = true;
                    return null;
                });
    }
}
