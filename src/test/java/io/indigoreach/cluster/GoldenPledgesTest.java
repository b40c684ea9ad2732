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

/** Golden encodings of pledge requests and responses. */
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
        golden.both("question", Span.seconds(7.5), PeerPromises::writeRequest, PeerPromises::readRequest)
                .read(
                        "question of the version before",
                        Map.of(),
                        f -> PeerPromises.writeRequest(PeerPromises.readRequest(f)))
                .read(
                        "question from the future",
                        MessagePackFormat.map("back_ms", -5L),
                        f -> PeerPromises.writeRequest(PeerPromises.readRequest(f)))
                .both("nothing", PeerPromises.NONE, GoldenPledgesTest::write, PeerPromises::read)
                .both("pledge", pledge(true, Set.of()), GoldenPledgesTest::write, PeerPromises::read)
                .both(
                        "told of one",
                        pledge(false, Set.of(new JobId("run-000398"))),
                        GoldenPledgesTest::write,
                        PeerPromises::read)
                .read(
                        "pledge of the version before",
                        MessagePackFormat.map("pledged", true, "quiet_ms", 3000L),
                        GoldenPledgesTest::again)
                .refused("told of no job", MessagePackFormat.map("cancelled", List.of("one")), PeerPromises::read);
        golden.check();
    }
}
