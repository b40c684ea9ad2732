package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/** What came of a {@link Campaign}. */
sealed interface CampaignResult {
    /** No compare-and-swap was attempted; try again after {@code retryAfter}. */
    record NotAttempted(Span retryAfter) implements CampaignResult {}

    /** The compare-and-swap was rejected: the key or the counter has changed. */
    record Rejected() implements CampaignResult {}

    /**
     * This node holds the leadership key.
     *
     * @param key the key as written
     * @param lease the lease that the key is attached to
     * @param leaseSentAt when the lease was requested
     * @param highestBefore the highest token known before
     * @param counted the token in the counter before
     * @param startBounds whether the start bounds in the records can be believed
     */
    record Won(
            LeaderKey key,
            long leaseId,
            Moment leaseSentAt,
            FencingToken highestBefore,
            FencingToken counterToken,
            boolean startBoundsReliable)
            implements CampaignResult {}
}
