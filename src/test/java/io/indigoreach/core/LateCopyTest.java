package io.indigoreach.core;

import static io.indigoreach.core.World.TOKEN;
import static io.indigoreach.core.World.at;
import static io.indigoreach.core.World.running;
import static io.indigoreach.core.World.spec;
import static io.indigoreach.core.World.starts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Copies of reports that come late, up to minutes: they show nothing about now. */
class LateCopyTest {
    private static final MachineId A = new MachineId("vm-000001");
    private static final Pool EAST = new Pool("quad", "east", true);

    private static ListedMachine listed(String name) {
        return new ListedMachine(new MachineId(name), EAST, ListedMachine.Status.RUNNING, Span.seconds(30));
    }

    /** Its task ran, and the machine is dead since 4 s; the report of 3 s comes at 30 s, once more or for the first time. */
    @ParameterizedTest
    @CsvSource({
        "after the task was reaped, true",
        "first time after its lease, true",
        "after it was returned, false",
        "its name forgotten, false",
        "under a new leader, false",
        "two in the wrong order, true",
        "its session ended, true"
    })
    void raiseNoDeadMachine(String when, boolean known) {
        World w = new World();
        w.up(A.text(), "east", 0);
        w.core.loaded();
        Job job = w.submit(spec(1, 1, 1, 500), 0);
        List<Order> orders = w.hear(A.text(), 1);
        WorkerReport earlier = w.report(A.text(), "east", 1, TOKEN, running(orders.get(0)));
        WorkerReport copy = w.report(A.text(), "east", 1, TOKEN, running(orders.get(0)));
        w.core.onReport(earlier, at(2));
        if (!when.startsWith("first time")) {
            w.core.onReport(copy, at(3));
        }
        if (when.startsWith("its session")) {
            w.core.onReport(w.report(A.text(), "east", 2, TOKEN), at(4));
        }
        if (when.startsWith("after it was") || when.startsWith("its name")) {
            w.core.returned(List.of(A), at(4));
        }
        if (when.startsWith("its name")) {
            w.core.onList(List.of(listed("vm-009999")), at(5), at(5));
            w.core.onList(List.of(listed("vm-009999")), at(15), at(15));
            for (int i = 0; i < 2000; i++) {
                w.core.returned(List.of(new MachineId("vm-0" + (20_000 + i))), at(16));
            }
        }
        if (when.startsWith("under a new")) {
            // Rented and returned under the leader before: nothing is recorded of it.
            w = new World();
            w.core.loaded();
            job = new Job(spec(1, 1, 1, 500), 1, at(0), new Stamp(1), new BitSet(), 1, false);
            w.core.addJob(job);
            copy = withToken(copy, new Token(4));
            earlier = withToken(earlier, new Token(4));
        }
        w.core.expireLeases(at(20));
        int machines = w.core.machineCount();
        w.core.onReport(copy, at(30));
        w.core.onReport(earlier, at(31));
        w.core.onReport(copy, at(31.5));
        assertEquals(machines, w.core.machineCount(), "taken on");
        assertEquals(known, w.core.knows(A));
        assertTrue(job.active().isEmpty(), "a task placed on a dead machine");
        assertEquals(List.of(), starts(w.core.onReport(copy, at(32))));
        // What it ran goes to a machine that lives, at once.
        w.up("vm-010001", "east", 32);
        assertEquals(1, starts(w.hear("vm-010001", 33)).size(), "held by a copy");
    }

    private static WorkerReport withToken(WorkerReport r, Token token) {
        return new WorkerReport(r.machine(), r.address(), r.pool(), r.number(), token, r.notice(), r.tasks());
    }

    /** Nobody rented or listed it: one report or a copy of it is no proof, one that shows our answer is. */
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
        World w = new World();
        w.core.loaded();
        w.submit(spec(1, 4, 1, 500), 0);
        WorkerReport first = w.report("x", "east", 1, new Token(4));
        WorkerReport older = w.report("x", "east", 1, new Token(4));
        WorkerReport second = w.report("x", "east", 1, TOKEN);
        w.core.onReport(what.startsWith("wrong") ? second : first, at(1));
        assertEquals(0, w.core.machineCount());
        switch (what) {
            case "twice the same" -> w.core.onReport(first, at(2));
            case "two with the older token" -> w.core.onReport(older, at(2));
            case "wrong order" -> w.core.onReport(first, at(2));
            case "shows the answer" -> w.core.onReport(second, at(2));
            case "then listed" -> w.core.onList(List.of(listed("x")), at(2), at(2));
            case "then rented" -> w.core.rented(EAST, List.of(new MachineId("x")), at(1), at(2));
            default -> {}
        }
        assertEquals(machines, w.core.machineCount());
        // It counts as none on order: what waits is rented for all the same.
        if (machines == 0) {
            World fresh = new World();
            fresh.core.loaded();
            fresh.submit(spec(1, 4, 1, 500), 0);
            assertEquals(fresh.core.wishes(at(20)), w.core.wishes(at(20)));
            assertFalse(w.core.wishes(at(20)).isEmpty());
        }
    }

    /** Inherited and dead: copies with the older token settle no take-over and put it off once, not with each copy. */
    @Test
    void copiesOfOneReportPutATakeOverOffOnce() {
        World w = new World();
        w.core.inherit(A, EAST, at(-50), at(-50), at(0));
        w.core.loaded();
        WorkerReport copy = w.report(A.text(), "east", 1, new Token(4));
        List<Double> settled = new ArrayList<>();
        for (double now = 1; now < 60; now++) {
            w.core.onReport(copy, at(now));
            w.core.expireLeases(at(now));
            if (w.core.isSettled()) {
                settled.add(now);
            }
        }
        assertEquals(14, settled.get(0), "1 s and the lease bound");
    }

    /** While the records are read, machines are answered: their leases count from then, not from when they were read. */
    @Test
    void whatIsAnsweredBeforeTheRecordsAreReadIsCounted() {
        World w = new World();
        w.core.inherit(A, EAST, at(-50), at(-50), at(0));
        w.core.onReport(w.report(A.text(), "east", 1, new Token(4)), at(6));
        w.core.loaded();
        w.core.expireLeases(at(17));
        assertFalse(w.core.isSettled(), "its lease may run until 18 s");
        w.core.expireLeases(at(18.6));
        assertTrue(w.core.isSettled());
    }
}
