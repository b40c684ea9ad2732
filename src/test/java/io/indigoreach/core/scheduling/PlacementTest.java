package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.bestEffort;
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

/** Which tasks the dispatcher starts, preempts or holds back on a machine. */
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
    void zoneAndPoolConstraintsLimitStarts(
            String name, boolean oneZone, boolean spread, boolean spot, String zone, int east, int west) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("e", "east", 0);
        world.addSpotMachine("w", "west", 0);
        world.submit(withOptions(spec(1, 6, 1, 50), Urgency.STANDARD, oneZone, spread, spot, zone, 0), 0);
        assertEquals(
                east,
                tasksToStart(world.core
                                .onHeartbeat(world.newHeartbeat("e", "east", 1, SchedulerFixture.TOKEN), atSeconds(1))
                                .commands())
                        .size(),
                name);
        assertEquals(
                west,
                tasksToStart(world.core
                                .onHeartbeat(world.newHeartbeat("w", "west", 1, SchedulerFixture.TOKEN), atSeconds(1))
                                .commands())
                        .size(),
                name);
    }

    @ParameterizedTest
    @CsvSource({"0, 4", "3, 3", "2.5, 2", "0.5, 0"})
    void teamLimitCapsStarts(double coresMax, int started) {
        SchedulerFixture world = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(coresMax));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(spec(1, 9, 1, 50), 0);
        assertEquals(started, tasksToStart(world.heartbeat("a", 1)).size());
    }

    /**
     * Guards against queues per team without a guarantee, where batch jobs got as many cores as another team's urgent
     * jobs.
     */
    @Test
    void teamsWithoutAGuaranteeShareOneQueue() {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 2, 0, 0));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        JobSpec batch = spec(1, 8, 1, 300);
        world.submit(SchedulerFixture.withTeam(bestEffort(batch, "g"), "guest"), 0);
        List<WorkerCommand> guests = world.heartbeat("a", 1);
        assertEquals(List.of("run-1/0", "run-1/1"), tasksToStart(guests), "the team's limit still holds");
        world.submit(withOptions(spec(2, 8, 1, 20), Urgency.HIGH, false, false, true, null, 0), 2);
        assertEquals(
                List.of("run-2/0", "run-2/1"),
                tasksToStart(world.heartbeat("a", 3, SchedulerFixture.runningStatus(guests))),
                "another team uses the rest of the machine");
    }

    @Test
    void urgentJobsStartFirstThenByArrival() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.submit(spec(3, 1, 1, 50), 0);
        world.submit(spec(1, 1, 1, 50), 1);
        world.submit(withOptions(spec(2, 1, 1, 50), Urgency.HIGH, false, false, true, null, 0), 2);
        world.addSpotMachine("a", "east", 0);
        assertEquals(List.of("run-2/0", "run-3/0", "run-1/0"), tasksToStart(world.heartbeat("a", 3)));
    }

    /**
     * Guards against a reservation for a long task that is held back in favour of jobs with an objective: the
     * reservation kept those jobs waiting.
     */
    @Test
    void heldBackJobHoldsNoReservation() {
        SchedulerFixture world = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", true, Span.seconds(1000)))));
        world.core.onRecordsLoaded();
        JobSpec spec = spec(1, 1, 4, 300);
        world.submit(bestEffort(spec, "g"), 0);
        world.submit(spec(2, 1, 1, 50), 100);
        world.addSpotMachine("a", "east", 100);
        assertEquals(List.of("run-2/0"), tasksToStart(world.heartbeat("a", 101)));
    }

    /**
     * Guards against long tasks without an objective that fill the rest of every machine behind the top job's
     * reservation: on 500 machines, half of the jobs of a class with an objective waited for five-minute tasks.
     */
    @ParameterizedTest
    @CsvSource({
        "g, 300, 0, leaves capacity for waiting jobs with an objective",
        "c, 300, 1, has an objective itself",
        "g, 50, 1, ends soon"
    })
    void longTasksWithoutObjectiveLeaveCapacityForThoseWithOne(
            String jobClass, double estimate, int started, String reason) {
        SchedulerFixture world = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", true, Span.seconds(200)))));
        world.core.onRecordsLoaded();
        world.submit(spec(1, 2, 3, 20), 0);
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        List<WorkerCommand> startsOnA = world.heartbeat("a", 1);
        List<WorkerCommand> startsOnB = world.heartbeat("b", 1);
        world.submit(spec(2, 1, 4, 50), 2);
        world.submit(spec(3, 1, 4, 50), 2);
        JobSpec spec = spec(4, 2, 1, estimate);
        world.submit(bestEffort(spec, jobClass), 3);
        assertEquals(
                started,
                tasksToStart(world.heartbeat("a", 3, SchedulerFixture.runningStatus(startsOnA)))
                                .size()
                        + tasksToStart(world.heartbeat("b", 3, SchedulerFixture.runningStatus(startsOnB)))
                                .size(),
                reason);
    }

    /**
     * Guards against keeping cores for waiting tasks with an objective whose team is at its limit: long tasks without an
     * objective waited beside idle machines.
     */
    @Test
    void noCapacityIsLeftForObjectivesOfATeamAtItsLimit() {
        SchedulerFixture world = new SchedulerFixture(
                SchedulerFixture.SETTINGS,
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c", true, Span.seconds(1000)))),
                SchedulerFixture.teamWithCoreLimit(0),
                new Team("guest", 0, 4, 0, 0));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(SchedulerFixture.withTeam(spec(1, 60, 1, 100), "guest"), 0);
        List<WorkerCommand> starts = world.heartbeat("a", 1);
        assertEquals(4, tasksToStart(starts).size());
        world.addSpotMachine("b", "east", 1);
        JobSpec filler = spec(2, 1, 1, 300);
        world.submit(bestEffort(filler, "g"), 2);
        assertEquals(List.of("run-2/0"), tasksToStart(world.heartbeat("b", 3)));
    }

    /** A machine runs one two-core task that ends at 60 s; the top job needs all four cores. */
    @ParameterizedTest
    @CsvSource({"20, 1, short enough to end before the top job's start", "200, 0, would delay the top job"})
    void backfillDoesNotDelayTheReservedTopJob(double estimate, int started, String reason) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(spec(1, 1, 2, 60), 0);
        WorkerCommand first = world.heartbeat("a", 1).get(0);
        world.submit(spec(2, 1, 4, 50), 2);
        world.submit(spec(3, 1, 1, estimate), 3);
        assertEquals(
                started,
                tasksToStart(world.heartbeat("a", 4, runningStatus(first))).size(),
                reason);
    }

    @Test
    void onlyTasksWithCheckpointsArePreemptedForUrgentJobs() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        world.submit(withOptions(spec(1, 1, 4, 500), Urgency.BEST_EFFORT, false, false, true, null, 30), 0);
        world.submit(withOptions(spec(2, 1, 4, 500), Urgency.BEST_EFFORT, false, false, true, null, 0), 0);
        WorkerCommand saving = world.heartbeat("a", 1).get(0);
        WorkerCommand losing = world.heartbeat("b", 1).get(0);
        world.heartbeat("a", 2, runningStatus(saving));
        world.heartbeat("b", 2, runningStatus(losing));
        world.submit(withOptions(spec(3, 2, 1, 30), Urgency.HIGH, false, false, true, null, 0), 40);
        assertEquals(List.of(), tasksToStop(world.heartbeat("b", 41, runningStatus(losing))));
        assertEquals(List.of("run-1/0"), tasksToStop(world.heartbeat("a", 41, runningStatus(saving))));
        assertEquals(
                List.of("run-1/0"),
                tasksToStop(world.heartbeat("a", 42, runningStatus(saving))),
                "the first stop was lost");
        assertEquals(
                List.of(),
                tasksToStop(world.heartbeat(
                        "a", 43, new TaskStatus(saving.task(), saving.attempt(), TaskState.SAVING, null, false))));
    }

    /**
     * Guards against stopping tasks for places that the limit of the urgent job's team does not let it use: two tasks
     * were stopped where only one could start.
     */
    @Test
    void tasksArePreemptedOnlyAsFarAsTheTeamLimitAllows() {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 4, 0, 0));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        world.submit(withOptions(spec(1, 2, 4, 500), Urgency.BEST_EFFORT, false, false, true, null, 30), 0);
        TaskStatus onA = runningStatus(world.heartbeat("a", 1).get(0));
        TaskStatus onB = runningStatus(world.heartbeat("b", 1).get(0));
        world.heartbeat("a", 2, onA);
        world.heartbeat("b", 2, onB);
        JobSpec urgent = withOptions(spec(2, 2, 4, 30), Urgency.HIGH, false, false, true, null, 0);
        world.submit(SchedulerFixture.withTeam(urgent, "guest"), 40);
        assertEquals(List.of("run-1/0"), tasksToStop(world.heartbeat("a", 41, onA)));
        assertEquals(List.of(), tasksToStop(world.heartbeat("b", 41, onB)));
    }

    /** Guards against counting free places in zones that an urgent one-zone job may not use: it preempted nothing. */
    @Test
    void placesInOtherZonesDoNotReplacePreemption() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("b", "east", 0);
        world.submit(withOptions(spec(1, 1, 4, 500), Urgency.BEST_EFFORT, false, false, true, null, 30), 0);
        TaskStatus onB = runningStatus(world.heartbeat("b", 1).get(0));
        world.heartbeat("b", 2, onB);
        world.addSpotMachine("a", "east", 2);
        world.submit(withOptions(spec(2, 2, 4, 300), Urgency.HIGH, true, false, true, null, 0), 2);
        TaskStatus onA = runningStatus(world.heartbeat("a", 3).get(0));
        world.heartbeat("a", 4, onA);
        world.addSpotMachine("c", "west", 4);
        world.core.onHeartbeat(world.newHeartbeat("c", "west", 1, SchedulerFixture.TOKEN), atSeconds(5));
        assertEquals(List.of("run-1/0"), tasksToStop(world.heartbeat("b", 41, onB)));
    }

    @ParameterizedTest
    @CsvSource({"4, 1, the borrower is beyond its guarantee of none", "0, 0, nothing is guaranteed"})
    void borrowedMachinesAreReclaimedForGuarantees(double guarantee, int stopped, String reason) {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("owner", guarantee, 0, 0, 0));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(spec(1, 1, 4, 500), 0);
        WorkerCommand borrowed = world.heartbeat("a", 1).get(0);
        world.heartbeat("a", 2, runningStatus(borrowed));
        JobSpec spec = spec(2, 1, 4, 50);
        world.submit(
                JobSpec.builder(spec.id())
                        .jobClass("c")
                        .team("owner")
                        .kind(spec.kind())
                        .urgency(spec.urgency())
                        .taskCount(1)
                        .demand(spec.demand())
                        .image("i")
                        .imageGb(0)
                        .spotAllowed()
                        .estimatedRunTime(spec.estimatedRunTime())
                        .build(),
                3);
        assertEquals(
                stopped,
                tasksToStop(world.heartbeat("a", 4, runningStatus(borrowed))).size(),
                reason);
        if (stopped > 0) {
            assertEquals(
                    List.of("run-2/0"),
                    tasksToStart(world.heartbeat("a", 5, exitedStatus(borrowed, ExitCause.STOPPED))));
        }
    }

    @Test
    void machineOnWhichAllTasksFailIsReturned() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(spec(1, 1, 2, 50), 0);
        world.submit(spec(2, 1, 2, 50), 0);
        List<TaskStatus> failed = new ArrayList<>();
        world.heartbeat("a", 1).forEach(command -> failed.add(exitedStatus(command, ExitCause.ERROR)));
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 2, failed.toArray(TaskStatus[]::new))));
        world.core.planScaleIn(atSeconds(3));
        assertEquals(List.of(new MachineId("a")), world.core.machinesToReturn(9));
    }

    /** A faulty job fails on every machine: the machines are kept, and the job is retried with growing pauses. */
    @Test
    void jobThatFailsEverywhereLeavesMachinesInUse() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.submit(spec(1, 9, 4, 50), 0);
        int attempts = 0;
        List<List<TaskStatus>> pending = new ArrayList<>(List.of(List.of(), List.of(), List.of(), List.of()));
        for (int machine = 0; machine < 4; machine++) {
            world.addSpotMachine("m" + machine, "east", 0);
        }
        for (double second = 1; second < 100; second += 1) {
            for (int machine = 0; machine < 4; machine++) {
                List<WorkerCommand> commands = world.heartbeat(
                        "m" + machine, second, pending.get(machine).toArray(TaskStatus[]::new));
                List<TaskStatus> exitedTasks = new ArrayList<>();
                for (WorkerCommand command : commands) {
                    if (command instanceof WorkerCommand.Start) {
                        attempts++;
                        exitedTasks.add(exitedStatus(command, ExitCause.ERROR));
                    }
                }
                pending.set(machine, exitedTasks);
            }
        }
        assertTrue(attempts >= 5 && attempts < 20, "attempts: " + attempts);
        world.submit(spec(2, 4, 4, 50), 100);
        long started = 0;
        for (int machine = 0; machine < 4; machine++) {
            started +=
                    tasksToStart(world.heartbeat(
                                    "m" + machine, 101, pending.get(machine).toArray(TaskStatus[]::new)))
                            .stream()
                            .filter(s -> s.startsWith("run-2"))
                            .count();
        }
        assertTrue(started >= 3, "started: " + started);
    }

    /**
     * Guards against a reservation for all tasks of a suspected faulty job: it runs one task at a time, and other jobs
     * waited beside free machines while that task ran.
     */
    @Test
    void suspectedFaultyJobHoldsNoReservation() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        Job faulty = world.submit(withOptions(spec(1, 9, 4, 300), Urgency.HIGH, false, false, true, null, 0), 0);
        List.of("x", "y", "z").forEach(machine -> faulty.failedMachines.add(new MachineId(machine)));
        assertEquals(List.of("run-1/0"), tasksToStart(world.heartbeat("a", 1)));
        world.addSpotMachine("b", "east", 2);
        world.submit(spec(2, 1, 1, 50), 2);
        assertEquals(List.of("run-2/0"), tasksToStart(world.heartbeat("b", 3)));
    }

    /**
     * Guards against machines that were reserved for starved jobs whose team is at its limit: they were missing from the
     * reservation of the top job, which was then delayed.
     */
    @Test
    void noMachineIsReservedForStarvedJobsOfATeamAtItsLimit() {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 2, 0, 0));
        world.core.onRecordsLoaded();
        TaskStatus onFirst = null;
        for (int machine = 1; machine <= 8; machine++) {
            world.addSpotMachine("m" + machine, "east", 0);
            JobSpec spec = spec(machine, 1, 2, machine == 1 ? 200 : 1000);
            world.submit(machine == 2 ? SchedulerFixture.withTeam(spec, "guest") : spec, 0);
            TaskStatus started = runningStatus(world.heartbeat("m" + machine, 1).get(0));
            world.heartbeat("m" + machine, 2, started);
            onFirst = machine == 1 ? started : onFirst;
        }
        world.submit(SchedulerFixture.withTeam(spec(9, 1, 2, 100), "guest"), 3);
        world.submit(withOptions(spec(10, 1, 4, 50), Urgency.HIGH, false, false, true, null, 0), 125);
        world.submit(spec(11, 1, 2, 500), 126);
        assertEquals(List.of(), tasksToStart(world.heartbeat("m1", 130, onFirst)));
    }

    @Test
    void spotNoticePreventsStartsAndTriggersCheckpoints() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(withOptions(spec(1, 1, 1, 500), Urgency.STANDARD, false, false, true, null, 30), 0);
        WorkerCommand start = world.heartbeat("a", 1).get(0);
        world.submit(spec(2, 1, 1, 50), 2);
        Heartbeat heartbeat = world.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN, runningStatus(start));
        List<WorkerCommand> commands = world.core
                .onHeartbeat(
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
        assertEquals(List.of(), tasksToStart(commands));
        assertEquals(List.of("run-1/0"), tasksToStop(commands));
    }
}
