package io.indigoreach.core.leadership;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SchedulerFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A leader that the state service does not answer may go on only as long as no cancellation can have passed it by. */
class CancellationHorizonTest {
    /** Everything until 10 s is known; all nodes asked at 20 s have answered at 21 s. */
    @ParameterizedTest
    @CsvSource({
        "30, 20, what was confirmed since is known",
        "11.2, 20, nor is one missing from just before",
        "11, 10, one may have been confirmed as the watch ended",
        "3, 10, one was confirmed before that is not among them",
        "0, 10, a process is new, or did not answer"
    })
    void answersOfAllNodesReplaceTheWatch(double covered, double until, String why) {
        CancellationHorizon horizon = new CancellationHorizon();
        horizon.advanceTo(atSeconds(10));
        horizon.peersAnswered(Span.seconds(covered), atSeconds(20), atSeconds(21));
        assertEquals(atSeconds(until), horizon.completeUntil(), why);
        horizon.advanceTo(atSeconds(15));
        assertEquals(atSeconds(Math.max(15, until)), horizon.completeUntil(), "never goes back");
    }

    /** Guards against a leader that saw that a job was gone, could not read the reason in the outage, and let it run on. */
    @Test
    void missingJobHoldsTheHorizonUntilItIsResolved() {
        CancellationHorizon horizon = new CancellationHorizon();
        horizon.advanceTo(atSeconds(10));
        horizon.recordGone(new JobId("run-1"));
        horizon.advanceTo(atSeconds(12));
        horizon.recordGone(new JobId("run-2"));
        horizon.recordGone(new JobId("run-1"));
        horizon.peersAnswered(Span.seconds(30), atSeconds(20), atSeconds(21));
        assertEquals(atSeconds(10), horizon.completeUntil());
        horizon.resolved(new JobId("run-1"));
        assertEquals(atSeconds(12), horizon.completeUntil());
        horizon.resolved(new JobId("run-2"));
        assertEquals(atSeconds(20), horizon.completeUntil());
    }

    /** Guards against a new leader whose records cannot be read: it knows of no cancellation, however old. */
    @Test
    void nothingIsKnownBeforeTheRecordsAreRead() {
        CancellationHorizon horizon = new CancellationHorizon();
        horizon.peersAnswered(Span.seconds(1e6), atSeconds(20), atSeconds(21));
        assertEquals(Moment.NEVER, horizon.completeUntil());
        assertEquals(Span.ZERO, horizon.lookBack(atSeconds(20), Span.seconds(3)));
        assertTrue(atSeconds(20)
                        .since(horizon.completeUntil())
                        .compareTo(SchedulerFixture.SAFETY_TIMES.maxCancellationAge())
                > 0);
    }
}
