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
class MuteMachineTest {
    private static final JobId JOB = new JobId("run-1");
    private static final TaskId TASK = TaskId.parse("run-1/0");
    private final SimulatedCluster site = new SimulatedCluster();

    private void begin() {
        site.box("isolated", -10);
        site.box("other", -10);
        site.lead(-10);
        site.submit(spec(1, 1, 4, 500), -10);
        site.become("isolated", -4);
        assertEquals(1, site.box("isolated").tasks.size());
    }

    /** The unreachable machine sends heartbeats again from {@code muteUntil} on; its clock advances throughout. */
    private void step(double now, double muteUntil, double change) {
        if (now == change) {
            site.lead(now);
        }
        site.box("isolated").live(now);
        if (now >= muteUntil) {
            site.report("isolated", now);
        }
        site.core.expireLeases(at(now));
        site.report("other", now);
    }

    /**
     * {@code change}: when another leader begins, or -1; {@code elsewhere}: when the task starts on the other machine,
     * or -1.
     */
    @ParameterizedTest
    @CsvSource({"8, -1, -1", "10.5, -1, -1", "10.5, 5, -1", "20, -1, 11.5", "90, -1, 11.5", "90, 5, 17.5", "11.5, 5, 12"
    })
    void itsTasksGoElsewhereWhenItsLeaseIsOverAndNotBefore(double muteUntil, double change, double elsewhere) {
        begin();
        double started = -1;
        for (double now = 0; now < 60; now += 0.5) {
            step(now, muteUntil, change);
            started = started < 0 && site.starts(TASK) > 1 ? now : started;
        }
        assertEquals(elsewhere, started);
        assertEquals(List.of(), site.broken);
    }

    /** The job is cancelled while the machine is unreachable, with the same leader or with a change of leader. */
    @ParameterizedTest
    @CsvSource({"0, -1", "6, -1", "6, 3", "6, 8", "10.5, 12"})
    void itsCancelledTaskIsGoneInTime(double cancelled, double change) {
        begin();
        double gone = -1;
        for (double now = 0; now < cancelled + RULES.cancellationTime().seconds(); now += 0.5) {
            if (now == cancelled) {
                site.cancel(JOB);
            }
            step(now, 90, change);
            gone = gone < 0 && site.runs(TASK) == null ? now : gone;
        }
        assertTrue(gone >= 0 && gone <= cancelled + RULES.workerLease().seconds() + 0.5, "ended at " + gone);
        assertEquals(1, site.starts(TASK), "started again after it was cancelled");
        assertEquals(List.of(), site.broken);
    }
}
