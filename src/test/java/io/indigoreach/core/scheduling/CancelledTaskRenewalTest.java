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
 * Guards against a task of a cancelled job that outlives the cancellation time because leaders renew its machine's
 * lease without stopping it.
 *
 * <p>Every answer to a heartbeat renews the lease, but only an answer to a heartbeat with the leader's own token, whose
 * task list is reconciled, used to stop tasks. Three leaders that knew of the cancellation each answered one heartbeat
 * that carried an older token, and each ended within two seconds of its answer. The answers contained no commands, and
 * a replica ran on.
 */
class CancelledTaskRenewalTest {
    private static final String MACHINE = "a";
    private static final JobId JOB = new JobId("run-1");
    private static final Team TEAM = SchedulerFixture.teamWithCoreLimit(0);
    private static final double CANCELLED_AT = 10;
    private static final double LAST_STEP =
            CANCELLED_AT + 3 * SchedulerFixture.SAFETY_TIMES.cancellationTime().seconds();

    private final SimulatedCluster cluster = new SimulatedCluster(TEAM);

    /** What a leader knows of the machine from the records. */
    private enum RecordedState {
        /** An earlier leader recorded the machine. */
        RECORDED,
        /** No record mentions the machine. */
        UNKNOWN,
        /** An earlier leader recorded the machine and the request to return it, to which the cloud does not respond. */
        RECORDED_AND_RETURNED,
        /** An earlier leader recorded only the request to return the machine, to which the cloud does not respond. */
        RETURNED
    }

    @BeforeEach
    void startTwoTasks() {
        cluster.worker(MACHINE, 0);
        cluster.startLeaderWithRecords(0);
        cluster.joinLeader(MACHINE, 1);
        cluster.submit(spec(1, 2, 1, 1000), 5);
        cluster.sendHeartbeat(MACHINE, 6);
        assertEquals(2, cluster.runningTasks(6).size());
    }

    private void nextLeader(RecordedState recordedState, double now) {
        cluster.startLeader(now);
        boolean recorded =
                recordedState == RecordedState.RECORDED || recordedState == RecordedState.RECORDED_AND_RETURNED;
        cluster.loadRecords(recorded ? Set.of(MACHINE) : Set.of());
        if (recordedState == RecordedState.RETURNED || recordedState == RecordedState.RECORDED_AND_RETURNED) {
            cluster.core.inheritReturns(List.of(new MachineId(MACHINE)), atSeconds(now));
        }
    }

    /** Leaders that know of the cancellation succeed each other; each answers one or more heartbeats of the machine. */
    private List<String> violations(RecordedState recordedState, double leadershipS, double heartbeatPeriodS) {
        cluster.cancel(JOB, CANCELLED_AT);
        double leaderUntil = CANCELLED_AT;
        for (double now = CANCELLED_AT; now < LAST_STEP; now += heartbeatPeriodS) {
            if (now >= leaderUntil) {
                nextLeader(recordedState, now);
                leaderUntil = now + leadershipS;
            }
            cluster.sendHeartbeat(MACHINE, now + 1);
            cluster.usedCores(TEAM, now + 1);
        }
        return cluster.violations;
    }

    /**
     * Each leader ends before the machine's next heartbeat, or one leader stays and the cloud does not answer its
     * returns.
     */
    @ParameterizedTest
    @CsvSource({
        // known from records, length of a leadership in seconds, seconds between answered heartbeats
        "RECORDED, 9, 9",
        "UNKNOWN, 9, 9",
        "RECORDED_AND_RETURNED, 9, 9",
        "RETURNED, 9, 9",
        "RETURNED, 1000, 2"
    })
    void tasksEndInTimeWithoutReconciliation(RecordedState recordedState, double leadershipS, double heartbeatPeriodS) {
        assertEquals(List.of(), violations(recordedState, leadershipS, heartbeatPeriodS));
    }

    @ParameterizedTest
    @CsvSource({"RECORDED, 1000, 2", "UNKNOWN, 1000, 2", "RECORDED_AND_RETURNED, 1000, 2"})
    void tasksEndInTimeWithReconciliation(RecordedState recordedState, double leadershipS, double heartbeatPeriodS) {
        assertEquals(List.of(), violations(recordedState, leadershipS, heartbeatPeriodS));
    }
}
