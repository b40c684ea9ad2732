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
class GoldenPledgeMessagesTest {
    private static PledgeResponse pledge(boolean allPledged, Set<JobId> cancelled) {
        return new PledgeResponse(allPledged, new CancellationSummary(cancelled, Span.seconds(7)));
    }

    private static Map<String, Object> write(PledgeResponse response) {
        return response.write(Span.seconds(2));
    }

    private static Map<String, Object> reencode(Fields fields) {
        return write(PledgeResponse.read(fields));
    }

    @Test
    void pledgeMessagesMatchGoldenFile() {
        GoldenFile golden = new GoldenFile("pledges.txt");
        golden.expectRoundTrip("question", Span.seconds(7.5), PledgeResponse::writeRequest, PledgeResponse::readRequest)
                .expectDecoded(
                        "question of the version before",
                        Map.of(),
                        f -> PledgeResponse.writeRequest(PledgeResponse.readRequest(f)))
                .expectDecoded(
                        "question from the future",
                        MessagePackFormat.map("back_ms", -5L),
                        f -> PledgeResponse.writeRequest(PledgeResponse.readRequest(f)))
                .expectRoundTrip("nothing", PledgeResponse.NONE, GoldenPledgeMessagesTest::write, PledgeResponse::read)
                .expectRoundTrip(
                        "pledge", pledge(true, Set.of()), GoldenPledgeMessagesTest::write, PledgeResponse::read)
                .expectRoundTrip(
                        "told of one",
                        pledge(false, Set.of(new JobId("run-000398"))),
                        GoldenPledgeMessagesTest::write,
                        PledgeResponse::read)
                .expectDecoded(
                        "pledge of the version before",
                        MessagePackFormat.map("pledged", true, "quiet_ms", 3000L),
                        GoldenPledgeMessagesTest::reencode)
                .expectRejected(
                        "told of no job", MessagePackFormat.map("cancelled", List.of("one")), PledgeResponse::read);
        golden.verify();
    }
}
