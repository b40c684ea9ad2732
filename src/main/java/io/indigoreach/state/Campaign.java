package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;

/**
 * One attempt after another to gain leadership: a compare-and-swap that writes the leadership key, attached to a new lease,
 * and raises the counter of tokens. Bound to the node's event loop.
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
     * @param held the revision of the leadership key that is to be replaced, or {@link Revision#ABSENT}
     * @param boundUnlessNew a pledge of a former process may bind this node, unless nobody has ever led
     */
    Future<CampaignResult> run(Revision keyRevision, boolean mayBeBound) {
        return state.get(RecordKeys.COUNTER).compose(entry -> attempt(keyRevision, entry, mayBeBound));
    }

    private Future<CampaignResult> attempt(Revision keyRevision, StateClient.Entry counterEntry, boolean mayBeBound) {
        // Fails before anything is written if the counter is of a later version of the program.
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
        // Who led between this node's last leadership and now may have let its key go before this node ever read
        // it: the counter knows. Else what this node remembers as open would count as the newest there is.
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

    /** A read may be stale; then nothing is lost. */
    private Future<CampaignResult> confirmRegression(Revision counterRevision) {
        return state.confirm(new StateClient.Txn().when(RecordKeys.COUNTER, counterRevision))
                .map(confirmed -> {
                    if (!confirmed) {
                        tokenHistory.clearRegression();
                    }
                    return new CampaignResult.NotAttempted(RETRY_INTERVAL);
                });
    }

    /** What a compare-and-swap for the key is based on. */
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
