package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Urgency;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a growing backlog of short jobs although machines are available. BestSize counted only the top short
 * job, so that one or two machines were rented per boot time regardless of the backlog.
 */
class ShortQueueTest {
    /**
     * Each short job has 20 tasks of 6 s; a machine runs four at once, so a job takes 30 s of a machine. No task has
     * ended yet, so only a third of the estimate is used. The existing machine has 35 s left of the wait limit of 45 s;
     * machines are billed by the minute. The requests must cover the work of the whole queue.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "20, 3", "200, 33", "1000, 167"})
    void scaleOutCountsTheWholeQueue(int jobs, int machines) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(spec(1, 4, 1, 100), 0);
        world.heartbeat("a", 1);
        for (int id = 2; id < jobs + 2; id++) {
            world.submit(spec(id, 20, 1, 6), 0);
        }
        assertEquals(
                machines,
                world.core.scaleOutRequests(atSeconds(100)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A job of 20 tasks of 5 s per second keeps 25 machines busy; 120 jobs are waiting at the start. */
    @ParameterizedTest
    @CsvSource({"1, 75", "3, 75", "0.4, 90"})
    void waitsFallBelowLimitWithoutExcessMachines(double estimates, int maxMachines) {
        CoreHarness harness = new CoreHarness(
                        SchedulerFixture.SETTINGS,
                        List.of(CoreHarness.Workload.of("short", Urgency.STANDARD, 1, 120, 20, 5, 1)
                                .withEstimateFactor(estimates)),
                        500,
                        0,
                        SchedulerFixture.NO_OBJECTIVES)
                .run(400);
        assertTrue(
                harness.longestWaitForLastStart("short", 200)
                        < SchedulerFixture.SETTINGS.waitLimit().seconds(),
                "longest wait " + harness.longestWaitForLastStart("short", 200));
        assertTrue(
                harness.peakMachines <= maxMachines && harness.peakMachines >= 25, "machines " + harness.peakMachines);
    }
}
