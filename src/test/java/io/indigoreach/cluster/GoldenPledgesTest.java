package io.indigoreach.cluster;

import io.indigoreach.GoldenFile;
import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The question for pledges and its answers. */
class GoldenPledgesTest {
    private static PeerPromises pledge(boolean all, Set<JobId> cancelled) {
        return new PeerPromises(all, new CancellationSummary(cancelled, Span.seconds(7)));
    }

    private static Map<String, Object> write(PeerPromises p) {
        return p.write(Span.seconds(2));
    }

    private static Map<String, Object> again(Fields f) {
        return write(PeerPromises.read(f));
    }

    @Test
    void whatControllersAskOfALeader() {
        GoldenFile golden = new GoldenFile("pledges.txt");
        golden.expectRoundTrip("question", Span.seconds(7.5), PeerPromises::writeRequest, PeerPromises::readRequest)
                .expectDecoded(
                        "question of the version before",
                        Map.of(),
                        f -> PeerPromises.writeRequest(PeerPromises.readRequest(f)))
                .expectDecoded(
                        "question from the future",
                        MessagePackFormat.map("back_ms", -5L),
                        f -> PeerPromises.writeRequest(PeerPromises.readRequest(f)))
                .expectRoundTrip("nothing", PeerPromises.NONE, GoldenPledgesTest::write, PeerPromises::read)
                .expectRoundTrip("pledge", pledge(true, Set.of()), GoldenPledgesTest::write, PeerPromises::read)
                .expectRoundTrip(
                        "told of one",
                        pledge(false, Set.of(new JobId("run-000398"))),
                        GoldenPledgesTest::write,
                        PeerPromises::read)
                .expectDecoded(
                        "pledge of the version before",
                        MessagePackFormat.map("pledged", true, "quiet_ms", 3000L),
                        GoldenPledgesTest::again)
                .expectRejected(
                        "told of no job", MessagePackFormat.map("cancelled", List.of("one")), PeerPromises::read);
        golden.verify();
    }
}
