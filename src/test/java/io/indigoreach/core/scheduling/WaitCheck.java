package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Every job that waits has a reason by name, and once the troubles are over none waits 90 s on end, with no task of it started,
 * for anything but its team's limit or room.
 */
final class WaitCheck {
    private static final double LONGEST_S = 90;

    /** A job waits for no limit and no room since then, with so many tasks waiting. */
    private record Wait(double since, int tasks, WaitReason reason) {}

    private final Map<JobId, Wait> waits = new HashMap<>();
    EffectListener effects = EffectListener.NONE;

    List<String> check(SchedulerCore core, boolean calm, double now) {
        List<String> broken = new ArrayList<>();
        Map<JobId, Wait> next = new HashMap<>();
        for (Job job : core.jobs()) {
            Optional<WaitReason> reason = core.waitReason(job, SchedulerFixture.atSeconds(now));
            effects.waits(job, reason.orElse(null));
            if (reason.isEmpty() == job.hasWaiting()) {
                broken.add(now + ": " + job.id() + " has " + job.waitingCount() + " tasks waiting for " + reason);
            }
            if (!calm || reason.isEmpty() || reason.get().isLimitOrRoom()) {
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
