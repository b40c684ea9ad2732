package io.indigoreach.core.leadership;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A node's word never reaches further back than it remembers: what it leaves out, a leader must not take for nothing. */
class ConfirmedCancellationsTest {
    /** A process that began at 100 s has told of run-1 at 110 s and run-2 at 120 s; asked at 130 s. */
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
    void coversWhatIsAskedForSinceItBegan(double asked, double covered, String jobs) {
        ConfirmedCancellations told = new ConfirmedCancellations(at(100));
        told.add(new JobId("run-1"), at(110));
        told.add(new JobId("run-2"), at(120));
        CancellationSummary word = told.summary(Span.seconds(asked), at(130));
        assertEquals(Span.seconds(covered), word.covered());
        assertEquals(
                Set.of(jobs.split(" ")),
                word.cancelled().isEmpty()
                        ? Set.of("")
                        : word.cancelled().stream().map(JobId::text).collect(Collectors.toSet()));
        assertEquals(Span.seconds(10), told.timeSinceLast(at(130)));
    }

    /** Guards against a word without the earliest ones that claims to be whole. */
    @Test
    void whatIsForgottenIsNotCovered() {
        ConfirmedCancellations told = new ConfirmedCancellations(at(0));
        for (int n = 0; n < ConfirmedCancellations.MAX_REMEMBERED + 10; n++) {
            told.add(new JobId("run-" + n), at(10 + n));
        }
        Moment now = at(10 + ConfirmedCancellations.MAX_REMEMBERED + 9);
        CancellationSummary word = told.summary(Span.seconds(5000), now);
        assertEquals(ConfirmedCancellations.MAX_REMEMBERED, word.cancelled().size());
        assertEquals(now.since(at(19)), word.covered(), "up to the last that was forgotten, told at 19 s");
    }
}
