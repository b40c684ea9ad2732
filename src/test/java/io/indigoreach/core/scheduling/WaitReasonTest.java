package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
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
    void eachWaitHasItsName(String why, WaitReason expected) {
        SchedulerFixture w = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(why.equals("limit") ? 3 : 0));
        if (why.equals("inherited")) {
            w.core.inheritMachine(
                    new MachineId("old"),
                    new MachinePool("quad", "east", true),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        w.core.recordsLoaded();
        if (why.equals("booting") || why.equals("unrecorded")) {
            w.core.rented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        } else {
            w.addSpotMachine("a", "east", 0);
        }
        if (!why.equals("booting")) {
            w.heartbeat("a", 1);
        }
        if (!Set.of("booting", "unrecorded", "inherited").contains(why)) {
            w.submit(spec(1, why.equals("full") ? 4 : 3, 1, 100), 1);
            w.heartbeat("a", 2);
        }
        if (why.equals("reserved")) {
            w.submit(spec(2, 1, 4, 10), 2);
        }
        JobSpec s = spec(9, 2, why.equals("wide") ? 5 : 1, 500);
        String zone = why.equals("west") ? "west" : null;
        s = withOptions(s, Urgency.STANDARD, why.equals("elsewhere"), false, !why.equals("ordinary"), zone, 0);
        Job job = why.equals("inherited") ? w.addInheritedJob(s) : w.submit(s, 2);
        if (why.equals("unbound")) {
            job = new Job(s, 3, atSeconds(2), Revision.ABSENT, new BitSet(), 0, false);
            w.core.closeJob(job.id());
            w.core.addJob(job);
        }
        Machine a = w.core.machines().iterator().next();
        a.surplus = why.equals("spare");
        if (why.equals("failed") || why.equals("suspect")) {
            job.failedMachines.add(a.id);
        }
        job.retryNotBefore = why.equals("suspect") ? atSeconds(10) : job.retryNotBefore;
        if (why.equals("elsewhere")) {
            Machine far = new Machine(
                    new MachineId("b"),
                    new MachinePool("quad", "west", true),
                    SchedulerFixture.MACHINE_TYPE,
                    atSeconds(0));
            job.addPlacement(
                    new Placement(job, 0, far, new Attempt(1), TaskState.RUNNING, HeartbeatNumber.NONE, atSeconds(2)));
        }
        assertEquals(Optional.of(expected), w.core.waitReason(job, atSeconds(3)));
    }

    @Test
    void whatDoesNotWaitHasNoReason() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        Job job = w.submit(spec(1, 1, 1, 100), 0);
        w.heartbeat("a", 1);
        assertEquals(Optional.empty(), w.core.waitReason(job, atSeconds(2)));
    }

    /** A team that used none of its guarantee and wanted nothing kept the others from the rest of every machine. */
    @Test
    void aTeamThatWantsNothingKeepsNoRoom() {
        SchedulerFixture w = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), GUARANTEED);
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(spec(1, 6, 1, 100), 0);
        List<WorkerCommand> first = w.heartbeat("a", 1);
        assertEquals(4, SchedulerFixture.tasksToStart(first).size());
        assertEquals(1, SchedulerFixture.tasksToStart(oneEnds(w, first, 10)).size());
    }

    private static List<WorkerCommand> oneEnds(SchedulerFixture w, List<WorkerCommand> starts, double at) {
        List<TaskStatus> tasks = new ArrayList<>();
        tasks.add(exitedStatus(starts.get(0), ExitCause.DONE));
        starts.subList(1, starts.size()).forEach(command -> tasks.add(runningStatus(command)));
        return w.heartbeat("a", at, tasks.toArray(TaskStatus[]::new));
    }

    /** A machine at work stays with its share, and one that is put aside takes nothing, until a job has waited for a minute. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nothingWaitsBesideRoomForLong(boolean spare) {
        SchedulerFixture w = spare
                ? new SchedulerFixture()
                : new SchedulerFixture(
                        SchedulerFixture.teamWithCoreLimit(0), GUARANTEED, new Team("other", 8, 0, 0, 0));
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        Job own = w.submit(of(spec(1, 4, 1, 500), spare ? "t" : "guaranteed"), 0);
        List<WorkerCommand> first = w.heartbeat("a", 1);
        assertEquals(4, SchedulerFixture.tasksToStart(first).size());
        w.core.machines().iterator().next().surplus = spare;
        w.submit(spec(2, 1, 1, 500), 2);
        assertEquals(List.of(), SchedulerFixture.tasksToStart(oneEnds(w, first, 61)));
        assertEquals(List.of("run-2/0"), SchedulerFixture.tasksToStart(w.heartbeat("a", 62.5, tasks(own))));
    }

    private static TaskStatus[] tasks(Job job) {
        return job.placements().stream()
                .map(placement -> new TaskStatus(placement.task(), placement.attempt, TaskState.RUNNING, null, false))
                .toArray(TaskStatus[]::new);
    }

    private static JobSpec of(JobSpec s, String team) {
        return JobSpec.builder(s.id())
                .jobClass(s.jobClass())
                .team(team)
                .kind(s.kind())
                .urgency(s.urgency())
                .tasks(s.tasks())
                .demand(s.demand())
                .image(s.image())
                .imageGb(s.imageGb())
                .spotAllowed()
                .estimate(s.estimate())
                .build();
    }

    /** Bound to a zone that the cheapest type is not in, or whose pools are empty: machines come for it, and for others. */
    @ParameterizedTest
    @CsvSource({"false, dear west", "true, quad east"})
    void aBoundJobIsRentedForWhereItMayBe(boolean refused, String expected) {
        SchedulerFixture w = new SchedulerFixture();
        MachineType east =
                new MachineType("quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east"));
        MachineType dear = new MachineType(
                "dear", new Demand(4, 0, 16), 40, 0.5, 0.4, 0.1, Span.seconds(20), List.of("west", "east"));
        w.core.setTypes(refused ? List.of(SchedulerFixture.MACHINE_TYPE) : List.of(east, dear));
        w.core.recordsLoaded();
        w.submit(withOptions(spec(1, 4, 1, 100), Urgency.STANDARD, false, false, true, "west", 0), 0);
        if (refused) {
            w.submit(spec(2, 4, 1, 100), 1);
            w.core.scaleOutRejected(new MachinePool("quad", "west", true), atSeconds(19));
            w.core.scaleOutRejected(new MachinePool("quad", "west", false), atSeconds(19));
        }
        assertEquals(
                Set.of(expected),
                w.core.scaleOutRequests(atSeconds(20)).stream()
                        .map(r -> r.pool().type() + " " + r.pool().zone())
                        .collect(Collectors.toSet()));
    }
}
