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
 * The machine types. They are read from the copy in the state service, so that a node can start during an outage of the cloud, and
 * from the cloud if there is no copy; the node that finds none writes it. Used on the event loop only.
 */
public final class Catalogue {
    private static final Span RETRY_INTERVAL = Span.seconds(1);

    private final StateClient state;
    private final CloudClient cloud;
    private final PeriodicTask readTask;
    private List<MachineType> types = List.of();
    private boolean isStored;

    /** Reads nothing until {@link #start()}. */
    public Catalogue(Vertx vertx, StateClient state, CloudClient cloud) {
        this.state = state;
        this.cloud = cloud;
        this.readTask = new PeriodicTask(vertx, "catalogue", RETRY_INTERVAL, this::readStep);
    }

    /** Starts reading, and repeats until the types are known. */
    public Catalogue start() {
        readTask.start();
        return this;
    }

    /** Stops reading. */
    public void stop() {
        readTask.cancel();
    }

    /** Whether the types are known. */
    public boolean isKnown() {
        return !types.isEmpty();
    }

    /** The types, with the prices of the time when they were read; empty if they are not known. */
    public List<MachineType> types() {
        return types;
    }

    /** The types as the cloud lists them now, with the present spot prices. */
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

    /** The description of a type does not change, so the first node to read it may write the copy. */
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
