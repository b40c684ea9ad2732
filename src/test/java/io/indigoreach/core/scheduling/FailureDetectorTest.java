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

/** Machines that hang or are dead are returned before their lease ends; a cut must not look like that. */
class FailureDetectorTest {
    /** Of eight machines with a replica each, so many fall silent for so long; reports come every 2 s. */
    @ParameterizedTest
    @CsvSource({"1, 4, 0", "1, 5, 1", "2, 5, 2", "3, 5, 0", "8, 5, 0"})
    void silentMachinesAreReturnedUnlessManyAre(int silent, double seconds, int returned) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        List<TaskStatus[]> tasks = fleet(w);
        for (int i = silent; i < 8; i++) {
            w.heartbeatOnDemand("m" + i, 10 + seconds, tasks.get(i));
        }
        w.core.planScaleIn(atSeconds(10 + seconds));
        assertEquals(returned, w.core.machinesToReturn(9).size());
    }

    private static List<TaskStatus[]> fleet(SchedulerFixture w) {
        List<TaskStatus[]> tasks = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            w.submit(service(i, 1), 0);
            tasks.add(runningStatus(w.addOnDemandMachine("m" + i, 1)));
            w.heartbeatOnDemand("m" + i, 10, tasks.get(i));
        }
        return tasks;
    }

    /**
     * A leader that stood still for 5 s reads what waits one after the other: when most have been read, the rest would look
     * silent alone, and deaf is a leader that has had no time to listen.
     */
    @ParameterizedTest
    @CsvSource({"14.9, 0", "10, 2"})
    void aLeaderThatStoodStillDoubtsItselfFirst(double awake, int returned) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        List<TaskStatus[]> tasks = fleet(w);
        w.core.setAwakeSince(atSeconds(awake));
        assertEquals(returned > 0, w.core.isCutOffFromWorkers(atSeconds(16.1)), "nothing heard since 10 s");
        for (int i = 2; i < 8; i++) {
            w.heartbeatOnDemand("m" + i, 15, tasks.get(i));
        }
        w.core.planScaleIn(atSeconds(15));
        assertEquals(returned, w.core.machinesToReturn(9).size());
    }

    /** What was on it starts elsewhere once the return is answered, not before: it may still be running. */
    @Test
    void aReplicaStartsElsewhereOnlyOnceTheReturnIsAnswered() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        List<TaskStatus[]> tasks = fleet(w);
        for (int i = 1; i < 8; i++) {
            w.heartbeatOnDemand("m" + i, 15, tasks.get(i));
        }
        w.core.planScaleIn(atSeconds(15));
        assertEquals(
                0, tasksToStart(w.heartbeatOnDemand("m1", 15.5, tasks.get(1))).size());
        w.core.returned(w.core.machinesToReturn(9), atSeconds(16));
        assertEquals(List.of("run-0/0"), tasksToStart(w.heartbeatOnDemand("m1", 16.5, tasks.get(1))));
    }

    /**
     * The whole of the west cut off from a new leader, which took over as the cut began: its machines are kept as long as
     * others would take to be of use, 12.3 s of lease and 80 s of boot and paid minute (the zone days of both fleets).
     */
    @ParameterizedTest
    @CsvSource({"8, 30, 0", "8, 92, 0", "8, 93, 8", "1, 30, 1"})
    void machinesBehindACutAreKept(int cut, double seconds, int returned) {
        SchedulerFixture w = new SchedulerFixture();
        for (int i = 0; i < 8; i++) {
            w.core.inheritMachine(
                    new MachineId("e" + i),
                    new MachinePool("quad", "east", true),
                    atSeconds(-90),
                    atSeconds(-90),
                    atSeconds(0));
            w.core.inheritMachine(
                    new MachineId("w" + i),
                    new MachinePool("quad", "west", true),
                    atSeconds(-90),
                    atSeconds(-90),
                    atSeconds(0));
        }
        w.core.recordsLoaded();
        w.submit(SchedulerFixture.spec(1, 400, 1, 500), 0);
        for (double t = 1; t <= seconds; t++) {
            for (int i = 0; i < 8; i++) {
                w.heartbeat("e" + i, t);
                if (i >= cut) {
                    w.core.onHeartbeat(w.newHeartbeat("w" + i, "west", 1, SchedulerFixture.TOKEN), atSeconds(t));
                }
            }
            w.core.expireLeases(atSeconds(t));
            w.core.planScaleIn(atSeconds(t));
            if (t == 20 && cut == 8) {
                assertEquals(
                        Set.of("east"),
                        w.core.scaleOutRequests(atSeconds(t)).stream()
                                .map(r -> r.pool().zone())
                                .collect(Collectors.toSet()),
                        "what is rented behind the cut cannot be reached");
            }
        }
        assertEquals(
                returned,
                w.core.machinesToReturn(99).stream()
                        .filter(id -> id.toString().startsWith("w"))
                        .count());
    }

    /** Machines dead before a take-over held back every inherited job until their lease had surely run out. */
    @ParameterizedTest
    @CsvSource({"8, 1, 8, 0", "8, 1, 9, 1", "8, 4, 9, 0", "40, 2, 6, 0", "40, 2, 7, 2", "40, 6, 7, 0", "40, 6, 9, 6"})
    void machinesSilentSinceATakeOverAreReturned(int machines, int dead, double seconds, int returned) {
        SchedulerFixture w = new SchedulerFixture();
        for (int i = 0; i < machines; i++) {
            w.core.inheritMachine(
                    new MachineId("m" + i),
                    new MachinePool("quad", "east", true),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        w.core.recordsLoaded();
        for (int i = dead; i < machines; i++) {
            w.heartbeat("m" + i, seconds);
        }
        w.core.planScaleIn(atSeconds(seconds));
        assertEquals(returned, w.core.machinesToReturn(9).size());
    }
}
