package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.TOKEN;
import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
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

/** Copies of reports that come late, up to minutes: they show nothing about now. */
class LateHeartbeatCopyTest {
    private static final MachineId A = new MachineId("vm-000001");
    private static final MachinePool EAST = new MachinePool("quad", "east", true);

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
        SchedulerFixture w = new SchedulerFixture();
        w.addSpotMachine(A.text(), "east", 0);
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 1, 1, 500), 0);
        List<WorkerCommand> orders = w.heartbeat(A.text(), 1);
        Heartbeat earlier = w.newHeartbeat(A.text(), "east", 1, TOKEN, runningStatus(orders.get(0)));
        Heartbeat copy = w.newHeartbeat(A.text(), "east", 1, TOKEN, runningStatus(orders.get(0)));
        w.core.onHeartbeat(earlier, atSeconds(2));
        if (!when.startsWith("first time")) {
            w.core.onHeartbeat(copy, atSeconds(3));
        }
        if (when.startsWith("its session")) {
            w.core.onHeartbeat(w.newHeartbeat(A.text(), "east", 2, TOKEN), atSeconds(4));
        }
        if (when.startsWith("after it was") || when.startsWith("its name")) {
            w.core.returned(List.of(A), atSeconds(4));
        }
        if (when.startsWith("its name")) {
            w.core.onMachineListing(List.of(listed("vm-009999")), atSeconds(5), atSeconds(5));
            w.core.onMachineListing(List.of(listed("vm-009999")), atSeconds(15), atSeconds(15));
            for (int i = 0; i < 2000; i++) {
                w.core.returned(List.of(new MachineId("vm-0" + (20_000 + i))), atSeconds(16));
            }
        }
        if (when.startsWith("under a new")) {
            // Rented and returned under the leader before: nothing is recorded of it.
            w = new SchedulerFixture();
            w.core.recordsLoaded();
            job = new Job(spec(1, 1, 1, 500), 1, atSeconds(0), new Revision(1), new BitSet(), 1, false);
            w.core.addJob(job);
            copy = withToken(copy, new FencingToken(4));
            earlier = withToken(earlier, new FencingToken(4));
        }
        w.core.expireLeases(atSeconds(20));
        int machines = w.core.machineCount();
        w.core.onHeartbeat(copy, atSeconds(30));
        w.core.onHeartbeat(earlier, atSeconds(31));
        w.core.onHeartbeat(copy, atSeconds(31.5));
        assertEquals(machines, w.core.machineCount(), "taken on");
        assertEquals(known, w.core.knows(A));
        assertTrue(job.placements().isEmpty(), "a task placed on a dead machine");
        assertEquals(
                List.of(), tasksToStart(w.core.onHeartbeat(copy, atSeconds(32)).commands()));
        // What it ran goes to a machine that lives, at once.
        w.addSpotMachine("vm-010001", "east", 32);
        assertEquals(1, tasksToStart(w.heartbeat("vm-010001", 33)).size(), "held by a copy");
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
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 500), 0);
        Heartbeat first = w.newHeartbeat("x", "east", 1, new FencingToken(4));
        Heartbeat older = w.newHeartbeat("x", "east", 1, new FencingToken(4));
        Heartbeat second = w.newHeartbeat("x", "east", 1, TOKEN);
        w.core.onHeartbeat(what.startsWith("wrong") ? second : first, atSeconds(1));
        assertEquals(0, w.core.machineCount());
        switch (what) {
            case "twice the same" -> w.core.onHeartbeat(first, atSeconds(2));
            case "two with the older token" -> w.core.onHeartbeat(older, atSeconds(2));
            case "wrong order" -> w.core.onHeartbeat(first, atSeconds(2));
            case "shows the answer" -> w.core.onHeartbeat(second, atSeconds(2));
            case "then listed" -> w.core.onMachineListing(List.of(listed("x")), atSeconds(2), atSeconds(2));
            case "then rented" -> w.core.rented(EAST, List.of(new MachineId("x")), atSeconds(1), atSeconds(2));
            default -> {}
        }
        assertEquals(machines, w.core.machineCount());
        // It counts as none on order: what waits is rented for all the same.
        if (machines == 0) {
            SchedulerFixture fresh = new SchedulerFixture();
            fresh.core.recordsLoaded();
            fresh.submit(spec(1, 4, 1, 500), 0);
            assertEquals(fresh.core.scaleOutRequests(atSeconds(20)), w.core.scaleOutRequests(atSeconds(20)));
            assertFalse(w.core.scaleOutRequests(atSeconds(20)).isEmpty());
        }
    }

    /** Inherited and dead: copies with the older token settle no take-over and put it off once, not with each copy. */
    @Test
    void copiesOfOneReportPutATakeOverOffOnce() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.inheritMachine(A, EAST, atSeconds(-50), atSeconds(-50), atSeconds(0));
        w.core.recordsLoaded();
        Heartbeat copy = w.newHeartbeat(A.text(), "east", 1, new FencingToken(4));
        List<Double> settled = new ArrayList<>();
        for (double now = 1; now < 60; now++) {
            w.core.onHeartbeat(copy, atSeconds(now));
            w.core.expireLeases(atSeconds(now));
            if (w.core.isFailoverComplete()) {
                settled.add(now);
            }
        }
        assertEquals(14, settled.get(0), "1 s and the lease bound");
    }

    /** While the records are read, machines are answered: their leases count from then, not from when they were read. */
    @Test
    void whatIsAnsweredBeforeTheRecordsAreReadIsCounted() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.inheritMachine(A, EAST, atSeconds(-50), atSeconds(-50), atSeconds(0));
        w.core.onHeartbeat(w.newHeartbeat(A.text(), "east", 1, new FencingToken(4)), atSeconds(6));
        w.core.recordsLoaded();
        w.core.expireLeases(atSeconds(17));
        assertFalse(w.core.isFailoverComplete(), "its lease may run until 18 s");
        w.core.expireLeases(atSeconds(18.6));
        assertTrue(w.core.isFailoverComplete());
    }
}
