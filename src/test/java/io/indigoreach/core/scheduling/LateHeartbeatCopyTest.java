package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.TOKEN;
import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.starts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Copies of heartbeats that arrive up to minutes late prove nothing about the current state of a machine. */
class LateHeartbeatCopyTest {
    private static final MachineId A = new MachineId("vm-000001");
    private static final MachinePool EAST = new MachinePool("quad", "east", true);

    private static ListedMachine listed(String name) {
        return new ListedMachine(new MachineId(name), EAST, ListedMachine.Status.RUNNING, Span.seconds(30));
    }

    /**
     * A machine that ran a task has been dead since 4 s. Its heartbeat of 3 s arrives at 30 s, again or for the first
     * time. It must neither make the leader adopt the machine nor block the task.
     */
    @ParameterizedTest
    @CsvSource({
        "after the task was reaped, true",
        "delivered first after its lease expired, true",
        "after it was returned, false",
        "after its return was forgotten, false",
        "under a new leader, false",
        "two in the wrong order, true",
        "after its incarnation ended, true"
    })
    void raiseNoDeadMachine(String when, boolean known) {
        SimulatedWorld w = new SimulatedWorld();
        w.up(A.text(), "east", 0);
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 1, 1, 500), 0);
        List<WorkerCommand> orders = w.hear(A.text(), 1);
        Heartbeat earlier = w.report(A.text(), "east", 1, TOKEN, running(orders.get(0)));
        Heartbeat copy = w.report(A.text(), "east", 1, TOKEN, running(orders.get(0)));
        w.core.onHeartbeat(earlier, at(2));
        if (!when.equals("delivered first after its lease expired")) {
            w.core.onHeartbeat(copy, at(3));
        }
        if (when.equals("after its incarnation ended")) {
            w.core.onHeartbeat(w.report(A.text(), "east", 2, TOKEN), at(4));
        }
        if (when.equals("after it was returned") || when.equals("after its return was forgotten")) {
            w.core.returned(List.of(A), at(4));
        }
        if (when.equals("after its return was forgotten")) {
            w.core.onMachineListing(List.of(listed("vm-009999")), at(5), at(5));
            w.core.onMachineListing(List.of(listed("vm-009999")), at(15), at(15));
            for (int i = 0; i < 2000; i++) {
                w.core.returned(List.of(new MachineId("vm-0" + (20_000 + i))), at(16));
            }
        }
        if (when.equals("under a new leader")) {
            // It was rented and returned under the previous leader, so no record mentions it.
            w = new SimulatedWorld();
            w.core.recordsLoaded();
            job = new Job(spec(1, 1, 1, 500), 1, at(0), new Revision(1), new BitSet(), 1, false);
            w.core.addJob(job);
            copy = withToken(copy, new FencingToken(4));
            earlier = withToken(earlier, new FencingToken(4));
        }
        w.core.expireLeases(at(20));
        int machines = w.core.machineCount();
        w.core.onHeartbeat(copy, at(30));
        w.core.onHeartbeat(earlier, at(31));
        w.core.onHeartbeat(copy, at(31.5));
        assertEquals(machines, w.core.machineCount(), "a machine was adopted");
        assertEquals(known, w.core.knows(A));
        assertTrue(job.placements().isEmpty(), "a task placed on a dead machine");
        assertEquals(List.of(), starts(w.core.onHeartbeat(copy, at(32)).commands()));
        // Its task can start on a live machine at once.
        w.up("vm-010001", "east", 32);
        assertEquals(1, starts(w.hear("vm-010001", 33)).size(), "the task is blocked by a copy");
    }

    private static Heartbeat withToken(Heartbeat heartbeat, FencingToken token) {
        return new Heartbeat(
                heartbeat.machine(),
                heartbeat.address(),
                heartbeat.pool(),
                heartbeat.number(),
                token,
                heartbeat.preemptionNotice(),
                heartbeat.tasks());
    }

    /**
     * A machine that was not rented or listed is unknown. One heartbeat, or a copy of it, does not prove that it
     * exists; a heartbeat that shows this leader's answer does.
     */
    @ParameterizedTest
    @CsvSource({
        "once, 0",
        "twice the same, 0",
        "two with the older token, 0",
        "wrong order, 0",
        "shows the answer, 1",
        "then listed, 1",
        "then rented, 1"
    })
    void anUnknownMachineMustShowOurAnswer(String what, int machines) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 500), 0);
        Heartbeat first = w.report("x", "east", 1, new FencingToken(4));
        Heartbeat older = w.report("x", "east", 1, new FencingToken(4));
        Heartbeat second = w.report("x", "east", 1, TOKEN);
        w.core.onHeartbeat(what.startsWith("wrong") ? second : first, at(1));
        assertEquals(0, w.core.machineCount());
        switch (what) {
            case "twice the same" -> w.core.onHeartbeat(first, at(2));
            case "two with the older token" -> w.core.onHeartbeat(older, at(2));
            case "wrong order" -> w.core.onHeartbeat(first, at(2));
            case "shows the answer" -> w.core.onHeartbeat(second, at(2));
            case "then listed" -> w.core.onMachineListing(List.of(listed("x")), at(2), at(2));
            case "then rented" -> w.core.rented(EAST, List.of(new MachineId("x")), at(1), at(2));
            default -> {}
        }
        assertEquals(machines, w.core.machineCount());
        // The unknown machine does not count as capacity, so machines are rented for the waiting tasks as without it.
        if (machines == 0) {
            SimulatedWorld fresh = new SimulatedWorld();
            fresh.core.recordsLoaded();
            fresh.submit(spec(1, 4, 1, 500), 0);
            assertEquals(fresh.core.scaleOutRequests(at(20)), w.core.scaleOutRequests(at(20)));
            assertFalse(w.core.scaleOutRequests(at(20)).isEmpty());
        }
    }

    /**
     * Copies of one heartbeat of a dead inherited machine, with an older token, do not complete the failover, and they
     * postpone it only once.
     */
    @Test
    void copiesOfOneReportPutATakeOverOffOnce() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.inheritMachine(A, EAST, at(-50), at(-50), at(0));
        w.core.recordsLoaded();
        Heartbeat copy = w.report(A.text(), "east", 1, new FencingToken(4));
        List<Double> settled = new ArrayList<>();
        for (double now = 1; now < 60; now++) {
            w.core.onHeartbeat(copy, at(now));
            w.core.expireLeases(at(now));
            if (w.core.isFailoverComplete()) {
                settled.add(now);
            }
        }
        assertEquals(14, settled.get(0), "1 s and the lease bound");
    }

    /**
     * Machines are answered while the records are loaded, so their leases count from the answer and not from the
     * loading.
     */
    @Test
    void whatIsAnsweredBeforeTheRecordsAreReadIsCounted() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.inheritMachine(A, EAST, at(-50), at(-50), at(0));
        w.core.onHeartbeat(w.report(A.text(), "east", 1, new FencingToken(4)), at(6));
        w.core.recordsLoaded();
        w.core.expireLeases(at(17));
        assertFalse(w.core.isFailoverComplete(), "its lease may run until 18 s");
        w.core.expireLeases(at(18.6));
        assertTrue(w.core.isFailoverComplete());
    }
}
