package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStop;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which task goes where, and which does not. */
class PlacementTest {
    /** Two spot machines, one in each zone: how many of six one-core tasks start at once. */
    @ParameterizedTest
    @CsvSource({
        "plain,    false, false, true,  ,     4, 2",
        "one zone, true,  false, true,  ,     4, 0",
        "spread,   false, true,  true,  ,     3, 3",
        "a zone,   false, false, true,  west, 0, 4",
        "ordinary, false, false, false, ,     0, 0"
    })
    void placementRules(String name, boolean oneZone, boolean spread, boolean spot, String zone, int east, int west) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("e", "east", 0);
        w.addSpotMachine("w", "west", 0);
        w.submit(withOptions(spec(1, 6, 1, 50), Urgency.STANDARD, oneZone, spread, spot, zone, 0), 0);
        assertEquals(
                east,
                tasksToStart(w.core.onHeartbeat(w.newHeartbeat("e", "east", 1, SchedulerFixture.TOKEN), atSeconds(1))
                                .commands())
                        .size(),
                name);
        assertEquals(
                west,
                tasksToStart(w.core.onHeartbeat(w.newHeartbeat("w", "west", 1, SchedulerFixture.TOKEN), atSeconds(1))
                                .commands())
                        .size(),
                name);
    }

    @ParameterizedTest
    @CsvSource({"0, 4", "3, 3", "2.5, 2", "0.5, 0"})
    void aTeamsLimitHolds(double coresMax, int started) {
        SchedulerFixture w = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(coresMax));
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(spec(1, 9, 1, 50), 0);
        assertEquals(started, tasksToStart(w.heartbeat("a", 1)).size());
    }

    /** A guest's batch work had as many cores as another team's urgent jobs, and kept the machines it once had. */
    @Test
    void teamsWithoutAGuaranteeShareOneQueue() {
        SchedulerFixture w = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 2, 0, 0));
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        JobSpec batch = spec(1, 8, 1, 300);
        w.submit(
                JobSpec.builder(batch.id())
                        .jobClass("g")
                        .team("guest")
                        .kind(batch.kind())
                        .urgency(Urgency.BEST_EFFORT)
                        .tasks(8)
                        .demand(batch.demand())
                        .image("img")
                        .imageGb(0)
                        .spotAllowed()
                        .estimate(batch.estimate())
                        .build(),
                0);
        List<WorkerCommand> guests = w.heartbeat("a", 1);
        assertEquals(List.of("run-1/0", "run-1/1"), tasksToStart(guests), "its limit still holds");
        w.submit(withOptions(spec(2, 8, 1, 20), Urgency.HIGH, false, false, true, null, 0), 2);
        assertEquals(
                List.of("run-2/0", "run-2/1"),
                tasksToStart(w.heartbeat("a", 3, SchedulerFixture.runningStatus(guests))),
                "the rest of a machine that a guest was given first is not left empty");
    }

    @Test
    void urgentJobsComeFirstThenTheOrderOfArrival() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.submit(spec(3, 1, 1, 50), 0);
        w.submit(spec(1, 1, 1, 50), 1);
        w.submit(withOptions(spec(2, 1, 1, 50), Urgency.HIGH, false, false, true, null, 0), 2);
        w.addSpotMachine("a", "east", 0);
        assertEquals(List.of("run-2/0", "run-3/0", "run-1/0"), tasksToStart(w.heartbeat("a", 3)));
    }

    /** A machine with one two-core task that ends at 60 s; the top job needs all four cores. */
    /** A long task that waits for a job with an aim came before it in the queue, and its reservation kept that job waiting. */
    @Test
    void whatLeavesRoomHoldsNoReservation() {
        SchedulerFixture w = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", true, Span.seconds(1000)))));
        w.core.recordsLoaded();
        JobSpec s = spec(1, 1, 4, 300);
        w.submit(
                JobSpec.builder(s.id())
                        .jobClass("g")
                        .team(s.team())
                        .kind(s.kind())
                        .urgency(Urgency.BEST_EFFORT)
                        .tasks(1)
                        .demand(s.demand())
                        .image("img")
                        .imageGb(0)
                        .spotAllowed()
                        .estimate(s.estimate())
                        .build(),
                0);
        w.submit(spec(2, 1, 1, 50), 100);
        w.addSpotMachine("a", "east", 100);
        assertEquals(List.of("run-2/0"), tasksToStart(w.heartbeat("a", 101)));
    }

    /**
     * Only the top job has a reservation: behind it, tasks of five minutes that nobody had said a time for took the rest of every
     * machine, and half of a class with an aim waited for them (a guest's day at 500 machines).
     */
    @ParameterizedTest
    @CsvSource({
        "g, 300, 0, leaves room for what waits with an aim",
        "c, 300, 1, has an aim itself",
        "g, 50, 1, soon over"
    })
    void longTasksWithoutAnAimLeaveRoomForThoseWithOne(String jobClass, double estimate, int started, String why) {
        SchedulerFixture w = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", true, Span.seconds(200)))));
        w.core.recordsLoaded();
        w.submit(spec(1, 2, 3, 20), 0);
        w.addSpotMachine("a", "east", 0);
        w.addSpotMachine("b", "east", 0);
        List<WorkerCommand> a = w.heartbeat("a", 1);
        List<WorkerCommand> b = w.heartbeat("b", 1);
        w.submit(spec(2, 1, 4, 50), 2);
        w.submit(spec(3, 1, 4, 50), 2);
        JobSpec s = spec(4, 2, 1, estimate);
        w.submit(
                JobSpec.builder(s.id())
                        .jobClass(jobClass)
                        .team(s.team())
                        .kind(s.kind())
                        .urgency(Urgency.BEST_EFFORT)
                        .tasks(2)
                        .demand(s.demand())
                        .image("img")
                        .imageGb(0)
                        .spotAllowed()
                        .estimate(s.estimate())
                        .build(),
                3);
        assertEquals(
                started,
                tasksToStart(w.heartbeat("a", 3, SchedulerFixture.runningStatus(a)))
                                .size()
                        + tasksToStart(w.heartbeat("b", 3, SchedulerFixture.runningStatus(b)))
                                .size(),
                why);
    }

    @ParameterizedTest
    @CsvSource({"20, 1, short enough to end before the top job's start", "200, 0, would delay the top job"})
    void backfillDoesNotDelayTheReservedTopJob(double estimate, int started, String why) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(spec(1, 1, 2, 60), 0);
        WorkerCommand first = w.heartbeat("a", 1).get(0);
        w.submit(spec(2, 1, 4, 50), 2);
        w.submit(spec(3, 1, 1, estimate), 3);
        assertEquals(
                started, tasksToStart(w.heartbeat("a", 4, runningStatus(first))).size(), why);
    }

    @Test
    void roomIsMadeForUrgentJobsByTasksThatKeepTheirProgressOnly() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.addSpotMachine("b", "east", 0);
        w.submit(withOptions(spec(1, 1, 4, 500), Urgency.BEST_EFFORT, false, false, true, null, 30), 0);
        w.submit(withOptions(spec(2, 1, 4, 500), Urgency.BEST_EFFORT, false, false, true, null, 0), 0);
        WorkerCommand saving = w.heartbeat("a", 1).get(0);
        WorkerCommand losing = w.heartbeat("b", 1).get(0);
        w.heartbeat("a", 2, runningStatus(saving));
        w.heartbeat("b", 2, runningStatus(losing));
        w.submit(withOptions(spec(3, 2, 1, 30), Urgency.HIGH, false, false, true, null, 0), 40);
        assertEquals(List.of(), tasksToStop(w.heartbeat("b", 41, runningStatus(losing))));
        assertEquals(List.of("run-1/0"), tasksToStop(w.heartbeat("a", 41, runningStatus(saving))));
        assertEquals(
                List.of("run-1/0"),
                tasksToStop(w.heartbeat("a", 42, runningStatus(saving))),
                "the first stop was lost");
        assertEquals(
                List.of(),
                tasksToStop(w.heartbeat(
                        "a", 43, new TaskStatus(saving.task(), saving.attempt(), TaskState.SAVING, null, false))));
    }

    @ParameterizedTest
    @CsvSource({"4, 1, the borrower is beyond its guarantee of none", "0, 0, nothing is guaranteed"})
    void borrowedMachinesGoBackToATeamWithinItsGuarantee(double guarantee, int stopped, String why) {
        SchedulerFixture w =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("owner", guarantee, 0, 0, 0));
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(spec(1, 1, 4, 500), 0);
        WorkerCommand borrowed = w.heartbeat("a", 1).get(0);
        w.heartbeat("a", 2, runningStatus(borrowed));
        JobSpec s = spec(2, 1, 4, 50);
        w.submit(
                JobSpec.builder(s.id())
                        .jobClass("c")
                        .team("owner")
                        .kind(s.kind())
                        .urgency(s.urgency())
                        .tasks(1)
                        .demand(s.demand())
                        .image("i")
                        .imageGb(0)
                        .spotAllowed()
                        .estimate(s.estimate())
                        .build(),
                3);
        assertEquals(
                stopped,
                tasksToStop(w.heartbeat("a", 4, runningStatus(borrowed))).size(),
                why);
        if (stopped > 0) {
            assertEquals(
                    List.of("run-2/0"), tasksToStart(w.heartbeat("a", 5, exitedStatus(borrowed, ExitCause.STOPPED))));
        }
    }

    @Test
    void aMachineThatFailsWhateverItGetsIsGivenUp() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(spec(1, 1, 2, 50), 0);
        w.submit(spec(2, 1, 2, 50), 0);
        List<TaskStatus> failed = new ArrayList<>();
        w.heartbeat("a", 1).forEach(command -> failed.add(exitedStatus(command, ExitCause.ERROR)));
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 2, failed.toArray(TaskStatus[]::new))));
        w.core.planScaleIn(atSeconds(3));
        assertEquals(List.of(new MachineId("a")), w.core.machinesToReturn(9));
    }

    /** A job with a mistake fails everywhere: good machines are kept, and it is tried ever more rarely. */
    @Test
    void aJobThatFailsEverywhereCondemnsNoMachine() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.submit(spec(1, 9, 4, 50), 0);
        int tries = 0;
        List<List<TaskStatus>> pending = new ArrayList<>(List.of(List.of(), List.of(), List.of(), List.of()));
        for (int m = 0; m < 4; m++) {
            w.addSpotMachine("m" + m, "east", 0);
        }
        for (double t = 1; t < 100; t += 1) {
            for (int m = 0; m < 4; m++) {
                List<WorkerCommand> orders =
                        w.heartbeat("m" + m, t, pending.get(m).toArray(TaskStatus[]::new));
                List<TaskStatus> next = new ArrayList<>();
                for (WorkerCommand command : orders) {
                    if (command instanceof WorkerCommand.Start) {
                        tries++;
                        next.add(exitedStatus(command, ExitCause.ERROR));
                    }
                }
                pending.set(m, next);
            }
        }
        assertTrue(tries >= 5 && tries < 20, "tries: " + tries);
        w.submit(spec(2, 4, 4, 50), 100);
        long started = 0;
        for (int m = 0; m < 4; m++) {
            started += tasksToStart(w.heartbeat("m" + m, 101, pending.get(m).toArray(TaskStatus[]::new))).stream()
                    .filter(s -> s.startsWith("run-2"))
                    .count();
        }
        assertTrue(started >= 3, "started: " + started);
    }

    @Test
    void aSpotNoticeEndsNewStartsAndSavesWhatCanBeSaved() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(withOptions(spec(1, 1, 1, 500), Urgency.STANDARD, false, false, true, null, 30), 0);
        WorkerCommand start = w.heartbeat("a", 1).get(0);
        w.submit(spec(2, 1, 1, 50), 2);
        Heartbeat heartbeat = w.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN, runningStatus(start));
        List<WorkerCommand> orders = w.core.onHeartbeat(
                        new Heartbeat(
                                heartbeat.machine(),
                                heartbeat.address(),
                                heartbeat.pool(),
                                heartbeat.number(),
                                heartbeat.token(),
                                Span.seconds(12),
                                heartbeat.tasks()),
                        atSeconds(40))
                .commands();
        assertEquals(List.of(), tasksToStart(orders));
        assertEquals(List.of("run-1/0"), tasksToStop(orders));
    }
}
