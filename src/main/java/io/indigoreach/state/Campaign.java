package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;

/**
 * Attempts to gain leadership. Each attempt is one compare-and-swap that writes the leadership key, attached to a new lease, and
 * raises the token counter. Bound to the node's event loop.
 */
final class Campaign {
    private static final Span RETRY_INTERVAL = Span.seconds(0.5);
    private static final Span RETRY_INTERVAL_WHILE_BOUND = Span.seconds(0.1);

    private final StateClient state;
    private final SteadyClock clock;
    private final Candidate candidate;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    private final OwnTokenHistory tokenHistory;
    private final DataFormatTracker dataFormat;

    Campaign(ElectionSettings settings, OwnTokenHistory tokenHistory, DataFormatTracker dataFormat) {
        this.state = settings.state().client();
        this.clock = settings.clock();
        this.candidate = settings.candidate();
        this.leaseTime = settings.leaseTime();
        this.tokens = settings.tokens();
        this.tokenHistory = tokenHistory;
        this.dataFormat = dataFormat;
    }

    /**
     * Attempts once to gain leadership.
     *
     * @param keyRevision the revision of the leadership key that the attempt replaces, or {@link Revision#ABSENT}
     * @param mayBeBound whether a pledge given by the previous process of this node may still be in force; it is ignored in
     *     a new deployment, which has no token counter yet
     */
    Future<CampaignResult> run(Revision keyRevision, boolean mayBeBound) {
        return state.get(RecordKeys.COUNTER).compose(entry -> attempt(keyRevision, entry, mayBeBound));
    }

    private Future<CampaignResult> attempt(Revision keyRevision, StateClient.Entry counterEntry, boolean mayBeBound) {
        // Fails before anything is written if a later version of the program wrote the counter.
        CounterRecord counter = CounterRecord.fromEntry(counterEntry);
        dataFormat.observe(counter);
        FencingToken counterToken = counter.highestToken();
        tokenHistory.observeCounter(counterToken);
        if (mayBeBound && counterEntry != null) {
            return notAttempted(RETRY_INTERVAL_WHILE_BOUND);
        }
        Revision counterRevision = StateClient.revisionOf(counterEntry);
        if (tokens.isCounterBehind(counterToken) && !tokenHistory.mayCampaignAfterRegression()) {
            return confirmRegression(counterRevision);
        }
        // Another node may have led and resigned before this node read its key. Only the counter shows that
        // leadership; without it, this node would take its own cached jobs for the latest state.
        tokens.observe(counterToken);
        FencingToken highestBefore = tokens.highestKnown();
        Moment leaseSentAt = clock.now();
        return state.grantLease(leaseTime)
                .compose(lease -> tryAcquireKey(
                        new Attempt(keyRevision, counter, counterRevision, highestBefore, leaseSentAt, lease)));
    }

    private Future<CampaignResult> notAttempted(Span retryAfter) {
        return Future.succeededFuture(new CampaignResult.NotAttempted(retryAfter));
    }

    /** Checks by a comparison that the counter really regressed: the read may have been stale. */
    private Future<CampaignResult> confirmRegression(Revision counterRevision) {
        return state.confirm(new StateClient.Txn().when(RecordKeys.COUNTER, counterRevision))
                .map(confirmed -> {
                    if (!confirmed) {
                        tokenHistory.clearRegression();
                    }
                    return new CampaignResult.NotAttempted(RETRY_INTERVAL);
                });
    }

    /** The state that one compare-and-swap on the leadership key is based on. */
    private record Attempt(
            Revision keyRevision,
            CounterRecord counter,
            Revision counterRevision,
            FencingToken highestBefore,
            Moment leaseSentAt,
            long leaseId) {}

    private Future<CampaignResult> tryAcquireKey(Attempt attempt) {
        FencingToken token = tokens.next(attempt.counter.highestToken(), clock.timeOfDay());
        return state.commit(transaction(attempt, token))
                .onFailure(failure -> campaignFailed(failure, token, attempt.highestBefore))
                .map(outcome -> toResult(attempt, token, outcome));
    }

    private StateClient.Txn transaction(Attempt attempt, FencingToken token) {
        return new StateClient.Txn()
                .when(RecordKeys.LEADER, attempt.keyRevision)
                .when(RecordKeys.COUNTER, attempt.counterRevision)
                .put(RecordKeys.LEADER, LeaderKey.write(candidate.node(), candidate.process(), token), attempt.leaseId)
                .put(
                        RecordKeys.COUNTER,
                        attempt.counter
                                .forNextLeadership(token, dataFormat.highest())
                                .write());
    }

    private void campaignFailed(Throwable failure, FencingToken token, FencingToken highestBefore) {
        if (StateClient.wasNotExecuted(failure)) {
            tokens.release(token);
        } else {
            tokenHistory.recordUnansweredCampaign(token, highestBefore);
        }
    }

    private CampaignResult toResult(Attempt attempt, FencingToken token, StateClient.Outcome outcome) {
        if (!outcome.executed()) {
            tokens.release(token);
            return new CampaignResult.Rejected();
        }
        return new CampaignResult.Won(
                new LeaderKey(candidate.node(), candidate.process(), token, outcome.writtenRevision()),
                attempt.leaseId,
                attempt.leaseSentAt,
                attempt.highestBefore,
                attempt.counter.highestToken(),
                attempt.counter.startBoundsReliable());
    }
}
