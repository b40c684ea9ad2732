package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.service;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines that hang or are dead are returned before their lease expires; partitioned machines are kept. */
class FailureDetectorTest {
    /** Some of eight machines with one replica each are silent for the given time; the heartbeat period is 2 s. */
    @ParameterizedTest
    @CsvSource({"1, 4, 0", "1, 5, 1", "2, 5, 2", "3, 5, 0", "8, 5, 0"})
    void silentMachinesAreReturnedUnlessTheyAreMany(int silent, double seconds, int returned) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        List<TaskStatus[]> tasks = startReplicas(world);
        for (int i = silent; i < 8; i++) {
            world.heartbeatOnDemand("m" + i, 10 + seconds, tasks.get(i));
        }
        world.core.planScaleIn(atSeconds(10 + seconds));
        assertEquals(returned, world.core.machinesToReturn(9).size());
    }

    private static List<TaskStatus[]> startReplicas(SchedulerFixture world) {
        List<TaskStatus[]> tasks = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            world.submit(service(i, 1), 0);
            tasks.add(runningStatus(world.addOnDemandMachine("m" + i, 1)));
            world.heartbeatOnDemand("m" + i, 10, tasks.get(i));
        }
        return tasks;
    }

    /**
     * A leader that was paused for 5 s reads the queued heartbeats one after the other. Once it has read most of them,
     * the remaining machines look like single silent ones, and before it reads the first, the leader looks cut off from
     * the workers.
     */
    @ParameterizedTest
    @CsvSource({"14.9, 0", "10, 2"})
    void aPausedLeaderReturnsNoMachines(double runningSince, int returned) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        List<TaskStatus[]> tasks = startReplicas(world);
        world.core.setEventLoopRunningSince(atSeconds(runningSince));
        assertEquals(returned > 0, world.core.isPartitionedFromWorkers(atSeconds(16.1)), "no heartbeat since 10 s");
        for (int i = 2; i < 8; i++) {
            world.heartbeatOnDemand("m" + i, 15, tasks.get(i));
        }
        world.core.planScaleIn(atSeconds(15));
        assertEquals(returned, world.core.machinesToReturn(9).size());
    }

    /**
     * A replica of a silent machine may still be running until the cloud confirms the return, so it starts elsewhere
     * only then.
     */
    @Test
    void aReplicaStartsElsewhereOnlyOnceTheReturnIsConfirmed() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        List<TaskStatus[]> tasks = startReplicas(world);
        for (int i = 1; i < 8; i++) {
            world.heartbeatOnDemand("m" + i, 15, tasks.get(i));
        }
        world.core.planScaleIn(atSeconds(15));
        assertEquals(
                0,
                tasksToStart(world.heartbeatOnDemand("m1", 15.5, tasks.get(1))).size());
        world.core.onMachinesReturned(world.core.machinesToReturn(9), atSeconds(16));
        assertEquals(List.of("run-0/0"), tasksToStart(world.heartbeatOnDemand("m1", 16.5, tasks.get(1))));
    }

    /**
     * The west zone is partitioned from a new leader, whose leadership began with the partition. Its machines are kept
     * for as long as replacing them would take: 12.3 s of lease and 80 s of boot time and minimum paid time.
     */
    @ParameterizedTest
    @CsvSource({"8, 30, 0", "8, 92, 0", "8, 93, 8", "1, 30, 1"})
    void partitionedMachinesAreKeptForTheReplacementTime(int partitioned, double seconds, int returned) {
        SchedulerFixture world = new SchedulerFixture();
        for (int i = 0; i < 8; i++) {
            world.core.inheritMachine(
                    new MachineId("e" + i),
                    new MachinePool("quad", "east", true),
                    atSeconds(-90),
                    atSeconds(-90),
                    atSeconds(0));
            world.core.inheritMachine(
                    new MachineId("w" + i),
                    new MachinePool("quad", "west", true),
                    atSeconds(-90),
                    atSeconds(-90),
                    atSeconds(0));
        }
        world.core.onRecordsLoaded();
        world.submit(SchedulerFixture.spec(1, 400, 1, 500), 0);
        for (double now = 1; now <= seconds; now++) {
            for (int i = 0; i < 8; i++) {
                world.heartbeat("e" + i, now);
                if (i >= partitioned) {
                    world.core.onHeartbeat(
                            world.newHeartbeat("w" + i, "west", 1, SchedulerFixture.TOKEN), atSeconds(now));
                }
            }
            world.core.expireLeases(atSeconds(now));
            world.core.planScaleIn(atSeconds(now));
            if (now == 20 && partitioned == 8) {
                assertEquals(
                        Set.of("east"),
                        world.core.scaleOutRequests(atSeconds(now)).stream()
                                .map(request -> request.pool().zone())
                                .collect(Collectors.toSet()),
                        "machines rented in the partitioned zone could not be reached");
            }
        }
        assertEquals(
                returned,
                world.core.machinesToReturn(99).stream()
                        .filter(id -> id.toString().startsWith("w"))
                        .count());
    }

    /** Machines that died before a failover must not hold back all inherited jobs until their leases expire. */
    @ParameterizedTest
    @CsvSource({"8, 1, 8, 0", "8, 1, 9, 1", "8, 4, 9, 0", "40, 2, 6, 0", "40, 2, 7, 2", "40, 6, 7, 0", "40, 6, 9, 6"})
    void machinesSilentSinceAFailoverAreReturned(int machines, int dead, double seconds, int returned) {
        SchedulerFixture world = new SchedulerFixture();
        for (int i = 0; i < machines; i++) {
            world.core.inheritMachine(
                    new MachineId("m" + i),
                    new MachinePool("quad", "east", true),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        world.core.onRecordsLoaded();
        for (int i = dead; i < machines; i++) {
            world.heartbeat("m" + i, seconds);
        }
        world.core.planScaleIn(atSeconds(seconds));
        assertEquals(returned, world.core.machinesToReturn(9).size());
    }
}
