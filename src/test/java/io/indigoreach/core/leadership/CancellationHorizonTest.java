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

/** A leader may continue without the state service only while it is certain to know every confirmed cancellation. */
class CancellationHorizonTest {
    /** Cancellations until 10 s are known; all nodes have responded at 21 s to requests sent at 20 s. */
    @ParameterizedTest
    @CsvSource({
        "30, 20, all cancellations since the horizon are covered",
        "11.2, 20, also with the allowance for clock drift",
        "11, 10, a cancellation just after the horizon may not be covered",
        "3, 10, earlier cancellations are not covered",
        "0, 10, a process has just started or did not respond"
    })
    void responsesOfAllNodesAdvanceTheHorizon(double covered, double until, String reason) {
        CancellationHorizon horizon = new CancellationHorizon();
        horizon.advanceTo(atSeconds(10));
        horizon.onPeersResponded(Span.seconds(covered), atSeconds(20), atSeconds(21));
        assertEquals(atSeconds(until), horizon.completeUntil(), reason);
        horizon.advanceTo(atSeconds(15));
        assertEquals(atSeconds(Math.max(15, until)), horizon.completeUntil(), "the horizon never goes back");
    }

    /** Guards against a leader that saw that a record was missing, could not read the reason during an outage, and let the tasks run on. */
    @Test
    void missingRecordHoldsTheHorizonUntilItIsResolved() {
        CancellationHorizon horizon = new CancellationHorizon();
        horizon.advanceTo(atSeconds(10));
        horizon.onRecordMissing(new JobId("run-1"));
        horizon.advanceTo(atSeconds(12));
        horizon.onRecordMissing(new JobId("run-2"));
        horizon.onRecordMissing(new JobId("run-1"));
        horizon.onPeersResponded(Span.seconds(30), atSeconds(20), atSeconds(21));
        assertEquals(atSeconds(10), horizon.completeUntil());
        horizon.onMissingRecordResolved(new JobId("run-1"));
        assertEquals(atSeconds(12), horizon.completeUntil());
        horizon.onMissingRecordResolved(new JobId("run-2"));
        assertEquals(atSeconds(20), horizon.completeUntil());
    }

    /**
     * The horizon is undefined until the records are read, because a new leader may not know even old cancellations
     * before that.
     */
    @Test
    void horizonIsUndefinedBeforeTheRecordsAreRead() {
        CancellationHorizon horizon = new CancellationHorizon();
        horizon.onPeersResponded(Span.seconds(1e6), atSeconds(20), atSeconds(21));
        assertEquals(Moment.NEVER, horizon.completeUntil());
        assertEquals(Span.ZERO, horizon.requiredLookBack(atSeconds(20), Span.seconds(3)));
        assertTrue(atSeconds(20)
                        .since(horizon.completeUntil())
                        .compareTo(SchedulerFixture.SAFETY_TIMES.maxCancellationAge())
                > 0);
    }
}
