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

/** Copies of heartbeats that arrive up to minutes late prove nothing about the current state of a machine. */
class LateHeartbeatCopyTest {
    private static final MachineId MACHINE = new MachineId("vm-000001");
    private static final MachinePool POOL = new MachinePool("quad", "east", true);

    private static ListedMachine listed(String name) {
        return new ListedMachine(new MachineId(name), POOL, ListedMachine.Status.RUNNING, Span.seconds(30));
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
    void lateCopiesDoNotAdoptDeadMachines(String scenario, boolean staysKnown) {
        SchedulerFixture world = new SchedulerFixture();
        world.addSpotMachine(MACHINE.text(), "east", 0);
        world.core.onRecordsLoaded();
        Job job = world.submit(spec(1, 1, 1, 500), 0);
        List<WorkerCommand> commands = world.heartbeat(MACHINE.text(), 1);
        Heartbeat earlier = world.newHeartbeat(MACHINE.text(), "east", 1, TOKEN, runningStatus(commands.get(0)));
        Heartbeat copy = world.newHeartbeat(MACHINE.text(), "east", 1, TOKEN, runningStatus(commands.get(0)));
        world.core.onHeartbeat(earlier, atSeconds(2));
        if (!scenario.equals("delivered first after its lease expired")) {
            world.core.onHeartbeat(copy, atSeconds(3));
        }
        if (scenario.equals("after its incarnation ended")) {
            world.core.onHeartbeat(world.newHeartbeat(MACHINE.text(), "east", 2, TOKEN), atSeconds(4));
        }
        if (scenario.equals("after it was returned") || scenario.equals("after its return was forgotten")) {
            world.core.onMachinesReturned(List.of(MACHINE), atSeconds(4));
        }
        if (scenario.equals("after its return was forgotten")) {
            world.core.onMachineListing(List.of(listed("vm-009999")), atSeconds(5), atSeconds(5));
            world.core.onMachineListing(List.of(listed("vm-009999")), atSeconds(15), atSeconds(15));
            for (int i = 0; i < 2000; i++) {
                world.core.onMachinesReturned(List.of(new MachineId("vm-0" + (20_000 + i))), atSeconds(16));
            }
        }
        if (scenario.equals("under a new leader")) {
            // It was rented and returned under the previous leader, so no record mentions it.
            world = new SchedulerFixture();
            world.core.onRecordsLoaded();
            job = new Job(spec(1, 1, 1, 500), 1, atSeconds(0), new Revision(1), new BitSet(), 1, false);
            world.core.addJob(job);
            copy = withToken(copy, new FencingToken(4));
            earlier = withToken(earlier, new FencingToken(4));
        }
        world.core.expireLeases(atSeconds(20));
        int machines = world.core.machineCount();
        world.core.onHeartbeat(copy, atSeconds(30));
        world.core.onHeartbeat(earlier, atSeconds(31));
        world.core.onHeartbeat(copy, atSeconds(31.5));
        assertEquals(machines, world.core.machineCount(), "a machine was adopted");
        assertEquals(staysKnown, world.core.isKnownMachine(MACHINE));
        assertTrue(job.placements().isEmpty(), "a task placed on a dead machine");
        assertEquals(
                List.of(),
                tasksToStart(world.core.onHeartbeat(copy, atSeconds(32)).commands()));
        // Its task can start on a live machine at once.
        world.addSpotMachine("vm-010001", "east", 32);
        assertEquals(1, tasksToStart(world.heartbeat("vm-010001", 33)).size(), "the task is blocked by a copy");
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
    void anUnknownMachineMustShowThisLeadersAnswer(String scenario, int expectedMachines) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.submit(spec(1, 4, 1, 500), 0);
        Heartbeat first = world.newHeartbeat("x", "east", 1, new FencingToken(4));
        Heartbeat older = world.newHeartbeat("x", "east", 1, new FencingToken(4));
        Heartbeat second = world.newHeartbeat("x", "east", 1, TOKEN);
        world.core.onHeartbeat(scenario.startsWith("wrong") ? second : first, atSeconds(1));
        assertEquals(0, world.core.machineCount());
        switch (scenario) {
            case "twice the same" -> world.core.onHeartbeat(first, atSeconds(2));
            case "two with the older token" -> world.core.onHeartbeat(older, atSeconds(2));
            case "wrong order" -> world.core.onHeartbeat(first, atSeconds(2));
            case "shows the answer" -> world.core.onHeartbeat(second, atSeconds(2));
            case "then listed" -> world.core.onMachineListing(List.of(listed("x")), atSeconds(2), atSeconds(2));
            case "then rented" ->
                world.core.onMachinesRented(POOL, List.of(new MachineId("x")), atSeconds(1), atSeconds(2));
            default -> {}
        }
        assertEquals(expectedMachines, world.core.machineCount());
        // The unknown machine does not count as capacity, so machines are rented for the waiting tasks as without it.
        if (expectedMachines == 0) {
            SchedulerFixture fresh = new SchedulerFixture();
            fresh.core.onRecordsLoaded();
            fresh.submit(spec(1, 4, 1, 500), 0);
            assertEquals(fresh.core.scaleOutRequests(atSeconds(20)), world.core.scaleOutRequests(atSeconds(20)));
            assertFalse(world.core.scaleOutRequests(atSeconds(20)).isEmpty());
        }
    }

    /**
     * Copies of one heartbeat of a dead inherited machine, with an older token, do not complete the failover, and they
     * postpone it only once.
     */
    @Test
    void copiesOfOneHeartbeatDelayFailoverOnce() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.inheritMachine(MACHINE, POOL, atSeconds(-50), atSeconds(-50), atSeconds(0));
        world.core.onRecordsLoaded();
        Heartbeat copy = world.newHeartbeat(MACHINE.text(), "east", 1, new FencingToken(4));
        List<Double> completeAt = new ArrayList<>();
        for (double now = 1; now < 60; now++) {
            world.core.onHeartbeat(copy, atSeconds(now));
            world.core.expireLeases(atSeconds(now));
            if (world.core.isFailoverComplete()) {
                completeAt.add(now);
            }
        }
        assertEquals(14, completeAt.get(0), "1 s and the lease bound");
    }

    /**
     * Machines are answered while the records are loaded, so their leases count from the answer and not from the
     * loading.
     */
    @Test
    void answersBeforeTheRecordsAreLoadedRenewLeases() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.inheritMachine(MACHINE, POOL, atSeconds(-50), atSeconds(-50), atSeconds(0));
        world.core.onHeartbeat(world.newHeartbeat(MACHINE.text(), "east", 1, new FencingToken(4)), atSeconds(6));
        world.core.onRecordsLoaded();
        world.core.expireLeases(atSeconds(17));
        assertFalse(world.core.isFailoverComplete(), "its lease may run until 18 s");
        world.core.expireLeases(atSeconds(18.6));
        assertTrue(world.core.isFailoverComplete());
    }
}
