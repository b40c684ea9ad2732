package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Team;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Seen: a replica of a cancelled job was on its machine longer than it may. Its user was told a second before all controllers ended.
 *
 * <p>How it came about: three leaders answered one heartbeat each of the machine, and ended within two seconds of it. Each knew that the
 * job was cancelled. But the heartbeat had an older leader's token, so the answer had no commands; it renewed the machine's
 * lease all the same, and by the next heartbeat that leader was gone.
 *
 * <p>Cause: an effect on every path and its guard on one. Every answer renews the lease; only an answer to a heartbeat with the leader's
 * own token, whose task list it reconciles, stopped tasks. Proof: the machine accepted all three answers, so no stop was lost; the first
 * leader's log has the cancellation before its answer, and the other two read their records after it.
 */
class CancelledTaskRenewalTest {
    private static final String MACHINE = "a";
    private static final JobId JOB = new JobId("run-1");
    private static final Team TEAM = SchedulerFixture.teamWithCoreLimit(0);
    private static final double CANCELLED_AT = 10;
    private static final double LAST_STEP =
            CANCELLED_AT + 3 * SchedulerFixture.SAFETY_TIMES.cancellationTime().seconds();

    private final SimulatedCluster cluster = new SimulatedCluster(TEAM);

    /** What a leader knows of the machine besides its heartbeats. */
    private enum Known {
        /** An earlier leader recorded the machine. */
        RECORDED,
        /** No record names it. */
        UNKNOWN,
        /** An earlier leader recorded the machine, and that it is being returned; the cloud does not answer. */
        RECORDED_AND_RETURNED,
        /** An earlier leader recorded that it is being returned, nothing else; the cloud does not answer. */
        RETURNED
    }

    @BeforeEach
    void twoTasksRun() {
        cluster.worker(MACHINE, 0);
        cluster.startLeaderWithRecords(0);
        cluster.joinLeader(MACHINE, 1);
        cluster.submit(spec(1, 2, 1, 1000), 5);
        cluster.sendHeartbeat(MACHINE, 6);
        assertEquals(2, cluster.runningTasks(6).size());
    }

    private void nextLeader(Known known, double now) {
        cluster.startLeader(now);
        boolean recorded = known == Known.RECORDED || known == Known.RECORDED_AND_RETURNED;
        cluster.loadRecords(recorded ? Set.of(MACHINE) : Set.of());
        if (known == Known.RETURNED || known == Known.RECORDED_AND_RETURNED) {
            cluster.core.inheritReturns(List.of(new MachineId(MACHINE)), atSeconds(now));
        }
    }

    /** Leaders that know of the cancellation follow each other; each answers one heartbeat of the machine in its time, or more. */
    private List<String> brokenRules(Known known, double leadershipS, double heartbeatPeriodS) {
        cluster.cancel(JOB, CANCELLED_AT);
        double leaderUntil = CANCELLED_AT;
        for (double now = CANCELLED_AT; now < LAST_STEP; now += heartbeatPeriodS) {
            if (now >= leaderUntil) {
                nextLeader(known, now);
                leaderUntil = now + leadershipS;
            }
            cluster.sendHeartbeat(MACHINE, now + 1);
            cluster.usedCores(TEAM, now + 1);
        }
        return cluster.violations;
    }

    /** Each leader ends before the machine's next heartbeat; or one stays, and the cloud does not answer its returns. */
    @ParameterizedTest
    @CsvSource({
        // what each leader knows, how long it leads, time between heartbeats that are answered
        "RECORDED, 9, 9",
        "UNKNOWN, 9, 9",
        "RECORDED_AND_RETURNED, 9, 9",
        "RETURNED, 9, 9",
        "RETURNED, 1000, 2"
    })
    void tasksEndInTimeThoughNoLeaderReconciles(Known known, double leadershipS, double heartbeatPeriodS) {
        assertEquals(List.of(), brokenRules(known, leadershipS, heartbeatPeriodS));
    }

    @ParameterizedTest
    @CsvSource({"RECORDED, 1000, 2", "UNKNOWN, 1000, 2", "RECORDED_AND_RETURNED, 1000, 2"})
    void tasksEndInTimeUnderALeaderThatReconciles(Known known, double leadershipS, double heartbeatPeriodS) {
        assertEquals(List.of(), brokenRules(known, leadershipS, heartbeatPeriodS));
    }
}
