package io.indigoreach.cluster;

import io.indigoreach.GoldenFile;
import io.indigoreach.core.CancellationWord;
import io.indigoreach.core.JobId;
import io.indigoreach.core.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Wire;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The question for pledges and its answers. */
class GoldenPledgesTest {
    private static Pledges pledge(boolean all, Set<JobId> cancelled) {
        return new Pledges(all, new CancellationWord(cancelled, Span.seconds(7)));
    }

    private static Map<String, Object> write(Pledges p) {
        return p.write(Span.seconds(2));
    }

    private static Map<String, Object> again(Fields f) {
        return write(Pledges.read(f));
    }

    @Test
    void whatControllersAskOfALeader() {
        GoldenFile golden = new GoldenFile("pledges.txt");
        golden.both("question", Span.seconds(7.5), Pledges::ask, Pledges::asked)
                .read("question of the version before", Map.of(), f -> Pledges.ask(Pledges.asked(f)))
                .read("question from the future", Wire.map("back_ms", -5L), f -> Pledges.ask(Pledges.asked(f)))
                .both("nothing", Pledges.NONE, GoldenPledgesTest::write, Pledges::read)
                .both("pledge", pledge(true, Set.of()), GoldenPledgesTest::write, Pledges::read)
                .both(
                        "told of one",
                        pledge(false, Set.of(new JobId("run-000398"))),
                        GoldenPledgesTest::write,
                        Pledges::read)
                .read(
                        "pledge of the version before",
                        Wire.map("pledged", true, "quiet_ms", 3000L),
                        GoldenPledgesTest::again)
                .refused("told of no job", Wire.map("cancelled", List.of("one")), Pledges::read);
        golden.check();
    }
}
