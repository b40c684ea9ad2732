package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that every waiting job has a {@link WaitReason}, and that after the faults no job waits for 90 s without a
 * started task, except for its team's limit or capacity.
 */
final class WaitCheck {
    private static final double LONGEST_S = 90;

    /** A wait for a reason other than a limit or capacity: its start, and the number of waiting tasks. */
    private record Wait(double since, int tasks, WaitReason reason) {}

    private final Map<JobId, Wait> waits = new HashMap<>();
    EffectListener effects = EffectListener.NONE;

    List<String> check(SchedulerCore core, boolean calm, double now) {
        List<String> broken = new ArrayList<>();
        Map<JobId, Wait> next = new HashMap<>();
        for (Job job : core.jobs()) {
            Optional<WaitReason> reason = core.waitReason(job, SimulatedWorld.at(now));
            effects.waits(job, reason.orElse(null));
            if (reason.isEmpty() == job.hasWaiting()) {
                broken.add(now + ": " + job.id() + " has " + job.waitingCount() + " waiting tasks, reason " + reason);
            }
            if (!calm || reason.isEmpty() || reason.get().isLimitOrCapacity()) {
                continue;
            }
            Wait before = waits.get(job.id());
            boolean goesOn = before != null && job.waitingCount() >= before.tasks;
            next.put(job.id(), new Wait(goesOn ? before.since : now, job.waitingCount(), reason.get()));
            if (goesOn && now - before.since > LONGEST_S) {
                broken.add(now + ": " + job.id() + " waits since " + before.since + " for " + reason.get());
            }
        }
        waits.clear();
        waits.putAll(next);
        return broken;
    }
}
