package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.TaskId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A delayed copy of an old heartbeat reaches a leader just when it begins. */
class StaleHeartbeatTest {
    private enum CopyArrival {
        NEVER,
        BEFORE_LOADING,
        AFTER_LOADING
    }

    /** The copy must not change the run, whether its machine is alive or dead. */
    @ParameterizedTest
    @CsvSource({
        "its task list is old, true",
        "its task list is old, false",
        "its incarnation has ended, true",
        "its incarnation has ended, false",
        "it carries the new token, true",
        "it carries the new token, false",
        "its machine was returned, false",
        "its machine was rented by the previous leader, false"
    })
    void aDelayedCopyChangesNothing(String scenario, boolean isAlive) {
        List<String> expected = trace(scenario, isAlive, CopyArrival.NEVER);
        assertTrue(expected.stream().anyMatch(line -> line.contains("Start")), "nothing happened");
        if (!scenario.equals("it carries the new token")) {
            assertEquals(expected, trace(scenario, isAlive, CopyArrival.BEFORE_LOADING));
        }
        assertEquals(expected, trace(scenario, isAlive, CopyArrival.AFTER_LOADING));
    }

    private static List<String> trace(String scenario, boolean isAlive, CopyArrival arrival) {
        SimulatedCluster cluster = new SimulatedCluster();
        SimulatedCluster.Worker worker = cluster.worker("a", 0);
        cluster.worker("n", 0);
        cluster.startLeaderWithRecords(-30);
        if (scenario.contains("rented")) {
            cluster.core.onMachinesRented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(-30), atSeconds(-30));
        }
        cluster.sendHeartbeat("a", -21);
        Heartbeat copy = worker.lastHeartbeat;
        cluster.submit(spec(1, 2, 4, 500), -20);
        if (!scenario.contains("rented")) {
            cluster.joinLeader("a", -19);
            assertEquals(1, worker.tasks.size());
        }
        if (scenario.contains("incarnation")) {
            copy = worker.lastHeartbeat;
            worker.newSession(-8);
        } else if (scenario.contains("returned")) {
            copy = worker.lastHeartbeat;
            cluster.core.onMachinesReturned(List.of(new MachineId("a")), atSeconds(-8));
        }
        if (scenario.contains("returned") || scenario.contains("rented")) {
            // The machine has no record, or not any more.
            cluster.workers().remove(worker);
        } else {
            cluster.sendHeartbeat("a", -7);
        }
        cluster.startLeader(0);
        if (scenario.contains("new token")) {
            cluster.sendHeartbeat("a", 0.1);
            cluster.sendHeartbeat("a", 0.2);
            copy = worker.lastHeartbeat;
            worker.exit(TaskId.parse("run-1/0"), ExitCause.DONE);
            cluster.sendHeartbeat("a", 0.3);
        }
        if (arrival == CopyArrival.BEFORE_LOADING) {
            cluster.core.onHeartbeat(copy, atSeconds(0.4));
        }
        cluster.loadRecords();
        if (arrival == CopyArrival.AFTER_LOADING) {
            assertEquals(
                    List.of(), cluster.core.onHeartbeat(copy, atSeconds(0.4)).commands());
        }
        List<String> trace = new ArrayList<>(List.of(cluster.core.summary(atSeconds(0.4))));
        for (double now = 1; now < 40; now++) {
            for (SimulatedCluster.Worker box : List.copyOf(cluster.workers())) {
                if (box != worker || isAlive) {
                    trace.add(now + " " + box.name + " " + cluster.sendHeartbeat(box.name, now));
                }
            }
            cluster.core.expireLeases(atSeconds(now));
            trace.add(
                    cluster.core.summary(atSeconds(now)) + " knows " + cluster.core.isKnownMachine(new MachineId("a")));
        }
        assertEquals(List.of(), cluster.violations);
        return trace;
    }
}
