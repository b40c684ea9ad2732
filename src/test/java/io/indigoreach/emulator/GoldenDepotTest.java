package io.indigoreach.emulator;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenSamples;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.emulator.model.Mutation;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.StateClient;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is uploaded to the emulator's depot, and what an emulator tells of itself. */
class GoldenDepotTest {
    @Test
    void whatIsAskedAndAnswered() {
        GoldenFile golden = new GoldenFile("depot.txt");
        golden.expectText("path of uploads", DepotCodec.UPLOAD).expectText("path of the summary", DepotCodec.SUMMARY);
        GoldenSamples.jobs()
                .forEach((name, spec) -> golden.expectRoundTrip(
                        "upload " + name,
                        new DepotCodec.Upload(spec, new Depot.Conduct(Span.seconds(12.5), 0.25, true)),
                        DepotCodec::write,
                        DepotCodec::read));
        golden.expectDecoded(
                        "upload of a job alone", GoldenSamples.submission(), f -> DepotCodec.write(DepotCodec.read(f)))
                .expectRoundTrip(
                        "summary", new DepotCodec.Summary(3, 40, 1, 12.75), DepotCodec::write, DepotCodec::readSummary);
        golden.verify();
    }

    private static Mutation read(Fields f) {
        return DiskDurability.read(MessagePackFormat.write(f.map()).getBytes());
    }

    private static Map<String, Object> write(Mutation m) {
        return MessagePackFormat.readMap(Buffer.buffer(DiskDurability.write(m))).map();
    }

    /** The state service's changes on disk: an emulator goes on from the files of the version before. */
    @Test
    void whatIsKeptOnDisk() {
        GoldenFile golden = new GoldenFile("disk.txt");
        List<StateClient.Write> writes = List.of(
                new StateClient.Write("j/run-1", MessagePackFormat.map("n", 1L), 0),
                new StateClient.Write("leader", MessagePackFormat.map("", List.of(1L)), 7),
                new StateClient.Write("f/run-2", null, 0));
        golden.expectRoundTrip(
                        "writes", new Mutation(41, writes, 0, 0, 0), GoldenDepotTest::write, GoldenDepotTest::read)
                .expectRoundTrip(
                        "copy of a key",
                        new Mutation(41, writes.subList(0, 1), 0, 0, 9),
                        GoldenDepotTest::write,
                        GoldenDepotTest::read)
                .expectRoundTrip(
                        "lease granted",
                        new Mutation(41, List.of(), 7, 4500, 0),
                        GoldenDepotTest::write,
                        GoldenDepotTest::read)
                .expectRoundTrip(
                        "lease ended",
                        new Mutation(42, List.of(), 7, 0, 0),
                        GoldenDepotTest::write,
                        GoldenDepotTest::read);
        golden.verify();
    }
}
