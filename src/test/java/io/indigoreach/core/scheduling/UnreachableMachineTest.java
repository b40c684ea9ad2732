package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.RULES;
import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
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
        cluster.box("isolated", -10);
        cluster.box("other", -10);
        cluster.lead(-10);
        cluster.submit(spec(1, 1, 4, 500), -10);
        cluster.become("isolated", -4);
        assertEquals(1, cluster.box("isolated").tasks.size());
    }

    /** The unreachable machine sends heartbeats again from {@code unreachableUntil} on; its clock advances throughout. */
    private void step(double now, double unreachableUntil, double leaderChangeAt) {
        if (now == leaderChangeAt) {
            cluster.lead(now);
        }
        cluster.box("isolated").live(now);
        if (now >= unreachableUntil) {
            cluster.report("isolated", now);
        }
        cluster.core.expireLeases(at(now));
        cluster.report("other", now);
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
            startedAt = startedAt < 0 && cluster.starts(TASK) > 1 ? now : startedAt;
        }
        assertEquals(expectedStartS, startedAt);
        assertEquals(List.of(), cluster.broken);
    }

    /** The job is cancelled while the machine is unreachable, with the same leader or with a change of leader. */
    @ParameterizedTest
    @CsvSource({"0, -1", "6, -1", "6, 3", "6, 8", "10.5, 12"})
    void cancelledTaskEndsInTime(double cancelledAt, double leaderChangeAt) {
        startTask();
        double endedAt = -1;
        for (double now = 0; now < cancelledAt + RULES.cancellationTime().seconds(); now += 0.5) {
            if (now == cancelledAt) {
                cluster.cancel(JOB);
            }
            step(now, 90, leaderChangeAt);
            endedAt = endedAt < 0 && cluster.runs(TASK) == null ? now : endedAt;
        }
        assertTrue(endedAt >= 0 && endedAt <= cancelledAt + RULES.workerLease().seconds() + 0.5, "ended at " + endedAt);
        assertEquals(1, cluster.starts(TASK), "started again after it was cancelled");
        assertEquals(List.of(), cluster.broken);
    }
}
