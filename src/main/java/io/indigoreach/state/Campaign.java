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
    private static final Span RETRY = Span.seconds(0.5);
    private static final Span RETRY_WHILE_BOUND = Span.seconds(0.1);

    private final StateClient state;
    private final SteadyClock clock;
    private final Candidate candidate;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    private final OwnTokens ownTokens;
    private final RaisedFormat raisedFormat;

    Campaign(ElectionSettings settings, OwnTokens ownTokens, RaisedFormat raisedFormat) {
        this.state = settings.state().client();
        this.clock = settings.clock();
        this.candidate = settings.candidate();
        this.leaseTime = settings.leaseTime();
        this.tokens = settings.tokens();
        this.ownTokens = ownTokens;
        this.raisedFormat = raisedFormat;
    }

    /**
     * Attempts once to gain leadership.
     *
     * @param held the revision of the leadership key that is to be replaced, or {@link Revision#ABSENT}
     * @param boundUnlessNew a pledge of a former process may bind this node, unless nobody has ever led
     */
    Future<CampaignResult> run(Revision held, boolean boundUnlessNew) {
        return state.get(RecordKeys.COUNTER).compose(entry -> attempt(held, entry, boundUnlessNew));
    }

    private Future<CampaignResult> attempt(Revision held, StateClient.Entry counterEntry, boolean boundUnlessNew) {
        // Fails before anything is written if the counter is of a later version of the program.
        CounterRecord counter = CounterRecord.of(counterEntry);
        raisedFormat.seen(counter);
        FencingToken counted = counter.highest();
        ownTokens.counterRead(counted);
        if (boundUnlessNew && counterEntry != null) {
            return notAttempted(RETRY_WHILE_BOUND);
        }
        Revision counterRevision = StateClient.revisionOf(counterEntry);
        if (tokens.isCounterBehind(counted) && !ownTokens.mayCampaignAfterRegression()) {
            return confirmRegression(counterRevision);
        }
        // Who led between this node's last leadership and now may have let its key go before this node ever read
        // it: the counter knows. Else what this node remembers as open would count as the newest there is.
        tokens.observe(counted);
        FencingToken highestBefore = tokens.highestKnown();
        Moment leaseSentAt = clock.now();
        return state.grant(leaseTime)
                .compose(lease ->
                        takeKey(new Attempt(held, counter, counterRevision, highestBefore, leaseSentAt, lease)));
    }

    private Future<CampaignResult> notAttempted(Span retryAfter) {
        return Future.succeededFuture(new CampaignResult.NotAttempted(retryAfter));
    }

    /** A read may be stale; then nothing is lost. */
    private Future<CampaignResult> confirmRegression(Revision counterRevision) {
        return state.confirm(new StateClient.Txn().when(RecordKeys.COUNTER, counterRevision))
                .map(confirmed -> {
                    if (!confirmed) {
                        ownTokens.regressionRefuted();
                    }
                    return new CampaignResult.NotAttempted(RETRY);
                });
    }

    /** What a compare-and-swap for the key is based on. */
    private record Attempt(
            Revision held,
            CounterRecord counter,
            Revision counterRevision,
            FencingToken highestBefore,
            Moment leaseSentAt,
            long lease) {}

    private Future<CampaignResult> takeKey(Attempt attempt) {
        FencingToken token = tokens.next(attempt.counter.highest(), clock.timeOfDay());
        return state.commit(transaction(attempt, token))
                .onFailure(failure -> campaignFailed(failure, token, attempt.highestBefore))
                .map(outcome -> result(attempt, token, outcome));
    }

    private StateClient.Txn transaction(Attempt attempt, FencingToken token) {
        return new StateClient.Txn()
                .when(RecordKeys.LEADER, attempt.held)
                .when(RecordKeys.COUNTER, attempt.counterRevision)
                .put(RecordKeys.LEADER, LeaderKey.write(candidate.node(), candidate.process(), token), attempt.lease)
                .put(
                        RecordKeys.COUNTER,
                        attempt.counter.next(token, raisedFormat.highest()).write());
    }

    private void campaignFailed(Throwable failure, FencingToken token, FencingToken highestBefore) {
        if (StateClient.surelyNotExecuted(failure)) {
            tokens.release(token);
        } else {
            ownTokens.campaignUnanswered(token, highestBefore);
        }
    }

    private CampaignResult result(Attempt attempt, FencingToken token, StateClient.Outcome outcome) {
        if (!outcome.done()) {
            tokens.release(token);
            return new CampaignResult.Rejected();
        }
        return new CampaignResult.Won(
                new LeaderKey(candidate.node(), candidate.process(), token, outcome.writtenRevision()),
                attempt.lease,
                attempt.leaseSentAt,
                attempt.highestBefore,
                attempt.counter.highest(),
                attempt.counter.startBounds());
    }
}
