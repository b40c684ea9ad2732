package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;

/**
 * The time up to which a leader knows, and has acted on, every cancellation that was confirmed to a user. It advances when the leader
 * reads the records, when its watch delivers changes and, while the state service does not respond, when all nodes have reported their
 * confirmed cancellations. The leader responds to heartbeats for {@link SafetyTimes#maxCancellationAge} after that time and no longer.
 *
 * <p>The horizon is undefined until the records are read: a cancellation that was confirmed at any earlier time may be unknown, and its
 * tasks would go on running under this leader's responses.
 */
public final class CancellationHorizon {
    private Moment knownUntil = Moment.NEVER;
    /** Jobs whose records are missing for an unknown reason, with the time after which they may have been cancelled. */
    private final Map<JobId, Moment> unresolved = new HashMap<>();

    /** Records that every cancellation before {@code moment} is known and acted on. */
    public void advanceTo(Moment moment) {
        knownUntil = moment.isAfter(knownUntil) ? moment : knownUntil;
    }

    /**
     * Records that an open job's record is missing, probably because the job was cancelled. Holds the horizon back until {@link #onMissingRecordResolved}
     * is called: during an outage the reason cannot be read.
     */
    public void onRecordMissing(JobId job) {
        unresolved.putIfAbsent(job, knownUntil);
    }

    /** Records that the reason for a missing record is known and acted on: none of the job's tasks goes on running under this leader. */
    public void onMissingRecordResolved(JobId job) {
        unresolved.remove(job);
    }

    /**
     * Records that all nodes have responded by {@code now} to a request sent at {@code sent}, and that the cancellations which they
     * confirmed in the {@code covered} time before their responses are acted on. If that time reaches back beyond the present horizon, no
     * cancellation confirmed before {@code sent} is missing, so the horizon advances to {@code sent}.
     */
    public void onPeersResponded(Span covered, Moment sent, Moment now) {
        if (covered.compareTo(now.since(knownUntil).plusClockDrift()) > 0) {
            advanceTo(sent);
        }
    }

    /** Returns the moment before which every cancellation that was confirmed to a user is known and acted on. */
    public Moment completeUntil() {
        Moment horizon = knownUntil;
        for (Moment unresolvedSince : unresolved.values()) {
            horizon = unresolvedSince.isBefore(horizon) ? unresolvedSince : horizon;
        }
        return horizon;
    }

    /** Returns how far back the responses of the other nodes must reach to advance the horizon, if they take up to {@code roundTrip}. */
    public Span requiredLookBack(Moment now, Span roundTrip) {
        return knownUntil.equals(Moment.NEVER)
                ? Span.ZERO
                : now.since(knownUntil).plus(roundTrip).plusClockDrift();
    }
}
