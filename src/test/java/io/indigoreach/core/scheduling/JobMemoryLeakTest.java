package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a memory leak per job: one-task jobs arrive four times a second for an hour, each with its own class
 * and image, and a quarter of them are cancelled while they run.
 */
class JobMemoryLeakTest {
    private static final int MACHINES = 30;
    private static final double RUN_S = 15;

    private final SchedulerFixture world = new SchedulerFixture();
    private final List<Map<TaskId, TaskStatus>> machines = new ArrayList<>();
    private final Map<TaskId, Double> endTimes = new HashMap<>();
    private int finished;

    @Test
    void endedJobsAreNotRetained() throws Exception {
        world.core.onRecordsLoaded();
        for (int machine = 0; machine < MACHINES; machine++) {
            machines.add(new HashMap<>());
            world.addSpotMachine("m" + machine, "east", 0);
        }
        int afterAThird = 0;
        for (int step = 0; step < 14_400; step++) {
            double now = step / 4.0;
            world.submit(singleTaskSpec(step), now);
            if (step % 4 == 0 && step >= 40) {
                world.core.cancelJob(new JobId("run-" + (step - 40)));
            }
            for (int machine = step % 8; machine < MACHINES; machine += 8) {
                report(machine, now);
            }
            closeCompletedJobs();
            if (step % 20 == 0) {
                world.core.expireLeases(SchedulerFixture.atSeconds(now));
                world.core.scaleOutRequests(SchedulerFixture.atSeconds(now));
                world.core.planScaleIn(SchedulerFixture.atSeconds(now));
            }
            afterAThird = step == 4800 ? countReachable(world.core) : afterAThird;
        }
        assertTrue(finished > 10_000, "finished jobs: " + finished);
        int atTheEnd = countReachable(world.core);
        assertTrue(atTheEnd < 1.1 * afterAThird, "reachable objects grew from " + afterAThird + " to " + atTheEnd);
    }

    private static JobSpec singleTaskSpec(int id) {
        JobSpec base = SchedulerFixture.spec(id, 1, 1, RUN_S);
        return JobSpec.builder(base.id())
                .jobClass("class-" + id)
                .team(base.team())
                .kind(base.kind())
                .urgency(base.urgency())
                .taskCount(1)
                .demand(base.demand())
                .image("image-" + id)
                .imageGb(0)
                .spotAllowed()
                .estimatedRunTime(base.estimatedRunTime())
                .build();
    }

    private void report(int machine, double now) {
        Map<TaskId, TaskStatus> tasks = machines.get(machine);
        tasks.replaceAll((id, status) -> status.state() != TaskState.EXITED && now >= endTimes.get(id)
                ? new TaskStatus(id, status.attempt(), TaskState.EXITED, ExitCause.DONE, false)
                : status);
        for (WorkerCommand command :
                world.heartbeat("m" + machine, now, tasks.values().toArray(TaskStatus[]::new))) {
            if (command instanceof WorkerCommand.Start) {
                tasks.put(command.task(), SchedulerFixture.runningStatus(command));
                endTimes.put(command.task(), now + RUN_S);
            } else if (command instanceof WorkerCommand.Stop) {
                tasks.put(command.task(), SchedulerFixture.exitedStatus(command, ExitCause.STOPPED));
            } else {
                tasks.remove(command.task());
            }
        }
    }

    private void closeCompletedJobs() {
        for (Job job : List.copyOf(world.core.jobs())) {
            if (job.isComplete()) {
                job.completionsRecorded(job.completedTasks());
                world.core.closeJob(job.id());
                finished++;
            }
        }
    }

    /** Counts the elements and field values reachable through collections and the project's own classes. */
    private static int countReachable(Object root) throws IllegalAccessException {
        Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
        Deque<Object> pending = new ArrayDeque<>(List.of(root));
        int elements = 0;
        while (!pending.isEmpty()) {
            Object object = pending.pop();
            if (object instanceof SchedulerListener || !visited.add(object)) {
                continue;
            }
            List<Object> children = new ArrayList<>();
            if (object instanceof Map<?, ?> map) {
                children.addAll(map.keySet());
                children.addAll(map.values());
            } else if (object instanceof Collection<?> all) {
                children.addAll(all);
            } else {
                addFields(object, children);
            }
            elements += children.size();
            children.stream().filter(i -> i != null).forEach(pending::push);
        }
        return elements;
    }

    private static void addFields(Object object, List<Object> children) throws IllegalAccessException {
        for (Class<?> type = object.getClass();
                type != null && type.getName().startsWith("io.indigoreach");
                type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
                    field.setAccessible(true);
                    children.add(field.get(object));
                }
            }
        }
    }
}
