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

/**
 * The client of the cloud. A failed future means that there is no usable response: the request may have been executed, or may still be.
 */
public final class CloudClient {
    /** The result of a rental: the machines, or none because the pool has no capacity. */
    public record Rental(List<MachineId> machines, boolean noCapacity) {}

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Span TIMEOUT = Span.seconds(4);

    private final ServiceClient caller;

    /** {@code caller}: a client of the cloud's address. */
    public CloudClient(ServiceClient caller) {
        this.caller = caller;
    }

    /** The most machines that one request may return. */
    public static int maxMachinesPerReturn() {
        return CloudCodec.MAX_RETURNED;
    }

    /** The machine types, with the present spot prices. */
    public Future<List<MachineType>> catalogue() {
        return caller.get(CloudCodec.TYPES, TIMEOUT).map(response -> CloudCodec.readTypes(ok(response)));
    }

    /** Rents up to {@code count} machines. The request is idempotent: a name that was answered gets the same result again. */
    public Future<Rental> rent(String name, MachinePool pool, int count) {
        return caller.post(
                        CloudCodec.MACHINES, CloudCodec.writeRental(new CloudCodec.Rental(name, pool, count)), TIMEOUT)
                .map(response -> lacksCapacity(response)
                        ? new Rental(List.of(), true)
                        : new Rental(CloudCodec.readNames(ok(response)), false));
    }

    /** Returns machines. On success they and everything on them no longer exist. */
    public Future<Void> returnMachines(List<MachineId> machines) {
        return caller.post(CloudCodec.RETURN, CloudCodec.writeNames(machines), TIMEOUT)
                .map(response -> {
                    ok(response);
                    return null;
                });
    }

    /** The machines that this deployment rents, read page by page. */
    public Future<List<ListedMachine>> list() {
        return page(null, new ArrayList<>());
    }

    private Future<List<ListedMachine>> page(MachineId after, List<ListedMachine> earlier) {
        return caller.get(CloudCodec.listPath(after), TIMEOUT).compose(response -> {
            CloudCodec.Page page = CloudCodec.readPage(ok(response));
            page.machines().forEach(listed -> earlier.add(listed.machine()));
            return page.more() && !page.machines().isEmpty()
                    ? page(earlier.get(earlier.size() - 1).id(), earlier)
                    : Future.succeededFuture(earlier);
        });
    }

    private static boolean lacksCapacity(ServiceResponse response) {
        return response.status() == SERVICE_UNAVAILABLE
                && CloudCodec.NO_CAPACITY.equals(response.body().optionalText("error"));
    }

    private static Fields ok(ServiceResponse response) {
        if (response.isOk()) {
            return response.body();
        }
        throw new WireException("the cloud answers " + response.status());
    }
}
