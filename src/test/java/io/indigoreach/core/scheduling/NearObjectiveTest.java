package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs whose aim is nearer than a boot: machines for their flow, room made for them, and room kept for bulky ones. */
class NearObjectiveTest {
    private static Job job(int id, double arrived) {
        return new Job(spec(id, 1, 1, 10), id, atSeconds(arrived), Revision.ABSENT, new BitSet(), 99, false);
    }

    /** Jobs that arrive at these seconds, one unit each, asked about at 60 (a minute after the first question). */
    @ParameterizedTest
    @CsvSource({
        "5 15 25 35 45 55,             0.1",
        "31 32 33 34 35 36 37 38 39,   0",
        "5 15 25 35 45 55 56 57 58,    0.1",
        "'',                           0"
    })
    void aBurstIsNoFlow(String arrivals, double perSecond) {
        ArrivalRate inflow = new ArrivalRate();
        inflow.workPerSecond(job -> true, job -> 1, Span.seconds(60), atSeconds(0));
        int id = 0;
        for (String second : arrivals.isEmpty() ? new String[0] : arrivals.split(" ")) {
            inflow.add(job(++id, Double.parseDouble(second)));
        }
        assertEquals(perSecond, inflow.workPerSecond(job -> true, job -> 1, Span.seconds(60), atSeconds(60)), 1e-9);
    }

    /** Five seconds after a take-over one large job is no proof of a flow (334 machines were rented for such). */
    @Test
    void littleTimeTellsLittle() {
        ArrivalRate inflow = new ArrivalRate();
        inflow.workPerSecond(job -> true, job -> 100, Span.seconds(60), atSeconds(0));
        inflow.add(job(1, 1));
        inflow.add(job(2, 3));
        assertEquals(true, inflow.workPerSecond(job -> true, job -> 100, Span.seconds(60), atSeconds(5)) <= 3);
    }

    /** A job due in {@code within} seconds that runs 20: low tasks that save are stopped for it only if it is near. */
    @ParameterizedTest
    @CsvSource({"60, STANDARD, 2", "60, BEST_EFFORT, 0", "300, STANDARD, 0"})
    void lowTasksMakeRoomForNearAims(double within, Urgency urgency, int stopped) {
        SchedulerFixture w = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", false, Span.seconds(within)))));
        w.core.recordsLoaded();
        JobSpec low = spec(1, 2, 2, 300);
        w.submit(
                withOptions(
                        JobSpec.builder(low.id())
                                .jobClass("low")
                                .team("t")
                                .kind(low.kind())
                                .urgency(low.urgency())
                                .tasks(2)
                                .demand(low.demand())
                                .image("img")
                                .imageGb(0)
                                .spotAllowed()
                                .estimate(low.estimate())
                                .build(),
                        Urgency.BEST_EFFORT,
                        false,
                        false,
                        true,
                        null,
                        5),
                0);
        w.addSpotMachine("a", "east", 0);
        List<WorkerCommand> orders = w.heartbeat("a", 1);
        w.heartbeat("a", 2, runningStatus(orders));
        w.submit(withOptions(spec(2, 4, 1, 20), urgency, false, false, true, null, 0), 40);
        assertEquals(
                stopped,
                SchedulerFixture.tasksToStop(w.heartbeat("a", 41, runningStatus(orders)))
                        .size());
    }

    /**
     * A replica due to start within 2 s found every machine with its image busy. Tasks that do not save make room for it
     * if they have hardly begun, and only while its aim can be met.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "10, 1, 0", "1, 3, 0"})
    void tasksThatHaveHardlyBegunMakeRoomForAStartThatIsDue(double begun, double waited, int stopped) {
        SchedulerFixture w = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(List.of(new ServiceLevelObjectives.Objective("s", true, Span.seconds(2)))));
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 60), 0);
        TaskStatus[] tasks = runningStatus(w.addOnDemandMachine("a", 20));
        w.heartbeatOnDemand("a", 20, tasks);
        w.submit(SchedulerFixture.service(2, 1), 20 + begun - waited);
        assertEquals(
                stopped,
                SchedulerFixture.tasksToStop(w.heartbeatOnDemand("a", 20 + begun, tasks))
                        .size());
    }
}
