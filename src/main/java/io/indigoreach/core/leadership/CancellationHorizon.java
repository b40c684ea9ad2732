package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;

/**
 * Up to when a leader has heard of every cancellation that a user was told of, and has acted on it: by reading the records, by
 * its watch, or, while the state service does not answer it, by every node's word. Workers are answered for {@link
 * SafetyTimes#maxCancellationAge} after that moment and no longer. Before the records are read there is no such moment: a cancellation that an
 * earlier leader did not hear of, told any time ago, would let its tasks live on by this leader's answers.
 */
public final class CancellationHorizon {
    private Moment advanceTo = Moment.NEVER;
    /** Jobs whose records are gone, from when on they may have been cancelled, until it is known why and acted on. */
    private final Map<JobId, Moment> unsettled = new HashMap<>();

    /** Everything that happened before {@code moment} has been heard. */
    public void advanceTo(Moment moment) {
        advanceTo = moment.isAfter(advanceTo) ? moment : advanceTo;
    }

    /**
     * An open job's record is gone, as was just heard: probably it is cancelled. Heard is not acted on, and why it is gone may not
     * be readable for as long as an outage lasts.
     */
    public void recordGone(JobId job) {
        unsettled.putIfAbsent(job, advanceTo);
    }

    /** What became of that job is known, and nothing of it runs on by this leader's orders. */
    public void settled(JobId job) {
        unsettled.remove(job);
    }

    /**
     * Every node was asked at {@code sent} and has answered by {@code now}; what it told users of in the {@code covered} time
     * before its answer is known here. If that goes back beyond what was heard last, nothing told before the question is missing;
     * one told after it has its whole time from then.
     */
    public void peersAnswered(Span covered, Moment sent, Moment now) {
        if (covered.compareTo(now.since(advanceTo).withDrift()) > 0) {
            advanceTo(sent);
        }
    }

    /** Every cancellation that a user was told of before this moment is heard and acted on. */
    public Moment completeUntil() {
        Moment until = advanceTo;
        for (Moment since : unsettled.values()) {
            until = since.isBefore(until) ? since : until;
        }
        return until;
    }

    /** How far back other nodes must tell of cancellations to be of use, {@code way} being what question and answer may take. */
    public Span lookBack(Moment now, Span way) {
        return advanceTo.equals(Moment.NEVER)
                ? Span.ZERO
                : now.since(advanceTo).plus(way).withDrift();
    }
}
