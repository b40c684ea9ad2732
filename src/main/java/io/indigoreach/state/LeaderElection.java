package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election. The leader holds a key that is attached to a lease. {@link Campaign} gains the key, {@link LeaseRenewer}
 * renews the lease, {@link LeadershipValidity} determines until when this node may act as the leader, {@link GivenPledges} when
 * it must not campaign, and {@link OwnTokenHistory} whether another node has led since.
 *
 * <p>If a loss of data removes the key before its lease has expired, another node could gain leadership too early. Therefore the
 * leader watches its own key. If the token counter shows a loss, a node that was not the leader waits for a full lease time,
 * while the former leader may campaign at once until its lease would have expired.
 *
 * <p>Bound to the node's event loop: callers call every method on it.
 */
public final class LeaderElection {
    /** Receives changes of this node's leadership, on the event loop. */
    public interface Listener {
        /**
         * Called when this node has gained leadership.
         *
         * @param token the fencing token of this leadership
         * @param key the revision of the leadership key, on which every write depends
         * @param startBoundsReliable whether the start bounds in the job records are reliable
         */
        void leadershipGained(FencingToken token, Revision key, boolean startBoundsReliable);

        /** Called when this node has lost leadership; {@code reason} is the one in the log. */
        void leadershipLost(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final Span RETRY_INTERVAL = Span.seconds(0.5);
    private static final Span RETRY_INTERVAL_AFTER_REJECTION = Span.seconds(0.2);
    /** How long this node waits after it has removed its predecessor's key, so that other nodes can campaign first. */
    private static final Span PEER_CAMPAIGN_TIME = Span.seconds(0.6);

    private static final Span PLEDGE_REQUEST_INTERVAL = Span.seconds(0.5);
    /** The maximum duration of one watch request of the leader on its own key. */
    private static final Span OWN_KEY_WATCH_TIME = Span.seconds(2);
    /** The maximum duration of one watch request of a follower on the leadership key. */
    private static final Span FOLLOWER_WATCH_TIME = Span.seconds(10);
    /** Marks that there is no revision to start a watch from; the next step then reads the key first. */
    private static final long NOT_WATCHED = -1;

    private final StateClient state;
    private final SteadyClock clock;
    private final Candidate candidate;
    private final ElectionSettings settings;
    private final Listener listener;
    private final PeriodicTask electionTask;
    private final PeriodicTask pledgeTask;
    private final LeaseRenewer renewer;
    private final LeadershipValidity validity;
    private final GivenPledges givenPledges;
    private final OwnTokenHistory tokenHistory;
    private final Campaign campaign;
    private final DataFormatTracker dataFormat = new DataFormatTracker();

    private Supplier<Future<Boolean>> requestPledges = () -> Future.succeededFuture(false);
    private boolean predecessorKeyRemoved;
    private LeaderKey currentKey;
    private long watchedRevision = NOT_WATCHED;
    private boolean leading;
    private long leaseId;
    private boolean campaigning;
    private Moment campaignBlockedUntil = Moment.NEVER;
    private boolean ledPreviousTerm;

    /** Creates the election; it does nothing before {@link #start}. */
    public LeaderElection(ElectionSettings settings, Listener listener) {
        this.settings = settings;
        this.state = settings.state().client();
        this.clock = settings.clock();
        this.candidate = settings.candidate();
        this.listener = listener;
        Vertx vertx = settings.state().vertx();
        this.electionTask = new PeriodicTask(vertx, "leadership", RETRY_INTERVAL, this::step);
        this.pledgeTask = new PeriodicTask(vertx, "pledges", PLEDGE_REQUEST_INTERVAL, this::requestPledgesIfOverdue);
        this.renewer = new LeaseRenewer(vertx, settings.renewals(), clock, settings.leaseTime());
        this.validity = new LeadershipValidity(clock, renewer, settings.leaseTime());
        this.givenPledges = new GivenPledges(clock, candidate.hasPeers());
        this.tokenHistory = new OwnTokenHistory(clock, settings.leaseTime(), settings.tokens());
        this.campaign = new Campaign(settings, tokenHistory, dataFormat);
    }

    /** Takes part in elections from now on. */
    public void start() {
        electionTask.start();
        pledgeTask.start();
    }

    /** Stops taking part in elections; a held lease is not revoked and expires on its own. */
    public void stop() {
        electionTask.cancel();
        pledgeTask.cancel();
        renewer.close();
    }

    /**
     * Sets the queries to all peers. {@code pledgeQuery} requests a pledge from each; {@code leaderlessQuery} queries whether
     * each of them does not lead. Both return true only if every peer has confirmed.
     */
    public void setPeerQueries(Supplier<Future<Boolean>> pledgeQuery, Supplier<Future<Boolean>> leaderlessQuery) {
        requestPledges = pledgeQuery;
        givenPledges.setLeaderlessQuery(leaderlessQuery);
    }

    /** Whether this node may act as the leader now. */
    public boolean isValid() {
        return leading && validity.isValid();
    }

    /** Pledges not to campaign for {@link GivenPledges#PLEDGE_DURATION}; false if this node leads or has a campaign in progress. */
    public boolean pledge() {
        if (leading || campaigning) {
            return false;
        }
        givenPledges.give();
        return true;
    }

    /** Whether this node holds the leadership key as far as it knows, even if its lease may have expired. */
    public boolean isLeading() {
        return leading;
    }

    /** Tracks the highest data format that this process has read from the token counter or written to it. */
    DataFormatTracker dataFormat() {
        return dataFormat;
    }

    /** The node named by the last leadership key that this node has seen; null if there is none. */
    public String leaderNode() {
        return currentKey == null ? null : currentKey.node();
    }

    /** Whether no other node is known to have led between this node's current leadership and its previous one. */
    public boolean ledPreviousTerm() {
        return ledPreviousTerm;
    }

    /** Records a token that a worker has reported; later tokens are higher. */
    public void recordSeenToken(FencingToken token) {
        settings.tokens().observe(token);
    }

    /** Ends this node's leadership after a compare-and-swap has failed on the leadership key. */
    public void onLeadershipConflict() {
        if (leading) {
            loseLeadership("transaction-refused");
        }
    }

    /** Gives up leadership and revokes the lease, so that another node can gain leadership at once. */
    public Future<Void> resign(String reason) {
        if (!leading) {
            return Future.succeededFuture();
        }
        long heldLeaseId = leaseId;
        campaignBlockedUntil = clock.now().plus(settings.leaseTime());
        loseLeadership(reason);
        return state.revokeLease(heldLeaseId);
    }

    /**
     * Gives up leadership when this node cannot reach the state service. Returns the revision of its key, which another node may
     * now pass to {@link #removeKey}, or null if this node does not lead.
     */
    public Revision handOver(String reason) {
        if (!leading) {
            return null;
        }
        Revision key = currentKey.revision();
        resign(reason);
        return key;
    }

    /** Records in the counter that start bounds are reliable again; returns whether the write was committed. */
    public Future<Boolean> confirmStartBounds() {
        if (!leading) {
            return Future.succeededFuture(false);
        }
        LeaderKey key = currentKey;
        return state.get(RecordKeys.COUNTER)
                .compose(entry -> state.commit(startBoundsConfirmation(key, entry)))
                .map(StateClient.Outcome::executed);
    }

    private StateClient.Txn startBoundsConfirmation(LeaderKey key, StateClient.Entry counterEntry) {
        CounterRecord confirmed =
                CounterRecord.fromEntry(counterEntry).withStartBounds(key.token(), dataFormat.highest());
        // Also conditional on the counter's revision: a delayed execution after the data format was raised would
        // lower the format.
        return new StateClient.Txn()
                .when(RecordKeys.LEADER, key.revision())
                .when(RecordKeys.COUNTER, StateClient.revisionOf(counterEntry))
                .put(RecordKeys.COUNTER, confirmed.write());
    }

    /**
     * Removes the key of a leader that has resigned and cannot remove it itself. A late request does not affect a later
     * leadership, whose key has another revision.
     */
    public Future<Void> removeKey(Revision key) {
        return state.commit(new StateClient.Txn().when(RecordKeys.LEADER, key).delete(RecordKeys.LEADER))
                .mapEmpty();
    }

    /**
     * Removes the key that the previous process of this node has left, as the first step of the start, so that a peer that is
     * already warmed up can lead at once. Later, the request would compete for the CPU with hundreds of workers that are looking
     * for a leader.
     *
     * <p>Returns whether the deployment had a leader before and has none now. {@code leadingQuery} queries whether the node named in the
     * key still leads, as a process that has ended may have left its key. Never fails.
     */
    public Future<Boolean> clearPredecessorKey(Function<String, Future<Boolean>> leadingQuery) {
        return Future.all(state.get(RecordKeys.LEADER), state.get(RecordKeys.COUNTER))
                .compose(entries -> {
                    observeKey(entries.resultAt(0));
                    return isLeaderless(entries.resultAt(1) != null, leadingQuery);
                })
                .otherwise(false);
    }

    private Future<Boolean> isLeaderless(boolean hasHadLeader, Function<String, Future<Boolean>> leadingQuery) {
        if (!candidate.hasPeers()) {
            return Future.succeededFuture(false);
        }
        if (currentKey == null) {
            return Future.succeededFuture(hasHadLeader);
        }
        return isOwnKey(currentKey)
                ? removePredecessorKey().map(true)
                : leadingQuery.apply(currentKey.node()).map(stillLeads -> !stillLeads);
    }

    /** The revision of the last leadership key that this node has seen; {@link Revision#ABSENT} if there is none. */
    public Revision leadershipRevision() {
        return currentKey == null ? Revision.ABSENT : currentKey.revision();
    }

    private boolean isOwnKey(LeaderKey key) {
        return key.node().equals(candidate.node());
    }

    private Future<Span> step() {
        if (leading) {
            return watchOwnKey();
        }
        return watchedRevision < 0 ? state.get(RecordKeys.LEADER).compose(this::followOrCampaign) : watchLeader();
    }

    private Future<Span> followOrCampaign(StateClient.Entry entry) {
        observeKey(entry);
        // A key of this node was written by its previous process, which has ended, or by a campaign of this
        // process whose response was lost. No process acts under it, so this node need not wait for its lease.
        if (currentKey != null && isOwnKey(currentKey) && !predecessorKeyRemoved && candidate.hasPeers()) {
            return removePredecessorKey();
        }
        if (currentKey == null || isOwnKey(currentKey)) {
            return clock.now().isBefore(campaignBlockedUntil) ? Future.succeededFuture(RETRY_INTERVAL) : campaign();
        }
        watchedRevision = entry.revision().value();
        return Future.succeededFuture(Span.ZERO);
    }

    /** Waits for a change of another node's leadership key. */
    private Future<Span> watchLeader() {
        return state.watch(RecordKeys.LEADER, watchedRevision, FOLLOWER_WATCH_TIME)
                .onFailure(failure -> watchedRevision = NOT_WATCHED)
                .map(changes -> {
                    boolean changed = changes.changes().stream()
                            .anyMatch(change -> change.key().equals(RecordKeys.LEADER));
                    watchedRevision = changes.compacted() || changed ? NOT_WATCHED : changes.revision();
                    return Span.ZERO;
                });
    }

    private void observeKey(StateClient.Entry entry) {
        currentKey = entry == null ? null : LeaderKey.read(entry.value(), entry.revision());
        if (currentKey != null) {
            settings.tokens().observe(currentKey.token());
        }
    }

    /** Watches this node's leadership key; if the key is deleted or replaced, this node has lost leadership. */
    private Future<Span> watchOwnKey() {
        Revision ownRevision = currentKey.revision();
        return state.watch(RecordKeys.LEADER, ownRevision.value(), OWN_KEY_WATCH_TIME)
                .map(changes -> {
                    boolean changed = changes.changes().stream()
                            .anyMatch(change -> change.key().equals(RecordKeys.LEADER)
                                    && !change.revision().equals(ownRevision));
                    if (leading && currentKey.revision().equals(ownRevision) && changed) {
                        loseLeadership("key-replaced");
                    }
                    return Span.ZERO;
                });
    }

    /**
     * Removes the key of this node's previous process. A peer that has been running can take over sooner than a node that is
     * still warming up, so this node campaigns only after {@link #PEER_CAMPAIGN_TIME}.
     */
    private Future<Span> removePredecessorKey() {
        predecessorKeyRemoved = true;
        LOG.info("predecessor key removed");
        Revision key = currentKey.revision();
        currentKey = null;
        return removeKey(key).map(PEER_CAMPAIGN_TIME);
    }

    private Future<Span> campaign() {
        if (givenPledges.isBound()) {
            return Future.succeededFuture(RETRY_INTERVAL);
        }
        campaigning = true;
        return givenPledges
                .mayPredecessorBeBound()
                .compose(predecessorMayBeBound -> campaign.run(leadershipRevision(), predecessorMayBeBound))
                .map(this::concludeCampaign)
                .onComplete(done -> campaigning = false);
    }

    private Span concludeCampaign(CampaignResult result) {
        if (result instanceof CampaignResult.NotAttempted notAttempted) {
            return notAttempted.retryAfter();
        }
        watchedRevision = NOT_WATCHED;
        predecessorKeyRemoved = true;
        if (!(result instanceof CampaignResult.Won won)) {
            return RETRY_INTERVAL_AFTER_REJECTION;
        }
        ledPreviousTerm = tokenHistory.wasLastLeader(won.highestBefore());
        state.compareCounter(won.highestBefore(), won.counterToken());
        becomeLeader(won);
        return RETRY_INTERVAL;
    }

    private void becomeLeader(CampaignResult.Won won) {
        FencingToken token = won.key().token();
        leaseId = won.leaseId();
        leading = true;
        tokenHistory.leadershipGained(token);
        currentKey = won.key();
        validity.clearPledges();
        renewer.startRenewing(won.leaseId(), won.leaseSentAt(), () -> loseLeadership("lease-expired"));
        LOG.info("leadership gained token={}", token);
        listener.leadershipGained(token, won.key().revision(), won.startBoundsReliable());
    }

    /** Requests pledges from all peers while lease renewals are overdue, to bridge a probable outage of the state service. */
    private Future<Span> requestPledgesIfOverdue() {
        renewer.recordEventLoopTurn();
        Moment requestedAt = clock.now();
        if (!isValid() || !validity.isRenewalOverdue(requestedAt)) {
            return Future.succeededFuture(PLEDGE_REQUEST_INTERVAL);
        }
        Revision key = currentKey.revision();
        return requestPledges.get().map(allPledged -> {
            // Not after a gap in validity: another node may have led and ended during the gap.
            if (allPledged && isValid() && currentKey.revision().equals(key)) {
                validity.extendByPledges(requestedAt);
            }
            return PLEDGE_REQUEST_INTERVAL;
        });
    }

    private void loseLeadership(String reason) {
        leading = false;
        tokenHistory.leadershipLost(validity.leaseValidUntil());
        renewer.stopRenewing();
        validity.clearPledges();
        watchedRevision = NOT_WATCHED;
        currentKey = null;
        LOG.info("leadership lost reason={}", reason);
        listener.leadershipLost(reason);
    }
}
