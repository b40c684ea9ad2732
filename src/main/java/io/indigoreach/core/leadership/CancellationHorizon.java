package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;

/**
 * The time up to which a leader knows every cancellation that was confirmed to a user, and has acted on it: by reading the records, by
 * its watch, or, while the state service does not answer it, by the answers of all nodes. Heartbeats are answered for {@link
 * SafetyTimes#maxCancellationAge} after that time and no longer. Before the records are read there is no such time: a cancellation that an
 * earlier leader missed, confirmed at any time, would let its tasks run on under this leader's answers.
 */
public final class CancellationHorizon {
    private Moment advanceTo = Moment.NEVER;
    /** Jobs whose records are gone, with the time since when they may have been cancelled, until the reason is known and acted on. */
    private final Map<JobId, Moment> unresolved = new HashMap<>();

    /** Everything that happened before {@code moment} is known. */
    public void advanceTo(Moment moment) {
        advanceTo = moment.isAfter(advanceTo) ? moment : advanceTo;
    }

    /**
     * An open job's record is gone: probably the job is cancelled. This has not been acted on yet, and the reason may not be readable for
     * as long as an outage lasts.
     */
    public void onRecordMissing(JobId job) {
        unresolved.putIfAbsent(job, advanceTo);
    }

    /** What became of that job is known, and none of its tasks runs on under this leader's commands. */
    public void onMissingRecordResolved(JobId job) {
        unresolved.remove(job);
    }

    /**
     * Every node was asked at {@code sent} and has answered by {@code now}; the cancellations that it confirmed to users in the {@code
     * covered} time before its answer are known here. If that reaches back beyond the present horizon, none confirmed before {@code sent} is
     * missing; one confirmed later has its whole time from then.
     */
    public void onPeersResponded(Span covered, Moment sent, Moment now) {
        if (covered.compareTo(now.since(advanceTo).plusClockDrift()) > 0) {
            advanceTo(sent);
        }
    }

    /** Every cancellation that was confirmed to a user before this moment is known and acted on. */
    public Moment completeUntil() {
        Moment until = advanceTo;
        for (Moment since : unresolved.values()) {
            until = since.isBefore(until) ? since : until;
        }
        return until;
    }

    /** How far back the answers of the other nodes must reach to be of use, if they take up to {@code roundTrip}. */
    public Span requiredLookBack(Moment now, Span roundTrip) {
        return advanceTo.equals(Moment.NEVER)
                ? Span.ZERO
                : now.since(advanceTo).plus(roundTrip).plusClockDrift();
    }
}
