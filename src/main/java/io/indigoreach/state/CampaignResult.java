package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/** The result of one attempt of a {@link Campaign}. */
sealed interface CampaignResult {
    /** No compare-and-swap was attempted; the caller retries after {@code retryAfter}. */
    record NotAttempted(Span retryAfter) implements CampaignResult {}

    /** The compare-and-swap was rejected: the key or the counter has changed. */
    record Rejected() implements CampaignResult {}

    /**
     * This node holds the leadership key.
     *
     * @param key the key as written
     * @param leaseId the lease that the key is attached to
     * @param leaseSentAt when the lease was requested
     * @param highestBefore the highest token that this node knew before the attempt
     * @param counterToken the token in the counter before the attempt
     * @param startBoundsReliable whether the start bounds in the job records are reliable
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
