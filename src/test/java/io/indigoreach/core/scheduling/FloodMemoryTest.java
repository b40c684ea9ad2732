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

/** One-task jobs, four a second for an hour, each of its own class and image, a quarter of them cancelled while they run. */
class FloodMemoryTest {
    private static final int MACHINES = 30;
    private static final double RUN_S = 15;

    private final SchedulerFixture w = new SchedulerFixture();
    private final List<Map<TaskId, TaskStatus>> machines = new ArrayList<>();
    private final Map<TaskId, Double> ends = new HashMap<>();
    private int finished;

    @Test
    void anHourOfSingleTasksLeavesNothingBehind() throws Exception {
        w.core.recordsLoaded();
        for (int m = 0; m < MACHINES; m++) {
            machines.add(new HashMap<>());
            w.addSpotMachine("m" + m, "east", 0);
        }
        int afterAThird = 0;
        for (int step = 0; step < 14_400; step++) {
            double now = step / 4.0;
            w.submit(single(step), now);
            if (step % 4 == 0 && step >= 40) {
                w.core.cancelJob(new JobId("run-" + (step - 40)));
            }
            for (int m = step % 8; m < MACHINES; m += 8) {
                report(m, now);
            }
            closeDone();
            if (step % 20 == 0) {
                w.core.expireLeases(SchedulerFixture.atSeconds(now));
                w.core.scaleOutRequests(SchedulerFixture.atSeconds(now));
                w.core.planScaleIn(SchedulerFixture.atSeconds(now));
            }
            afterAThird = step == 4800 ? reachable(w.core) : afterAThird;
        }
        assertTrue(finished > 10_000, "done: " + finished);
        int atTheEnd = reachable(w.core);
        assertTrue(atTheEnd < 1.1 * afterAThird, afterAThird + " objects have become " + atTheEnd);
    }

    private static JobSpec single(int id) {
        JobSpec s = SchedulerFixture.spec(id, 1, 1, RUN_S);
        return JobSpec.builder(s.id())
                .jobClass("class-" + id)
                .team(s.team())
                .kind(s.kind())
                .urgency(s.urgency())
                .tasks(1)
                .demand(s.demand())
                .image("image-" + id)
                .imageGb(0)
                .spotAllowed()
                .estimate(s.estimate())
                .build();
    }

    private void report(int m, double now) {
        Map<TaskId, TaskStatus> tasks = machines.get(m);
        tasks.replaceAll((id, status) -> status.state() != TaskState.EXITED && now >= ends.get(id)
                ? new TaskStatus(id, status.attempt(), TaskState.EXITED, ExitCause.DONE, false)
                : status);
        for (WorkerCommand command : w.heartbeat("m" + m, now, tasks.values().toArray(TaskStatus[]::new))) {
            if (command instanceof WorkerCommand.Start) {
                tasks.put(command.task(), SchedulerFixture.runningStatus(command));
                ends.put(command.task(), now + RUN_S);
            } else if (command instanceof WorkerCommand.Stop) {
                tasks.put(command.task(), SchedulerFixture.exitedStatus(command, ExitCause.STOPPED));
            } else {
                tasks.remove(command.task());
            }
        }
    }

    private void closeDone() {
        for (Job job : List.copyOf(w.core.jobs())) {
            if (job.isComplete()) {
                job.completionsRecorded(job.completedTasks());
                w.core.closeJob(job.id());
                finished++;
            }
        }
    }

    /** Our own objects that are reached through fields and collections. */
    private static int reachable(Object root) throws IllegalAccessException {
        Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
        Deque<Object> left = new ArrayDeque<>(List.of(root));
        int elements = 0;
        while (!left.isEmpty()) {
            Object o = left.pop();
            if (o instanceof SchedulerListener || !seen.add(o)) {
                continue;
            }
            List<Object> inside = new ArrayList<>();
            if (o instanceof Map<?, ?> map) {
                inside.addAll(map.keySet());
                inside.addAll(map.values());
            } else if (o instanceof Collection<?> all) {
                inside.addAll(all);
            } else {
                addFields(o, inside);
            }
            elements += inside.size();
            inside.stream().filter(i -> i != null).forEach(left::push);
        }
        return elements;
    }

    private static void addFields(Object o, List<Object> inside) throws IllegalAccessException {
        for (Class<?> c = o.getClass(); c != null && c.getName().startsWith("io.indigoreach"); c = c.getSuperclass()) {
            for (Field f : c.getDeclaredFields()) {
                if (!Modifier.isStatic(f.getModifiers()) && !f.getType().isPrimitive()) {
                    f.setAccessible(true);
                    inside.add(f.get(o));
                }
            }
        }
    }
}
