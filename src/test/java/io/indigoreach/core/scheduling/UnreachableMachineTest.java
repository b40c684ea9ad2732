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
 * A machine's heartbeats reach no controller after -1 s, while commands sent outside heartbeat answers would reach it.
 * No such commands are sent, so only the expiry of its lease ends its tasks. {@link FailureDetectorTest} covers a whole
 * zone of such machines.
 */
class UnreachableMachineTest {
    private static final JobId JOB = new JobId("run-1");
    private static final TaskId TASK = TaskId.parse("run-1/0");
    private final SimulatedCluster cluster = new SimulatedCluster();

    private void startTask() {
        cluster.worker("isolated", -10);
        cluster.worker("other", -10);
        cluster.startLeaderWithRecords(-10);
        cluster.submit(spec(1, 1, 4, 500), -10);
        cluster.joinLeader("isolated", -4);
        assertEquals(1, cluster.worker("isolated").tasks.size());
    }

    /** The unreachable machine sends heartbeats again from {@code unreachableUntil} on; its clock advances throughout. */
    private void step(double now, double unreachableUntil, double leaderChangeAt) {
        if (now == leaderChangeAt) {
            cluster.startLeaderWithRecords(now);
        }
        cluster.worker("isolated").expireLease(now);
        if (now >= unreachableUntil) {
            cluster.sendHeartbeat("isolated", now);
        }
        cluster.core.expireLeases(atSeconds(now));
        cluster.sendHeartbeat("other", now);
    }

    /**
     * {@code leaderChangeAt}: when another leader begins, or -1; {@code expectedStartS}: when the task starts on the other machine,
     * or -1.
     */
    @ParameterizedTest
    @CsvSource({"8, -1, -1", "10.5, -1, -1", "10.5, 5, -1", "20, -1, 11.5", "90, -1, 11.5", "90, 5, 17.5", "11.5, 5, 12"
    })
    void tasksStartElsewhereOnceTheLeaseExpires(double unreachableUntil, double leaderChangeAt, double expectedStartS) {
        startTask();
        double startedAt = -1;
        for (double now = 0; now < 60; now += 0.5) {
            step(now, unreachableUntil, leaderChangeAt);
            startedAt = startedAt < 0 && cluster.startCount(TASK) > 1 ? now : startedAt;
        }
        assertEquals(expectedStartS, startedAt);
        assertEquals(List.of(), cluster.violations);
    }

    /** The job is cancelled while the machine is unreachable, with the same leader or with a change of leader. */
    @ParameterizedTest
    @CsvSource({"0, -1", "6, -1", "6, 3", "6, 8", "10.5, 12"})
    void cancelledTaskEndsInTime(double cancelledAt, double leaderChangeAt) {
        startTask();
        double endedAt = -1;
        for (double now = 0; now < cancelledAt + SAFETY_TIMES.cancellationTime().seconds(); now += 0.5) {
            if (now == cancelledAt) {
                cluster.cancel(JOB);
            }
            step(now, 90, leaderChangeAt);
            endedAt = endedAt < 0 && cluster.workerRunning(TASK) == null ? now : endedAt;
        }
        assertTrue(
                endedAt >= 0
                        && endedAt <= cancelledAt + SAFETY_TIMES.workerLease().seconds() + 0.5,
                "ended at " + endedAt);
        assertEquals(1, cluster.startCount(TASK), "started again after it was cancelled");
        assertEquals(List.of(), cluster.violations);
    }
}
