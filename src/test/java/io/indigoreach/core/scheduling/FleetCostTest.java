package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures the cost of one second of heartbeats in machines visited. Guards against decisions that iterate over the
 * whole fleet for each heartbeat, which with 450 machines uses all of the processor time when the scheduler has a tenth
 * of a core.
 */
class FleetCostTest {
    @ParameterizedTest
    @ValueSource(ints = {50, 500})
    void reportsDoNotWalkTheFleet(int machines) {
        SimulatedWorld w = new SimulatedWorld();
        Map<String, TaskStatus[]> tasks = busy(w, machines);
        long before = w.core.machineVisits();
        int stops = 0;
        for (int i = 0; i < machines; i++) {
            stops += SimulatedWorld.stops(w.hear("m" + i, 40 + 0.9 * i / machines, tasks.get("m" + i)))
                    .size();
        }
        assertTrue(stops > machines / 2, stops + " tasks were stopped");
        assertTrue(
                w.core.machineVisits() - before <= 10L * machines,
                (w.core.machineVisits() - before) + " machines looked at");
    }

    /**
     * Guards against a visit of all machines per heartbeat to count places that come free, while another team waits for
     * its guaranteed cores.
     */
    @ParameterizedTest
    @ValueSource(ints = {50, 500})
    void guaranteesDoNotWalkTheFleet(int machines) {
        SimulatedWorld w = new SimulatedWorld(SimulatedWorld.team(0), new Team("due", 4 * machines, 0, 0, 0));
        Map<String, TaskStatus[]> tasks = busy(w, machines);
        JobSpec s = spec(3, 4 * machines, 1, 20);
        w.submit(
                JobSpec.builder(s.id())
                        .jobClass(s.jobClass())
                        .team("due")
                        .kind(s.kind())
                        .urgency(s.urgency())
                        .tasks(s.tasks())
                        .demand(s.demand())
                        .image(s.image())
                        .imageGb(s.imageGb())
                        .spotAllowed()
                        .estimate(s.estimate())
                        .build(),
                3);
        long before = w.core.machineVisits();
        int stops = 0;
        for (int i = 0; i < machines; i++) {
            stops += SimulatedWorld.stops(w.hear("m" + i, 5 + 0.9 * i / machines, tasks.get("m" + i)))
                    .size();
        }
        assertTrue(stops >= machines, stops + " tasks were stopped");
        assertTrue(
                w.core.machineVisits() - before <= 10L * machines,
                (w.core.machineVisits() - before) + " machines looked at");
    }

    /** Fills the fleet with tasks that save their progress, and submits an urgent job that may preempt them. */
    private static Map<String, TaskStatus[]> busy(SimulatedWorld w, int machines) {
        Map<String, TaskStatus[]> all = new HashMap<>();
        w.core.recordsLoaded();
        w.submit(with(spec(1, 2 * machines, 2, 100), Urgency.BEST_EFFORT, false, false, true, null, 5), 0);
        for (int i = 0; i < machines; i++) {
            w.up("m" + i, "east", 0);
            List<TaskStatus> tasks = new ArrayList<>();
            w.hear("m" + i, 1).forEach(command -> tasks.add(running(command)));
            all.put("m" + i, tasks.toArray(TaskStatus[]::new));
            w.hear("m" + i, 2, all.get("m" + i));
        }
        w.submit(with(spec(2, 4 * machines, 1, 20), Urgency.HIGH, false, false, true, null, 0), 3);
        return all;
    }

    /**
     * A new leader starts no inherited task until the last of 500 machines has reported, and starts them all after
     * that.
     */
    @Test
    void aTakeOverOfAWholeFleetSettlesWithItsLastReport() {
        SimulatedWorld w = new SimulatedWorld();
        for (int i = 0; i < 500; i++) {
            w.core.inheritMachine(new MachineId("m" + i), new MachinePool("quad", "east", true), at(0), at(0), at(0));
        }
        w.inherited(spec(1, 3000, 1, 20));
        w.core.recordsLoaded();
        for (int i = 0; i < 499; i++) {
            assertEquals(0, SimulatedWorld.starts(w.hear("m" + i, 1)).size());
        }
        assertEquals(4, SimulatedWorld.starts(w.hear("m499", 2)).size());
        assertEquals(4, SimulatedWorld.starts(w.hear("m0", 2.5)).size());
    }
}
