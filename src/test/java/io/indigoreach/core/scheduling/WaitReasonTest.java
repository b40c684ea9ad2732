package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static io.indigoreach.core.scheduling.SchedulerFixture.withTeam;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Every waiting job has a reason, and no job waits for long beside free capacity. */
class WaitReasonTest {
    private static final Team GUARANTEED = new Team("guaranteed", 8, 0, 0, 0);

    /** A job waits beside one machine with four cores in zone east, of which other tasks use three or all. */
    @ParameterizedTest
    @CsvSource({
        "startable, NEXT_HEARTBEAT",
        "team limit, TEAM_LIMIT",
        "task too large, NO_MACHINE",
        "zone without machines, NO_MACHINE",
        "machine full, NO_FREE_CAPACITY",
        "on-demand only, NO_MACHINE",
        "no start bound, START_BOUND_NOT_RECORDED",
        "booting machine, BOOTING",
        "unrecorded machine, MACHINE_NOT_RECORDED",
        "inherited job, FAILOVER",
        "failed on machine, EXCLUDED_AFTER_FAILURE",
        "suspected faulty, RETRY_BACKOFF",
        "reservation, RESERVATION",
        "surplus machine, SURPLUS_OR_CORDONED",
        "placed in another zone, ZONE_CONSTRAINT"
    })
    void eachWaitHasItsReason(String situation, WaitReason expected) {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(situation.equals("team limit") ? 3 : 0));
        if (situation.equals("inherited job")) {
            world.core.inheritMachine(
                    new MachineId("old"),
                    new MachinePool("quad", "east", true),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        world.core.onRecordsLoaded();
        if (situation.equals("booting machine") || situation.equals("unrecorded machine")) {
            world.core.onMachinesRented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        } else {
            world.addSpotMachine("a", "east", 0);
        }
        if (!situation.equals("booting machine")) {
            world.heartbeat("a", 1);
        }
        if (!Set.of("booting machine", "unrecorded machine", "inherited job").contains(situation)) {
            world.submit(spec(1, situation.equals("machine full") ? 4 : 3, 1, 100), 1);
            world.heartbeat("a", 2);
        }
        if (situation.equals("reservation")) {
            world.submit(spec(2, 1, 4, 10), 2);
        }
        JobSpec spec = spec(9, 2, situation.equals("task too large") ? 5 : 1, 500);
        String zone = situation.equals("zone without machines") ? "west" : null;
        spec = withOptions(
                spec,
                Urgency.STANDARD,
                situation.equals("placed in another zone"),
                false,
                !situation.equals("on-demand only"),
                zone,
                0);
        Job job = situation.equals("inherited job") ? world.addInheritedJob(spec) : world.submit(spec, 2);
        if (situation.equals("no start bound")) {
            job = new Job(spec, 3, atSeconds(2), Revision.ABSENT, new BitSet(), 0, false);
            world.core.closeJob(job.id());
            world.core.addJob(job);
        }
        Machine machine = world.core.machines().iterator().next();
        machine.surplus = situation.equals("surplus machine");
        if (situation.equals("failed on machine") || situation.equals("suspected faulty")) {
            job.failedMachines.add(machine.id);
        }
        job.retryNotBefore = situation.equals("suspected faulty") ? atSeconds(10) : job.retryNotBefore;
        if (situation.equals("placed in another zone")) {
            Machine otherZone = new Machine(
                    new MachineId("b"),
                    new MachinePool("quad", "west", true),
                    SchedulerFixture.MACHINE_TYPE,
                    atSeconds(0));
            job.addPlacement(new Placement(
                    job, 0, otherZone, new Attempt(1), TaskState.RUNNING, HeartbeatNumber.NONE, atSeconds(2)));
        }
        assertEquals(Optional.of(expected), world.core.waitReason(job, atSeconds(3)));
    }

    @Test
    void jobWithoutWaitingTasksHasNoReason() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        Job job = world.submit(spec(1, 1, 1, 100), 0);
        world.heartbeat("a", 1);
        assertEquals(Optional.empty(), world.core.waitReason(job, atSeconds(2)));
    }

