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
    private static final Span RETRY = Span.seconds(1);

    private final StateClient state;
    private final CloudClient cloud;
    private final PeriodicTask reader;
    private List<MachineType> types = List.of();
    private boolean hasCopy;

    /** Creates an empty catalogue; {@link #start()} starts reading. */
    public Catalogue(Vertx vertx, StateClient state, CloudClient cloud) {
        this.state = state;
        this.cloud = cloud;
        this.reader = new PeriodicTask(vertx, "catalogue", RETRY, this::step);
    }

    /** Starts reading, and retries until the types are known. */
    public Catalogue start() {
        reader.start();
        return this;
    }

    /** Stops reading. */
    public void stop() {
        reader.cancel();
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
        return cloud.catalogue();
    }

    private Future<Span> step() {
        if (isKnown()) {
            reader.cancel();
            return Future.succeededFuture(RETRY);
        }
        return state.get(RecordKeys.CATALOGUE).compose(entry -> {
            if (entry != null) {
                types = CatalogueRecordCodec.readCatalogue(entry.value());
                hasCopy = isKnown();
                return Future.succeededFuture(Span.ZERO);
            }
            return cloud.catalogue().compose(found -> {
                types = List.copyOf(found);
                return writeCopy().map(Span.ZERO);
            });
        });
    }

    /** Stores the copy unless it exists. Descriptions of types do not change, so the first node to read them can write it. */
    private Future<Void> writeCopy() {
        if (hasCopy || types.isEmpty()) {
            return Future.succeededFuture();
        }
        return state.commit(new StateClient.Txn()
                        .when(RecordKeys.CATALOGUE, Revision.ABSENT)
                        .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(types)))
                .map(outcome -> {
                    hasCopy = true;
                    return null;
                });
    }
}
