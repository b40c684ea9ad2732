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
 * Guards against a backlog of short jobs that grows though machines are to be had (found on an emulated deployment
 * without aims): BestSize counts the top short job only, so one or two machines were rented per boot, whatever waited.
 */
class ShortQueueTest {
    /**
     * Short jobs of 20 tasks of 6 s, four at once on a machine, beside one that comes free in 10 of the 45 s: a third of
     * 30 s a job, as nobody has seen one of them end, less 35 s, by the paid minute.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "20, 3", "200, 33", "1000, 167"})
    void theQueueCountsNotOnlyItsTop(int jobs, int machines) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(spec(1, 4, 1, 100), 0);
        w.heartbeat("a", 1);
        for (int id = 2; id < jobs + 2; id++) {
            w.submit(spec(id, 20, 1, 6), 0);
        }
        assertEquals(
                machines,
                w.core.scaleOutRequests(atSeconds(100)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A job a second of 20 tasks of 5 s: 25 machines' work, on top of 120 jobs that came while nothing served. */
    @ParameterizedTest
    @CsvSource({"1, 75", "3, 75", "0.4, 90"})
    void waitsFallUnderTheLimitAndNoMoreIsRentedThanNeeded(double estimates, int mostMachines) {
        CoreHarness run = new CoreHarness(
                        SchedulerFixture.SETTINGS,
                        List.of(CoreHarness.Workload.of("short", Urgency.STANDARD, 1, 120, 20, 5, 1)
                                .withEstimateFactor(estimates)),
                        500,
                        0,
                        SchedulerFixture.NO_OBJECTIVES)
                .run(400);
        assertTrue(
                run.longestWaitForLastStart("short", 200)
                        < SchedulerFixture.SETTINGS.waitLimit().seconds(),
                "waits " + run.longestWaitForLastStart("short", 200));
        assertTrue(run.peakMachines <= mostMachines && run.peakMachines >= 25, "machines " + run.peakMachines);
    }
}
