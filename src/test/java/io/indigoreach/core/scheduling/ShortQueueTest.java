package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
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
        SimulatedWorld w = new SimulatedWorld();
        w.core.onRecordsLoaded();
        w.up("a", "east", 0);
        w.submit(spec(1, 4, 1, 100), 0);
        w.hear("a", 1);
        for (int id = 2; id < jobs + 2; id++) {
            w.submit(spec(id, 20, 1, 6), 0);
        }
        assertEquals(
                machines,
                w.core.scaleOutRequests(at(100)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A job a second of 20 tasks of 5 s: 25 machines' work, on top of 120 jobs that came while nothing served. */
    @ParameterizedTest
    @CsvSource({"1, 75", "3, 75", "0.4, 90"})
    void waitsFallUnderTheLimitAndNoMoreIsRentedThanNeeded(double estimates, int mostMachines) {
        CoreHarness run = new CoreHarness(
                        SimulatedWorld.TUNING,
                        List.of(CoreHarness.Kind.of("short", Urgency.STANDARD, 1, 120, 20, 5, 1)
                                .estimated(estimates)),
                        500,
                        0,
                        SimulatedWorld.NO_AIMS)
                .run(400);
        assertTrue(
                run.longestWait("short", 200)
                        < SimulatedWorld.TUNING.waitLimit().seconds(),
                "waits " + run.longestWait("short", 200));
        assertTrue(run.mostUp <= mostMachines && run.mostUp >= 25, "machines " + run.mostUp);
    }
}
