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
    public record RentalResult(List<MachineId> machines, boolean noCapacity) {}

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Span REQUEST_TIMEOUT = Span.seconds(4);

    private final ServiceClient client;

    /** Creates a client that sends its requests through {@code client}. */
    public CloudClient(ServiceClient client) {
        this.client = client;
    }

    /** Returns the maximum number of machines in one return request. */
    public static int maxMachinesPerReturn() {
        return CloudCodec.MAX_MACHINES_PER_RETURN;
    }

    /** Reads the machine types, with the current spot prices. */
    public Future<List<MachineType>> readMachineTypes() {
        return client.get(CloudCodec.TYPES_PATH, REQUEST_TIMEOUT)
                .map(response -> CloudCodec.readTypes(requireSuccess(response)));
    }

    /** Rents up to {@code count} machines. The request is idempotent: a repeat with the same key gets the same result. */
    public Future<RentalResult> rent(String idempotencyKey, MachinePool pool, int count) {
        return client.post(
                        CloudCodec.MACHINES_PATH,
                        CloudCodec.writeRental(new CloudCodec.RentalRequest(idempotencyKey, pool, count)),
                        REQUEST_TIMEOUT)
                .map(response -> lacksCapacity(response)
                        ? new RentalResult(List.of(), true)
                        : new RentalResult(CloudCodec.readMachineIds(requireSuccess(response)), false));
    }

    /** Returns machines to the cloud. After success, the machines and the tasks on them no longer exist. */
    public Future<Void> returnMachines(List<MachineId> machines) {
        return client.post(CloudCodec.RETURN_PATH, CloudCodec.writeMachineIds(machines), REQUEST_TIMEOUT)
                .map(response -> {
                    requireSuccess(response);
                    return null;
                });
    }

    /** Lists the machines that this deployment rents, reading all pages. */
    public Future<List<ListedMachine>> listMachines() {
        return readRemainingPages(null, new ArrayList<>());
    }

    private Future<List<ListedMachine>> readRemainingPages(MachineId after, List<ListedMachine> machinesSoFar) {
        return client.get(CloudCodec.listPath(after), REQUEST_TIMEOUT).compose(response -> {
            CloudCodec.Page page = CloudCodec.readPage(requireSuccess(response));
            page.machines().forEach(listed -> machinesSoFar.add(listed.machine()));
            return page.hasMore() && !page.machines().isEmpty()
                    ? readRemainingPages(
                            machinesSoFar.get(machinesSoFar.size() - 1).id(), machinesSoFar)
                    : Future.succeededFuture(machinesSoFar);
        });
    }

    private static boolean lacksCapacity(ServiceResponse response) {
        return response.status() == SERVICE_UNAVAILABLE
                && CloudCodec.NO_CAPACITY_ERROR.equals(response.body().optionalText("error"));
    }

    private static Fields requireSuccess(ServiceResponse response) {
        if (response.isOk()) {
            return response.body();
        }
        throw new WireException("cloud request failed: HTTP status " + response.status());
    }
}
