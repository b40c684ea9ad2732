package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.exited;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.with;
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
        SimulatedWorld w = new SimulatedWorld(SimulatedWorld.team(why.equals("limit") ? 3 : 0));
        if (why.equals("inherited")) {
            w.core.inheritMachine(new MachineId("old"), new MachinePool("quad", "east", true), at(0), at(0), at(0));
        }
        w.core.onRecordsLoaded();
        if (why.equals("booting") || why.equals("unrecorded")) {
            w.core.onMachinesRented(new MachinePool("quad", "east", true), List.of(new MachineId("a")), at(0), at(0));
        } else {
            w.up("a", "east", 0);
        }
        if (!why.equals("booting")) {
            w.hear("a", 1);
        }
        if (!Set.of("booting", "unrecorded", "inherited").contains(why)) {
            w.submit(spec(1, why.equals("full") ? 4 : 3, 1, 100), 1);
            w.hear("a", 2);
        }
        if (why.equals("reserved")) {
            w.submit(spec(2, 1, 4, 10), 2);
        }
        JobSpec s = spec(9, 2, why.equals("wide") ? 5 : 1, 500);
        String zone = why.equals("west") ? "west" : null;
        s = with(s, Urgency.STANDARD, why.equals("elsewhere"), false, !why.equals("ordinary"), zone, 0);
        Job job = why.equals("inherited") ? w.inherited(s) : w.submit(s, 2);
        if (why.equals("unbound")) {
            job = new Job(s, 3, at(2), Revision.ABSENT, new BitSet(), 0, false);
            w.core.closeJob(job.id());
            w.core.addJob(job);
        }
        Machine a = w.core.machines().iterator().next();
        a.surplus = why.equals("spare");
        if (why.equals("failed") || why.equals("suspect")) {
            job.failedMachines.add(a.id);
        }
        job.retryNotBefore = why.equals("suspect") ? at(10) : job.retryNotBefore;
        if (why.equals("elsewhere")) {
            Machine far =
                    new Machine(new MachineId("b"), new MachinePool("quad", "west", true), SimulatedWorld.TYPE, at(0));
            job.addPlacement(
                    new Placement(job, 0, far, new Attempt(1), TaskState.RUNNING, HeartbeatNumber.NONE, at(2)));
        }
        assertEquals(Optional.of(expected), w.core.waitReason(job, at(3)));
    }

    @Test
    void whatDoesNotWaitHasNoReason() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.onRecordsLoaded();
        w.up("a", "east", 0);
        Job job = w.submit(spec(1, 1, 1, 100), 0);
        w.hear("a", 1);
        assertEquals(Optional.empty(), w.core.waitReason(job, at(2)));
    }

    /** A team that used none of its guarantee and wanted nothing kept the others from the rest of every machine. */
    @Test
    void aTeamThatWantsNothingKeepsNoRoom() {
        SimulatedWorld w = new SimulatedWorld(SimulatedWorld.team(0), GUARANTEED);
        w.core.onRecordsLoaded();
        w.up("a", "east", 0);
        w.submit(spec(1, 6, 1, 100), 0);
        List<WorkerCommand> first = w.hear("a", 1);
        assertEquals(4, SimulatedWorld.starts(first).size());
        assertEquals(1, SimulatedWorld.starts(oneEnds(w, first, 10)).size());
    }

    private static List<WorkerCommand> oneEnds(SimulatedWorld w, List<WorkerCommand> starts, double at) {
        List<TaskStatus> tasks = new ArrayList<>();
        tasks.add(exited(starts.get(0), ExitCause.DONE));
        starts.subList(1, starts.size()).forEach(command -> tasks.add(running(command)));
        return w.hear("a", at, tasks.toArray(TaskStatus[]::new));
    }

    /** A machine at work stays with its share, and one that is put aside takes nothing, until a job has waited for a minute. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nothingWaitsBesideRoomForLong(boolean spare) {
        SimulatedWorld w = spare
                ? new SimulatedWorld()
                : new SimulatedWorld(SimulatedWorld.team(0), GUARANTEED, new Team("other", 8, 0, 0, 0));
        w.core.onRecordsLoaded();
        w.up("a", "east", 0);
        Job own = w.submit(of(spec(1, 4, 1, 500), spare ? "t" : "guaranteed"), 0);
        List<WorkerCommand> first = w.hear("a", 1);
        assertEquals(4, SimulatedWorld.starts(first).size());
        w.core.machines().iterator().next().surplus = spare;
        w.submit(spec(2, 1, 1, 500), 2);
        assertEquals(List.of(), SimulatedWorld.starts(oneEnds(w, first, 61)));
        assertEquals(List.of("run-2/0"), SimulatedWorld.starts(w.hear("a", 62.5, tasks(own))));
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
        SimulatedWorld w = new SimulatedWorld();
        MachineType east =
                new MachineType("quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east"));
        MachineType dear = new MachineType(
                "dear", new Demand(4, 0, 16), 40, 0.5, 0.4, 0.1, Span.seconds(20), List.of("west", "east"));
        w.core.addMachineTypes(refused ? List.of(SimulatedWorld.TYPE) : List.of(east, dear));
        w.core.onRecordsLoaded();
        w.submit(with(spec(1, 4, 1, 100), Urgency.STANDARD, false, false, true, "west", 0), 0);
        if (refused) {
            w.submit(spec(2, 4, 1, 100), 1);
            w.core.onScaleOutRejected(new MachinePool("quad", "west", true), at(19));
            w.core.onScaleOutRejected(new MachinePool("quad", "west", false), at(19));
        }
        assertEquals(
                Set.of(expected),
                w.core.scaleOutRequests(at(20)).stream()
                        .map(r -> r.pool().type() + " " + r.pool().zone())
                        .collect(Collectors.toSet()));
    }
}
