package io.indigoreach.cloud;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenSamples;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compares requests to the cloud, and its responses, with golden bytes. */
class GoldenCloudTest {
    private static final MachinePool POOL = new MachinePool("quad", "a", true);

    private static List<CloudCodec.ListEntry> machines() {
        List<CloudCodec.ListEntry> machines = new ArrayList<>();
        for (ListedMachine.Status status : ListedMachine.Status.values()) {
            MachineId id = new MachineId("vm-00023" + machines.size());
            machines.add(new CloudCodec.ListEntry(
                    new ListedMachine(id, POOL, status, Span.seconds(1.5)),
                    status == ListedMachine.Status.STARTING ? null : "10.1.0.232:9000"));
        }
        return machines;
    }

    @Test
    void cloudMessagesMatchGoldenFile() {
        GoldenFile golden = new GoldenFile("cloud.txt");
        golden.expectText("path of types", CloudCodec.TYPES_PATH)
                .expectText("path of machines", CloudCodec.MACHINES_PATH)
                .expectText("path of returns", CloudCodec.RETURN_PATH)
                .expectText("first page", CloudCodec.listPath(null))
                .expectText("next page", CloudCodec.listPath(new MachineId("vm-000231")))
                .expectText("reason without capacity", CloudCodec.NO_CAPACITY_ERROR)
                .expectText(
                        "most at once",
                        CloudCodec.MAX_MACHINES_PER_PAGE + " " + CloudCodec.MAX_MACHINES_PER_RENTAL + " "
                                + CloudCodec.MAX_MACHINES_PER_RETURN);
        golden.expectRoundTrip("types", GoldenSamples.MACHINE_TYPES, CloudCodec::writeTypes, CloudCodec::readTypes)
                .expectDecoded(
                        "types with the fewest fields",
                        MessagePackFormat.map(
                                "boxkinds",
                                List.of(MessagePackFormat.map("label", "k", "cores", 4L, "ram_gb", 16L, "price", 1L))),
                        f -> CloudCodec.writeTypes(CloudCodec.readTypes(f)))
                .expectRejected(
                        "types without a price",
                        MessagePackFormat.map(
                                "boxkinds", List.of(MessagePackFormat.map("label", "k", "cores", 4L, "ram_gb", 16L))),
                        CloudCodec::readTypes);
        golden.expectRoundTrip(
                        "rental",
                        new CloudCodec.RentalRequest("7000001-1", POOL, 50),
                        CloudCodec::writeRental,
                        CloudCodec::readRental)
                .expectRoundTrip(
                        "rental of ordinary machines",
                        new CloudCodec.RentalRequest("7000001-2", new MachinePool("g8", "b", false), 1),
                        CloudCodec::writeRental,
                        CloudCodec::readRental);
        golden.expectRoundTrip(
                        "names",
                        List.of(new MachineId("vm-000231"), new MachineId("vm-000232")),
                        CloudCodec::writeMachineIds,
                        CloudCodec::readMachineIds)
                .expectRoundTrip("no names", List.of(), CloudCodec::writeMachineIds, CloudCodec::readMachineIds)
                .expectDecoded(
                        "no field of names", Map.of(), f -> CloudCodec.writeMachineIds(CloudCodec.readMachineIds(f)));
        golden.expectRoundTrip(
                        "page of machines",
                        new CloudCodec.Page(machines(), true),
                        CloudCodec::writePage,
                        CloudCodec::readPage)
                .expectRoundTrip(
                        "last page", new CloudCodec.Page(List.of(), false), CloudCodec::writePage, CloudCodec::readPage)
                .expectDecoded(
                        "machine of an unknown status",
                        MessagePackFormat.map(
                                "boxes",
                                List.of(MessagePackFormat.map(
                                        "id", "vm-1", "boxkind", "k", "hall", "z", "status", "asleep"))),
                        f -> CloudCodec.writePage(CloudCodec.readPage(f)));
        golden.verify();
    }
}
