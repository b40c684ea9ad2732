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

    private static List<CloudCodec.Listed> machines() {
        List<CloudCodec.Listed> machines = new ArrayList<>();
        for (ListedMachine.Status status : ListedMachine.Status.values()) {
            MachineId id = new MachineId("vm-00023" + machines.size());
            machines.add(new CloudCodec.Listed(
                    new ListedMachine(id, POOL, status, Span.seconds(1.5)),
                    status == ListedMachine.Status.STARTING ? null : "10.1.0.232:9000"));
        }
        return machines;
    }

    @Test
    void whatIsAskedAndAnswered() {
        GoldenFile golden = new GoldenFile("cloud.txt");
        golden.text("path of types", CloudCodec.TYPES)
                .text("path of machines", CloudCodec.MACHINES)
                .text("path of returns", CloudCodec.RETURN)
                .text("first page", CloudCodec.listPath(null))
                .text("next page", CloudCodec.listPath(new MachineId("vm-000231")))
                .text("reason without capacity", CloudCodec.NO_CAPACITY)
                .text(
                        "most at once",
                        CloudCodec.MAX_LISTED + " " + CloudCodec.MAX_RENTED + " " + CloudCodec.MAX_RETURNED);
        golden.both("types", GoldenSamples.TYPES, CloudCodec::writeTypes, CloudCodec::readTypes)
                .read(
                        "types with the fewest fields",
                        MessagePackFormat.map(
                                "boxkinds",
                                List.of(MessagePackFormat.map("label", "k", "cores", 4L, "ram_gb", 16L, "price", 1L))),
                        f -> CloudCodec.writeTypes(CloudCodec.readTypes(f)))
                .refused(
                        "types without a price",
                        MessagePackFormat.map(
                                "boxkinds", List.of(MessagePackFormat.map("label", "k", "cores", 4L, "ram_gb", 16L))),
                        CloudCodec::readTypes);
        golden.both(
                        "rental",
                        new CloudCodec.Rental("7000001-1", POOL, 50),
                        CloudCodec::writeRental,
                        CloudCodec::readRental)
                .both(
                        "rental of ordinary machines",
                        new CloudCodec.Rental("7000001-2", new MachinePool("g8", "b", false), 1),
                        CloudCodec::writeRental,
                        CloudCodec::readRental);
        golden.both(
                        "names",
                        List.of(new MachineId("vm-000231"), new MachineId("vm-000232")),
                        CloudCodec::writeNames,
                        CloudCodec::readNames)
                .both("no names", List.of(), CloudCodec::writeNames, CloudCodec::readNames)
                .read("no field of names", Map.of(), f -> CloudCodec.writeNames(CloudCodec.readNames(f)));
        golden.both(
                        "page of machines",
                        new CloudCodec.Page(machines(), true),
                        CloudCodec::writePage,
                        CloudCodec::readPage)
                .both("last page", new CloudCodec.Page(List.of(), false), CloudCodec::writePage, CloudCodec::readPage)
                .read(
                        "machine of an unknown status",
                        MessagePackFormat.map(
                                "boxes",
                                List.of(MessagePackFormat.map(
                                        "id", "vm-1", "boxkind", "k", "hall", "z", "status", "asleep"))),
                        f -> CloudCodec.writePage(CloudCodec.readPage(f)));
        golden.check();
    }
}
