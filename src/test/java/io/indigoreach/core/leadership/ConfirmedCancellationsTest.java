package io.indigoreach.core.leadership;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A summary never covers more than the node remembers: a leader must not take what it leaves out for "nothing cancelled". */
class ConfirmedCancellationsTest {
    /** A process that began at 100 s has confirmed run-1 at 110 s and run-2 at 120 s; asked at 130 s. */
    @ParameterizedTest
    @CsvSource({
        "5, 5, ''",
        "10, 10, run-2",
        "12, 12, run-2",
        "20, 20, run-1 run-2",
        "30, 30, run-1 run-2",
        "60, 30, run-1 run-2",
        "0, 0, ''"
    })
    void coversTheRequestedTimeSinceTheProcessBegan(double requested, double covered, String jobs) {
        ConfirmedCancellations confirmed = new ConfirmedCancellations(atSeconds(100));
        confirmed.add(new JobId("run-1"), atSeconds(110));
        confirmed.add(new JobId("run-2"), atSeconds(120));
        CancellationSummary summary = confirmed.summary(Span.seconds(requested), atSeconds(130));
        assertEquals(Span.seconds(covered), summary.covered());
        assertEquals(
                Set.of(jobs.split(" ")),
                summary.cancelled().isEmpty()
                        ? Set.of("")
                        : summary.cancelled().stream().map(JobId::text).collect(Collectors.toSet()));
        assertEquals(Span.seconds(10), confirmed.timeSinceLast(atSeconds(130)));
    }

    /** Guards against a summary that lacks the earliest ones and claims to be complete. */
    @Test
    void forgottenCancellationsAreNotCovered() {
        ConfirmedCancellations confirmed = new ConfirmedCancellations(atSeconds(0));
        for (int n = 0; n < ConfirmedCancellations.MAX_REMEMBERED + 10; n++) {
            confirmed.add(new JobId("run-" + n), atSeconds(10 + n));
        }
        Moment now = atSeconds(10 + ConfirmedCancellations.MAX_REMEMBERED + 9);
        CancellationSummary summary = confirmed.summary(Span.seconds(5000), now);
        assertEquals(ConfirmedCancellations.MAX_REMEMBERED, summary.cancelled().size());
        assertEquals(
                now.since(atSeconds(19)), summary.covered(), "up to the last that was forgotten, confirmed at 19 s");
    }
}
