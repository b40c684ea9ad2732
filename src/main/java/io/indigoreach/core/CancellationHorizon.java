package io.indigoreach.core;

/**
 * Up to when a leader has heard of every cancellation that a user was told of: by its watch, or, while the state service
 * answers nobody, because every node says that it has told of none. Workers are answered for {@link Rules#horizonAge} after
 * that moment and no longer.
 */
public final class CancellationHorizon {
    private Moment until;

    public CancellationHorizon(Moment until) {
        this.until = until;
    }

    /** Everything that happened before {@code moment} has been heard. */
    public void heard(Moment moment) {
        until = moment.isAfter(until) ? moment : until;
    }

    /**
     * Every node was asked at {@code sent} and has answered by {@code now} that it has told of no cancellation for
     * {@code quiet}. If that goes back to what was heard last, there was none to be heard of until the question; one told
     * after it has its whole time from then.
     */
    public void noneTold(Span quiet, Moment sent, Moment now) {
        if (quiet.compareTo(now.since(until).withDrift()) > 0) {
            heard(sent);
        }
    }

    public Moment until() {
        return until;
    }
}
