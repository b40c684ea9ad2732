package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
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
 * whole fleet for each heartbeat. With 450 machines and a tenth of a core, such a decision would use all of the
 * processor time.
 */
class FleetCostTest {
    @ParameterizedTest
    @ValueSource(ints = {50, 500})
    void heartbeatsDoNotVisitWholeFleet(int machines) {
        SchedulerFixture fixture = new SchedulerFixture();
        Map<String, TaskStatus[]> tasks = fillFleetAndSubmitUrgentJob(fixture, machines);
        long visitsBefore = fixture.core.machineVisits();
        int stops = 0;
        for (int i = 0; i < machines; i++) {
            stops += SchedulerFixture.tasksToStop(
                            fixture.heartbeat("m" + i, 40 + 0.9 * i / machines, tasks.get("m" + i)))
                    .size();
        }
        assertTrue(stops > machines / 2, stops + " tasks were stopped");
        assertTrue(
                fixture.core.machineVisits() - visitsBefore <= 10L * machines,
                (fixture.core.machineVisits() - visitsBefore) + " machines looked at");
    }

    /**
     * Guards against a visit of all machines per heartbeat to count places that come free, while another team waits for
     * its guaranteed cores.
     */
    @ParameterizedTest
    @ValueSource(ints = {50, 500})
    void guaranteesDoNotVisitWholeFleet(int machines) {
        SchedulerFixture fixture =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("due", 4 * machines, 0, 0, 0));
        Map<String, TaskStatus[]> tasks = fillFleetAndSubmitUrgentJob(fixture, machines);
        JobSpec base = spec(3, 4 * machines, 1, 20);
        fixture.submit(
                JobSpec.builder(base.id())
                        .jobClass(base.jobClass())
                        .team("due")
                        .kind(base.kind())
                        .urgency(base.urgency())
                        .taskCount(base.taskCount())
                        .demand(base.demand())
                        .image(base.image())
                        .imageGb(base.imageGb())
                        .spotAllowed()
                        .estimatedRunTime(base.estimatedRunTime())
                        .build(),
                3);
        long visitsBefore = fixture.core.machineVisits();
        int stops = 0;
        for (int i = 0; i < machines; i++) {
            stops += SchedulerFixture.tasksToStop(
                            fixture.heartbeat("m" + i, 5 + 0.9 * i / machines, tasks.get("m" + i)))
                    .size();
        }
        assertTrue(stops >= machines, stops + " tasks were stopped");
        assertTrue(
                fixture.core.machineVisits() - visitsBefore <= 10L * machines,
                (fixture.core.machineVisits() - visitsBefore) + " machines looked at");
    }

    /** Fills the fleet with tasks that save their progress, and submits an urgent job that may preempt them. */
    private static Map<String, TaskStatus[]> fillFleetAndSubmitUrgentJob(SchedulerFixture fixture, int machines) {
        Map<String, TaskStatus[]> tasksByMachine = new HashMap<>();
        fixture.core.onRecordsLoaded();
        fixture.submit(withOptions(spec(1, 2 * machines, 2, 100), Urgency.BEST_EFFORT, false, false, true, null, 5), 0);
        for (int i = 0; i < machines; i++) {
            fixture.addSpotMachine("m" + i, "east", 0);
            List<TaskStatus> tasks = new ArrayList<>();
            fixture.heartbeat("m" + i, 1).forEach(command -> tasks.add(runningStatus(command)));
            tasksByMachine.put("m" + i, tasks.toArray(TaskStatus[]::new));
            fixture.heartbeat("m" + i, 2, tasksByMachine.get("m" + i));
        }
        fixture.submit(withOptions(spec(2, 4 * machines, 1, 20), Urgency.HIGH, false, false, true, null, 0), 3);
        return tasksByMachine;
    }

    /**
     * A new leader starts no inherited task until the last of 500 machines has reported, and starts them all after
     * that.
     */
    @Test
    void newLeaderStartsInheritedTasksAfterLastReport() {
        SchedulerFixture fixture = new SchedulerFixture();
        for (int i = 0; i < 500; i++) {
            fixture.core.inheritMachine(
                    new MachineId("m" + i),
                    new MachinePool("quad", "east", true),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        fixture.addInheritedJob(spec(1, 3000, 1, 20));
        fixture.core.onRecordsLoaded();
        for (int i = 0; i < 499; i++) {
            assertEquals(
                    0,
                    SchedulerFixture.tasksToStart(fixture.heartbeat("m" + i, 1)).size());
        }
        assertEquals(
                4, SchedulerFixture.tasksToStart(fixture.heartbeat("m499", 2)).size());
        assertEquals(
                4, SchedulerFixture.tasksToStart(fixture.heartbeat("m0", 2.5)).size());
    }
}
