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

/** Jobs whose objective is nearer than a machine's boot time: their arrival rate, and preemption for them. */
class NearObjectiveTest {
    private static Job job(int id, double arrived) {
        return new Job(spec(id, 1, 1, 10), id, atSeconds(arrived), Revision.ABSENT, new BitSet(), 99, false);
    }

    /** The rate at 60 s of jobs that arrive at these seconds; the first query is at 0 s. */
    @ParameterizedTest
    @CsvSource({
        "5 15 25 35 45 55,             0.1",
        "31 32 33 34 35 36 37 38 39,   0",
        "5 15 25 35 45 55 56 57 58,    0.1",
        "'',                           0"
    })
    void burstDoesNotCountAsSteadyArrival(String arrivals, double perSecond) {
        ArrivalRate arrivalRate = new ArrivalRate();
        arrivalRate.workPerSecond(job -> true, job -> 1, Span.seconds(60), atSeconds(0));
        int id = 0;
        for (String second : arrivals.isEmpty() ? new String[0] : arrivals.split(" ")) {
            arrivalRate.add(job(++id, Double.parseDouble(second)));
        }
        assertEquals(
                perSecond, arrivalRate.workPerSecond(job -> true, job -> 1, Span.seconds(60), atSeconds(60)), 1e-9);
    }

    /**
     * Guards against a rate derived from one large job five seconds after a failover, for which 334 machines were
     * rented.
     */
    @Test
    void rateIsNotExtrapolatedFromShortObservation() {
        ArrivalRate arrivalRate = new ArrivalRate();
        arrivalRate.workPerSecond(job -> true, job -> 100, Span.seconds(60), atSeconds(0));
        arrivalRate.add(job(1, 1));
        arrivalRate.add(job(2, 3));
        assertEquals(true, arrivalRate.workPerSecond(job -> true, job -> 100, Span.seconds(60), atSeconds(5)) <= 3);
    }

    /**
     * Best-effort tasks with checkpoints are preempted for a 20 s job only if its objective in {@code within} s is
     * near.
     */
    @ParameterizedTest
    @CsvSource({"60, STANDARD, 2", "60, BEST_EFFORT, 0", "300, STANDARD, 0"})
    void bestEffortTasksArePreemptedForNearObjectives(double within, Urgency urgency, int stopped) {
        SchedulerFixture world = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", false, Span.seconds(within)))));
        world.core.onRecordsLoaded();
        JobSpec bestEffort = spec(1, 2, 2, 300);
        world.submit(
                withOptions(
                        JobSpec.builder(bestEffort.id())
                                .jobClass("low")
                                .team("t")
                                .kind(bestEffort.kind())
                                .urgency(bestEffort.urgency())
                                .taskCount(2)
                                .demand(bestEffort.demand())
                                .image("img")
                                .imageGb(0)
                                .spotAllowed()
                                .estimatedRunTime(bestEffort.estimatedRunTime())
                                .build(),
                        Urgency.BEST_EFFORT,
                        false,
                        false,
                        true,
                        null,
                        5),
                0);
        world.addSpotMachine("a", "east", 0);
        List<WorkerCommand> commands = world.heartbeat("a", 1);
        world.heartbeat("a", 2, runningStatus(commands));
        world.submit(withOptions(spec(2, 4, 1, 20), urgency, false, false, true, null, 0), 40);
        assertEquals(
                stopped,
                SchedulerFixture.tasksToStop(world.heartbeat("a", 41, runningStatus(commands)))
                        .size());
    }

    /**
     * Guards against a replica that misses its start objective of 2 s because every machine with its image is busy.
     * Tasks without checkpoints are preempted for it if they have just started, and only while the objective can be
     * met.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "10, 1, 0", "1, 3, 0"})
    void justStartedTasksArePreemptedForStartObjectives(double runningFor, double waitedFor, int stopped) {
        SchedulerFixture world = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(List.of(new ServiceLevelObjectives.Objective("s", true, Span.seconds(2)))));
        world.core.onRecordsLoaded();
        world.submit(spec(1, 4, 1, 60), 0);
        TaskStatus[] tasks = runningStatus(world.addOnDemandMachine("a", 20));
        world.heartbeatOnDemand("a", 20, tasks);
        world.submit(SchedulerFixture.service(2, 1), 20 + runningFor - waitedFor);
        assertEquals(
                stopped,
                SchedulerFixture.tasksToStop(world.heartbeatOnDemand("a", 20 + runningFor, tasks))
                        .size());
    }
}
