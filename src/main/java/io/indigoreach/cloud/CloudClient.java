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
 * Client of the cloud's API. If a future fails, the outcome is unknown: the cloud may have executed the request, or may still execute it.
 */
public final class CloudClient {
    /** The result of a rental request: the rented machines, or none if the pool has no capacity. */
    public record Rental(List<MachineId> machines, boolean noCapacity) {}

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Span TIMEOUT = Span.seconds(4);

    private final ServiceClient caller;

    /** Creates a client that sends its requests through {@code caller}. */
    public CloudClient(ServiceClient caller) {
        this.caller = caller;
    }

    /** Returns the maximum number of machines in one return request. */
    public static int maxMachinesPerReturn() {
        return CloudCodec.MAX_RETURNED;
    }

    /** Reads the machine types, with the current spot prices. */
    public Future<List<MachineType>> catalogue() {
        return caller.get(CloudCodec.TYPES, TIMEOUT).map(response -> CloudCodec.readTypes(ok(response)));
    }

    /** Rents up to {@code count} machines. The request is idempotent: a repeat with the same {@code name} gets the same result. */
    public Future<Rental> rent(String name, MachinePool pool, int count) {
        return caller.post(
                        CloudCodec.MACHINES, CloudCodec.writeRental(new CloudCodec.Rental(name, pool, count)), TIMEOUT)
                .map(response -> lacksCapacity(response)
                        ? new Rental(List.of(), true)
                        : new Rental(CloudCodec.readNames(ok(response)), false));
    }

    /** Returns machines to the cloud. After success, the machines and the tasks on them no longer exist. */
    public Future<Void> returnMachines(List<MachineId> machines) {
        return caller.post(CloudCodec.RETURN, CloudCodec.writeNames(machines), TIMEOUT)
                .map(response -> {
                    ok(response);
                    return null;
                });
    }

    /** Lists the machines that this deployment rents, reading all pages. */
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
        throw new WireException("cloud request failed: HTTP status " + response.status());
    }
}
