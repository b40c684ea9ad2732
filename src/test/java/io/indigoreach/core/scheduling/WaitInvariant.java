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
final class WaitInvariant {
    private static final double MAX_WAIT_S = 90;

    /** A wait for a reason other than a limit or capacity: its start, and the number of waiting tasks. */
    private record Wait(double since, int tasks, WaitReason reason) {}

    private final Map<JobId, Wait> waits = new HashMap<>();
    EffectListener effects = EffectListener.NONE;

    List<String> check(SchedulerCore core, boolean faultsOver, double now) {
        List<String> violations = new ArrayList<>();
        Map<JobId, Wait> currentWaits = new HashMap<>();
        for (Job job : core.jobs()) {
            Optional<WaitReason> reason = core.waitReason(job, SchedulerFixture.atSeconds(now));
            effects.onWaitReason(job, reason.orElse(null));
            if (reason.isEmpty() == job.hasWaiting()) {
                violations.add(
                        now + ": " + job.id() + " has " + job.waitingCount() + " waiting tasks, reason " + reason);
            }
            if (!faultsOver || reason.isEmpty() || reason.get().isLimitOrCapacity()) {
                continue;
            }
            Wait previous = waits.get(job.id());
            boolean continues = previous != null && job.waitingCount() >= previous.tasks;
            currentWaits.put(job.id(), new Wait(continues ? previous.since : now, job.waitingCount(), reason.get()));
            if (continues && now - previous.since > MAX_WAIT_S) {
                violations.add(now + ": " + job.id() + " waits since " + previous.since + " for " + reason.get());
            }
        }
        waits.clear();
        waits.putAll(currentWaits);
        return violations;
    }
}
