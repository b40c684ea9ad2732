package io.indigoreach.cloud;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;

/**
 * The machine types. Taken from the copy in the state service, so that a node can start while the cloud is away, and
 * from the cloud when there is no copy; the leader keeps the copy.
 */
public final class Catalogue {
    private static final Span RETRY = Span.seconds(1);

    private final StateClient state;
    private final CloudClient cloud;
    private final PeriodicTask duty;
    private List<MachineType> types = List.of();
    private boolean copied;

    public Catalogue(Vertx vertx, StateClient state, CloudClient cloud) {
        this.state = state;
        this.cloud = cloud;
        this.duty = new PeriodicTask(vertx, "catalogue", RETRY, this::step);
    }

    public Catalogue start() {
        duty.start();
        return this;
    }

    public void stop() {
        duty.cancel();
    }

    public boolean isKnown() {
        return !types.isEmpty();
    }

    public List<MachineType> types() {
        return types;
    }

    /** As the cloud has it at this moment, with the present spot prices. */
    public Future<List<MachineType>> now() {
        return cloud.catalogue();
    }

    private Future<Span> step() {
        if (isKnown()) {
            duty.cancel();
            return Future.succeededFuture(RETRY);
        }
        return state.get(RecordKeys.CATALOGUE).compose(entry -> {
            if (entry != null) {
                types = CatalogueRecordCodec.readCatalogue(entry.value());
                copied = isKnown();
                return Future.succeededFuture(Span.ZERO);
            }
            return cloud.catalogue().compose(found -> {
                types = List.copyOf(found);
                return keepCopy().map(Span.ZERO);
            });
        });
    }

    /** A types' description does not change, so whichever node comes first may write it. */
    private Future<Void> keepCopy() {
        if (copied || types.isEmpty()) {
            return Future.succeededFuture();
        }
        return state.commit(new StateClient.Txn()
                        .when(RecordKeys.CATALOGUE, io.indigoreach.core.model.Revision.ABSENT)
                        .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(types)))
                .map(outcome -> {
                    copied = true;
                    return null;
                });
    }
}
