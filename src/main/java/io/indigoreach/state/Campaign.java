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
     * @param held the revision of the leadership key that the attempt replaces, or {@link Revision#ABSENT}
     * @param boundUnlessNew whether a pledge given by the previous process of this node may still be in force; it is ignored in
     *     a new deployment, which has no token counter yet
     */
    Future<CampaignResult> run(Revision held, boolean boundUnlessNew) {
        return state.get(RecordKeys.COUNTER).compose(entry -> attempt(held, entry, boundUnlessNew));
    }

    private Future<CampaignResult> attempt(Revision held, StateClient.Entry counterEntry, boolean boundUnlessNew) {
        // Fails before anything is written if a later version of the program wrote the counter.
        CounterRecord counter = CounterRecord.of(counterEntry);
        raisedFormat.seen(counter);
        FencingToken counted = counter.highest();
        ownTokens.counterRead(counted);
        if (boundUnlessNew && counterEntry != null) {
            return notAttempted(RETRY_WHILE_BOUND);
        }
        Revision counterRevision = StateClient.revisionOf(counterEntry);
        if (tokens.isBehind(counted) && !ownTokens.mayCampaignAfterRegression()) {
            return confirmRegression(counterRevision);
        }
        // Another node may have led and resigned before this node read its key. Only the counter shows that
        // leadership; without it, this node would take its own cached jobs for the latest state.
        tokens.seen(counted);
        FencingToken highestBefore = tokens.highest();
        Moment leaseSentAt = clock.now();
        return state.grant(leaseTime)
                .compose(lease ->
                        takeKey(new Attempt(held, counter, counterRevision, highestBefore, leaseSentAt, lease)));
    }

    private Future<CampaignResult> notAttempted(Span retryAfter) {
        return Future.succeededFuture(new CampaignResult.NotAttempted(retryAfter));
    }

    /** Checks by a comparison that the counter really regressed: the read may have been stale. */
    private Future<CampaignResult> confirmRegression(Revision counterRevision) {
        return state.confirm(new StateClient.Txn().when(RecordKeys.COUNTER, counterRevision))
                .map(confirmed -> {
                    if (!confirmed) {
                        ownTokens.regressionRefuted();
                    }
                    return new CampaignResult.NotAttempted(RETRY);
                });
    }

    /** The state that one compare-and-swap on the leadership key is based on. */
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
            tokens.unused(token);
        } else {
            ownTokens.campaignUnanswered(token, highestBefore);
        }
    }

    private CampaignResult result(Attempt attempt, FencingToken token, StateClient.Outcome outcome) {
        if (!outcome.done()) {
            tokens.unused(token);
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