    /** The log tells apart what may keep jobs waiting: a team's limit, and the reason of the longest other wait. */
    @Test
    void summaryNamesTheLongestWaitAndItsReason() {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("limited", 0, 4, 0, 0));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(withTeam(spec(1, 6, 1, 100), "limited"), 0);
        world.heartbeat("a", 1);
        world.submit(spec(2, 1, 1, 100), 2);
        world.submit(spec(3, 1, 1, 100), 3);
        String summary = world.core.summary(atSeconds(5));
        assertTrue(summary.contains(" limited=1 longest=run-2 waited=3.0 reason=NO_FREE_CAPACITY top="), summary);
    }

    /**
     * Guards against a team that neither used nor needed its guarantee but kept other teams from the rest of every
     * machine.
     */
    @Test
    void idleTeamWithGuaranteeBlocksNoCapacity() {
        SchedulerFixture world = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), GUARANTEED);
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(spec(1, 6, 1, 100), 0);
        List<WorkerCommand> first = world.heartbeat("a", 1);
        assertEquals(4, SchedulerFixture.tasksToStart(first).size());
        assertEquals(
                1,
                SchedulerFixture.tasksToStart(heartbeatWithFirstTaskDone(world, first, 10))
                        .size());
    }

    private static List<WorkerCommand> heartbeatWithFirstTaskDone(
            SchedulerFixture world, List<WorkerCommand> starts, double at) {
        List<TaskStatus> tasks = new ArrayList<>();
        tasks.add(exitedStatus(starts.get(0), ExitCause.DONE));
        starts.subList(1, starts.size()).forEach(command -> tasks.add(runningStatus(command)));
        return world.heartbeat("a", at, tasks.toArray(TaskStatus[]::new));
    }

    /** A busy machine keeps to its queue, and a surplus machine takes no tasks, until a job has waited for a minute. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void overdueJobsUseFreeCapacity(boolean surplus) {
        SchedulerFixture world = surplus
                ? new SchedulerFixture()
                : new SchedulerFixture(
                        SchedulerFixture.teamWithCoreLimit(0), GUARANTEED, new Team("other", 8, 0, 0, 0));
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        Job firstJob = world.submit(withTeam(spec(1, 4, 1, 500), surplus ? "t" : "guaranteed"), 0);
        List<WorkerCommand> first = world.heartbeat("a", 1);
        assertEquals(4, SchedulerFixture.tasksToStart(first).size());
        world.core.machines().iterator().next().surplus = surplus;
        world.submit(spec(2, 1, 1, 500), 2);
        assertEquals(List.of(), SchedulerFixture.tasksToStart(heartbeatWithFirstTaskDone(world, first, 61)));
        assertEquals(
                List.of("run-2/0"), SchedulerFixture.tasksToStart(world.heartbeat("a", 62.5, runningTasks(firstJob))));
    }

    /**
     * Guards against the reservation of a machine on which the top job may not start itself: a surplus machine takes
     * overdue jobs only, and an overdue job waited beside it while the tasks of the top job came and went elsewhere.
     */
    @Test
    void overdueJobUsesSurplusMachineThatTheTopJobMayNotUse() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        world.submit(spec(1, 1, 1, 500), 0);
        List<WorkerCommand> onB = world.heartbeat("b", 1);
        assertEquals(List.of("run-1/0"), SchedulerFixture.tasksToStart(onB));
        world.core.machines().stream()
                .filter(machine -> machine.id().equals(new MachineId("b")))
                .forEach(machine -> machine.setSurplus(true));
        world.submit(withOptions(spec(2, 100, 1, 60), Urgency.HIGH, false, false, true, null, 0), 2);
        List<WorkerCommand> onA = world.heartbeat("a", 3);
        assertEquals(4, SchedulerFixture.tasksToStart(onA).size());
        world.submit(spec(3, 1, 1, 500), 4);
        assertEquals(List.of("run-2/4"), SchedulerFixture.tasksToStart(heartbeatWithFirstTaskDone(world, onA, 62)));
        assertEquals(
                List.of("run-3/0"), SchedulerFixture.tasksToStart(world.heartbeat("b", 65, runningStatus(onB.get(0)))));
    }

    private static TaskStatus[] runningTasks(Job job) {
        return job.placements().stream()
                .map(placement -> new TaskStatus(placement.task(), placement.attempt, TaskState.RUNNING, null, false))
                .toArray(TaskStatus[]::new);
    }

    /**
     * Machines are rented for a job bound to a zone that the cheapest type does not offer, or whose requests were
     * rejected.
     */
    @ParameterizedTest
    @CsvSource({"false, expensive west", "true, quad east"})
    void scalesOutInAllowedZone(boolean refused, String expected) {
        SchedulerFixture world = new SchedulerFixture();
        MachineType east =
                new MachineType("quad", new Resources(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east"));
        MachineType expensive = new MachineType(
                "expensive", new Resources(4, 0, 16), 40, 0.5, 0.4, 0.1, Span.seconds(20), List.of("west", "east"));
        world.core.addMachineTypes(refused ? List.of(SchedulerFixture.MACHINE_TYPE) : List.of(east, expensive));
        world.core.onRecordsLoaded();
        world.submit(withOptions(spec(1, 4, 1, 100), Urgency.STANDARD, false, false, true, "west", 0), 0);
        if (refused) {
            world.submit(spec(2, 4, 1, 100), 1);
            world.core.onScaleOutRejected(new MachinePool("quad", "west", true), atSeconds(19));
            world.core.onScaleOutRejected(new MachinePool("quad", "west", false), atSeconds(19));
        }
        assertEquals(
                Set.of(expected),
                world.core.scaleOutRequests(atSeconds(20)).stream()
                        .map(r -> r.pool().type() + " " + r.pool().zone())
                        .collect(Collectors.toSet()));
    }
}
