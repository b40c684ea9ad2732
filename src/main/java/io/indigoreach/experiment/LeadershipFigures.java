package io.indigoreach.experiment;

import io.indigoreach.checker.Event;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.state.RecordKeys;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * How often the leadership changed in an experiment, and what that meant for cancelled jobs.
 *
 * @param leaderships how often a controller took the leadership
 * @param renewals answers to heartbeats that renewed a lease
 * @param renewalsToOlderTokens those of them to heartbeats with an older leader's token
 * @param longestCancelledLifeS for how long a task lived at the most after its user was told that its job is cancelled
 * @param cancelWithinS for how long it may
 */
record LeadershipFigures(
        int leaderships, int renewals, int renewalsToOlderTokens, double longestCancelledLifeS, double cancelWithinS) {

    static LeadershipFigures of(List<Event> events, Deployment.Workers workers) {
        Map<JobId, Moment> cancelledAt = new HashMap<>();
        int leaderships = 0;
        int renewals = 0;
        int renewalsToOlderTokens = 0;
        double longestLife = 0;
        for (Event event : events) {
            if (event instanceof Event.Committed committed && takesLeadership(committed)) {
                leaderships++;
            } else if (event instanceof Event.LeaseRenewed renewed) {
                renewals++;
                renewalsToOlderTokens += renewed.tokenKnown() ? 0 : 1;
            } else if (event instanceof Event.Answered answered && answered.status() == JobStatus.CANCELLED) {
                cancelledAt.putIfAbsent(answered.job(), answered.at());
            } else if (event instanceof Event.Off off
                    && cancelledAt.containsKey(off.task().job())) {
                Moment cancelled = cancelledAt.get(off.task().job());
                longestLife = Math.max(longestLife, off.at().since(cancelled).seconds());
            }
        }
        return new LeadershipFigures(leaderships, renewals, renewalsToOlderTokens, longestLife, workers.cancelS());
    }

    private static boolean takesLeadership(Event.Committed committed) {
        return committed.txn().writes().stream()
                .anyMatch(write -> write.key().equals(RecordKeys.LEADER) && !write.isDelete());
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d leaderships; %d leases renewed, %d of them to heartbeats with an older token; "
                        + "a cancelled task lived for %.1f s at most, of %.0f s",
                leaderships,
                renewals,
                renewalsToOlderTokens,
                longestCancelledLifeS,
                cancelWithinS);
    }
}
