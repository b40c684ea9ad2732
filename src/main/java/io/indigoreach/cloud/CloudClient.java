package io.indigoreach.cloud;

import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;

/** The cloud's protocol. A failed future means no usable answer. */
public final class CloudClient {
    /** The answer to a rental request: the machines, or none because the pool has no capacity. */
    public record Rental(List<MachineId> machines, boolean noCapacity) {}

    private static final Span TIMEOUT = Span.seconds(4);

    private final ServiceClient caller;

    public CloudClient(ServiceClient caller) {
        this.caller = caller;
    }

    public static int mostReturned() {
        return CloudCodec.MOST_RETURNED;
    }

    public Future<List<MachineType>> catalogue() {
        return caller.get(CloudCodec.TYPES, TIMEOUT).map(r -> CloudCodec.readTypes(ok(r)));
    }

    /** Rents up to {@code count} machines; a name that was answered once gets the same answer again. */
    public Future<Rental> rent(String name, MachinePool pool, int count) {
        return caller.post(
                        CloudCodec.MACHINES, CloudCodec.writeRental(new CloudCodec.Rental(name, pool, count)), TIMEOUT)
                .map(r -> r.status() == 503
                                && CloudCodec.NO_CAPACITY.equals(r.body().optionalText("error"))
                        ? new Rental(List.of(), true)
                        : new Rental(CloudCodec.readNames(ok(r)), false));
    }

    /** When this succeeds, the machines and all that was on them are gone. */
    public Future<Void> giveBack(List<MachineId> machines) {
        return caller.post(CloudCodec.RETURN, CloudCodec.writeNames(machines), TIMEOUT)
                .map(r -> {
                    ok(r);
                    return null;
                });
    }

    /** The whole list, page by page. */
    public Future<List<ListedMachine>> list() {
        return page(null, new ArrayList<>());
    }

    private Future<List<ListedMachine>> page(MachineId after, List<ListedMachine> got) {
        return caller.get(CloudCodec.listPath(after), TIMEOUT).compose(r -> {
            CloudCodec.Page page = CloudCodec.readPage(ok(r));
            page.machines().forEach(m -> got.add(m.machine()));
            return page.more() && !page.machines().isEmpty()
                    ? page(got.get(got.size() - 1).id(), got)
                    : Future.succeededFuture(got);
        });
    }

    private static Fields ok(ServiceResponse reply) {
        if (reply.status() == 200) {
            return reply.body();
        }
        throw new WireException("the cloud answers " + reply.status());
    }
}
