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
    public record RentalResult(List<MachineId> machines, boolean noCapacity) {}

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Span REQUEST_TIMEOUT = Span.seconds(4);

    private final ServiceClient client;

    /** {@code caller}: a client of the cloud's address. */
    public CloudClient(ServiceClient client) {
        this.client = client;
    }

    /** The most machines that one request may return. */
    public static int maxMachinesPerReturn() {
        return CloudCodec.MAX_MACHINES_PER_RETURN;
    }

    /** The machine types, with the present spot prices. */
    public Future<List<MachineType>> readMachineTypes() {
        return client.get(CloudCodec.TYPES_PATH, REQUEST_TIMEOUT)
                .map(response -> CloudCodec.readTypes(requireSuccess(response)));
    }

    /** Rents up to {@code count} machines. The request is idempotent: a name that was answered gets the same result again. */
    public Future<RentalResult> rent(String idempotencyKey, MachinePool pool, int count) {
        return client.post(
                        CloudCodec.MACHINES_PATH,
                        CloudCodec.writeRental(new CloudCodec.RentalRequest(idempotencyKey, pool, count)),
                        REQUEST_TIMEOUT)
                .map(response -> lacksCapacity(response)
                        ? new RentalResult(List.of(), true)
                        : new RentalResult(CloudCodec.readMachineIds(requireSuccess(response)), false));
    }

    /** Returns machines. On success they and everything on them no longer exist. */
    public Future<Void> returnMachines(List<MachineId> machines) {
        return client.post(CloudCodec.RETURN_PATH, CloudCodec.writeMachineIds(machines), REQUEST_TIMEOUT)
                .map(response -> {
                    requireSuccess(response);
                    return null;
                });
    }

    /** The machines that this deployment rents, read page by page. */
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
        throw new WireException("the cloud answers " + response.status());
    }
}
