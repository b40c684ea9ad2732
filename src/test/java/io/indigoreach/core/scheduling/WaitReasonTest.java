package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;

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

/** Every wait has a name, and none is for nothing. */
class WaitReasonTest {
    private static final Team GUARANTEED = new Team("guaranteed", 8, 0, 0, 0);

    /** One machine of four cores in the east, three of them taken where {@code busy}, and a job that waits. */
    @ParameterizedTest
    @CsvSource({
        "nothing, NEXT_HEARTBEAT",
        "limit, TEAM_LIMIT",
        "wide, NO_MACHINE",
        "west, NO_MACHINE",
        "full, NO_ROOM",
        "ordinary, NO_MACHINE",
        "unbound, START_BOUND",
        "booting, BOOTING",
        "unrecorded, MACHINE_RECORD",
        "inherited, FAILOVER",
        "failed, FAILED_THERE",
        "suspect, RETRY_PAUSE",
        "reserved, RESERVATION",
        "spare, SET_ASIDE",
        "elsewhere, OTHER_ZONE"
    })
    void eachWaitHasItsReason(String situation, WaitReason expected) {
        SchedulerFixture world =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(situation.equals("limit") ? 3 : 0));
        if (situation.equals("inherited")) {
            world.core.inheritMachine(
                    new MachineId("old"),
                    new MachinePool("quad", "east", true),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        world.core.onRecordsLoaded();
        if (situation.equals("booting") || situation.equals("unrecorded")) {
            world.core.onMachinesRented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        } else {
            world.addSpotMachine("a", "east", 0);
        }
        if (!situation.equals("booting")) {
            world.heartbeat("a", 1);
        }
        if (!Set.of("booting", "unrecorded", "inherited").contains(situation)) {
            world.submit(spec(1, situation.equals("full") ? 4 : 3, 1, 100), 1);
            world.heartbeat("a", 2);
        }
        if (situation.equals("reserved")) {
            world.submit(spec(2, 1, 4, 10), 2);
        }
        JobSpec spec = spec(9, 2, situation.equals("wide") ? 5 : 1, 500);
        String zone = situation.equals("west") ? "west" : null;
        spec = withOptions(
                spec, Urgency.STANDARD, situation.equals("elsewhere"), false, !situation.equals("ordinary"), zone, 0);
        Job job = situation.equals("inherited") ? world.addInheritedJob(spec) : world.submit(spec, 2);
        if (situation.equals("unbound")) {
            job = new Job(spec, 3, atSeconds(2), Revision.ABSENT, new BitSet(), 0, false);
            world.core.closeJob(job.id());
            world.core.addJob(job);
        }
        Machine machine = world.core.machines().iterator().next();
        machine.surplus = situation.equals("spare");
        if (situation.equals("failed") || situation.equals("suspect")) {
            job.failedMachines.add(machine.id);
        }
        job.retryNotBefore = situation.equals("suspect") ? atSeconds(10) : job.retryNotBefore;
        if (situation.equals("elsewhere")) {
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

    /** A team that used none of its guarantee and wanted nothing kept the others from the rest of every machine. */
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

    /** A machine at work stays with its share, and one that is put aside takes nothing, until a job has waited for a minute. */
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

    private static TaskStatus[] runningTasks(Job job) {
        return job.placements().stream()
                .map(placement -> new TaskStatus(placement.task(), placement.attempt, TaskState.RUNNING, null, false))
                .toArray(TaskStatus[]::new);
    }

    private static JobSpec withTeam(JobSpec spec, String team) {
        return JobSpec.builder(spec.id())
                .jobClass(spec.jobClass())
                .team(team)
                .kind(spec.kind())
                .urgency(spec.urgency())
                .taskCount(spec.taskCount())
                .demand(spec.demand())
                .image(spec.image())
                .imageGb(spec.imageGb())
                .spotAllowed()
                .estimatedRunTime(spec.estimatedRunTime())
                .build();
    }

    /** Bound to a zone that the cheapest type is not in, or whose pools are empty: machines come for it, and for others. */
    @ParameterizedTest
    @CsvSource({"false, dear west", "true, quad east"})
    void scalesOutInAllowedZone(boolean refused, String expected) {
        SchedulerFixture world = new SchedulerFixture();
        MachineType east =
                new MachineType("quad", new Resources(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east"));
        MachineType expensive = new MachineType(
                "dear", new Resources(4, 0, 16), 40, 0.5, 0.4, 0.1, Span.seconds(20), List.of("west", "east"));
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
