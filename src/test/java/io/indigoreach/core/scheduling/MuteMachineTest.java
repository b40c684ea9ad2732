package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.SAFETY_TIMES;
import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.TaskId;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A machine that reaches no controller from the answer to its report of -1 s on, while direct commands would reach it. None is
 * sent, so its lease alone ends what it runs. A whole zone of them is {@code FailureDetectorTest.machinesBehindACutAreKept}.
 */
class MuteMachineTest {
    private static final JobId JOB = new JobId("run-1");
    private static final TaskId TASK = TaskId.parse("run-1/0");
    private final SimulatedCluster site = new SimulatedCluster();

    private void begin() {
        site.worker("mute", -10);
        site.worker("other", -10);
        site.startLeaderWithRecords(-10);
        site.submit(spec(1, 1, 4, 500), -10);
        site.joinLeader("mute", -4);
        assertEquals(1, site.worker("mute").tasks.size());
    }

    /** The mute machine reports again from {@code muteUntil} on; it is told what time it is all along. */
    private void step(double now, double muteUntil, double change) {
        if (now == change) {
            site.startLeaderWithRecords(now);
        }
        site.worker("mute").expireLease(now);
        if (now >= muteUntil) {
            site.sendHeartbeat("mute", now);
        }
        site.core.expireLeases(atSeconds(now));
        site.sendHeartbeat("other", now);
    }

    /** {@code change}: when another leader begins, or -1; {@code elsewhere}: when the task starts on the other machine, or -1. */
    @ParameterizedTest
    @CsvSource({"8, -1, -1", "10.5, -1, -1", "10.5, 5, -1", "20, -1, 11.5", "90, -1, 11.5", "90, 5, 17.5", "11.5, 5, 12"
    })
    void itsTasksGoElsewhereWhenItsLeaseIsOverAndNotBefore(double muteUntil, double change, double elsewhere) {
        begin();
        double started = -1;
        for (double now = 0; now < 60; now += 0.5) {
            step(now, muteUntil, change);
            started = started < 0 && site.startCount(TASK) > 1 ? now : started;
        }
        assertEquals(elsewhere, started);
        assertEquals(List.of(), site.violations);
    }

    /** Its job is cancelled while it is mute, under the same leader or across a change. */
    @ParameterizedTest
    @CsvSource({"0, -1", "6, -1", "6, 3", "6, 8", "10.5, 12"})
    void itsCancelledTaskIsGoneInTime(double cancelled, double change) {
        begin();
        double gone = -1;
        for (double now = 0; now < cancelled + SAFETY_TIMES.cancellationTime().seconds(); now += 0.5) {
            if (now == cancelled) {
                site.cancel(JOB);
            }
            step(now, 90, change);
            gone = gone < 0 && site.workerRunning(TASK) == null ? now : gone;
        }
        assertTrue(gone >= 0 && gone <= cancelled + SAFETY_TIMES.workerLease().seconds() + 0.5, "gone at " + gone);
        assertEquals(1, site.startCount(TASK), "started again after it was cancelled");
        assertEquals(List.of(), site.violations);
    }
}
