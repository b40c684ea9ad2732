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
 * Takes and keeps leadership: a key attached to a lease. {@link Campaign} gains the key, {@link LeaseRenewer} renews the lease,
 * {@link LeadershipValidity} says until when this node may act as the leader, {@link GivenPledges} when it may not campaign, and
 * {@link OwnTokens} whether another has led since.
 *
 * <p>A key that is removed without its lease having ended, as by a loss of data, lets another node in too soon. So the
 * leader watches its own key; and where the counter shows a loss, a node that did not lead waits for a whole lease, while
 * the one that led may take the key again at once, as long as its lease's time would have lasted.
 *
 * <p>Bound to the node's event loop: every method is called on it.
 */
public final class LeaderElection {
    /** Notified of changes, on the event loop. */
    public interface Listener {
        /**
         * This node leads from now on.
         *
         * @param token the fencing token of this leadership
         * @param key the revision of the leadership key, on which every write depends
         * @param bounds whether the start bounds in the records can be believed
         */
        void leadershipGained(FencingToken token, Revision key, boolean bounds);

        /** This node does not lead any more, for the reason that is logged. */
        void leadershipLost(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final Span RETRY = Span.seconds(0.5);
    private static final Span RETRY_AFTER_REJECTION = Span.seconds(0.2);
    /** What the other nodes are given to take a key that was let go. */
    private static final Span CANDIDATE_DELAY = Span.seconds(0.6);

    private static final Span PLEDGE_PERIOD = Span.seconds(0.5);
    /** The longest that a leader's watch of its own key stays open. */
    private static final Span OWN_KEY_WATCH = Span.seconds(2);
    /** The longest that a follower's watch of the key stays open. */
    private static final Span FOLLOWER_WATCH = Span.seconds(10);
    /** No revision to watch from: the key is to be read first. */
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
    private final OwnTokens ownTokens;
    private final Campaign campaign;
    private final RaisedFormat raisedFormat = new RaisedFormat();

    private Supplier<Future<Boolean>> askForPledges = () -> Future.succeededFuture(false);
    private boolean predecessorKeyRemoved;
    private LeaderKey current;
    private long watchedRevision = NOT_WATCHED;
    private boolean leading;
    private long lease;
    private boolean campaigning;
    private Moment standAsideUntil = Moment.NEVER;
    private boolean succeedsItself;

    /** Does nothing before {@link #start}. */
    public LeaderElection(ElectionSettings settings, Listener listener) {
        this.settings = settings;
        this.state = settings.state().client();
        this.clock = settings.clock();
        this.candidate = settings.candidate();
        this.listener = listener;
        Vertx vertx = settings.state().vertx();
        this.electionTask = new PeriodicTask(vertx, "leadership", RETRY, this::step);
        this.pledgeTask = new PeriodicTask(vertx, "pledges", PLEDGE_PERIOD, this::collectPledges);
        this.renewer = new LeaseRenewer(vertx, settings.renewals(), clock, settings.leaseTime());
        this.validity = new LeadershipValidity(clock, renewer, settings.leaseTime());
        this.givenPledges = new GivenPledges(clock, candidate.hasPeers());
        this.ownTokens = new OwnTokens(clock, settings.leaseTime(), settings.tokens());
        this.campaign = new Campaign(settings, ownTokens, raisedFormat);
    }

    /** Takes part in elections from now on. */
    public void start() {
        electionTask.start();
        pledgeTask.start();
    }

    /** Takes part no more; a lease that is held runs out by itself. */
    public void stop() {
        electionTask.cancel();
        pledgeTask.cancel();
        renewer.close();
    }

    /** How to ask all peers: for a pledge, and whether it does not lead; true if all have answered so. */
    public void askPeersBy(Supplier<Future<Boolean>> forPledges, Supplier<Future<Boolean>> whetherNobodyLeads) {
        askForPledges = forPledges;
        givenPledges.askPeersBy(whetherNobodyLeads);
    }

    /** Whether this node may act as the leader at this very moment. */
    public boolean isValid() {
        return leading && validity.holds();
    }

    /** Promises a leader not to campaign for {@link GivenPledges#PLEDGE_TIME}; false if this node leads or may be about to. */
    public boolean pledge() {
        if (leading || campaigning) {
            return false;
        }
        givenPledges.give();
        return true;
    }

    /** Whether this node has the leadership key, as far as it knows. */
    public boolean isLeading() {
        return leading;
    }

    /** The data format that this process has seen raised. */
    RaisedFormat raisedFormat() {
        return raisedFormat;
    }

    /** The node that leads as far as is known, or null. */
    public String leader() {
        return current == null ? null : current.node();
    }

    /** No other leadership is known between the one that this node has and the last one that it had. */
    public boolean succeedsItself() {
        return succeedsItself;
    }

    /** A worker has shown a token: what comes after must be above it. */
    public void tokenSeen(FencingToken token) {
        settings.tokens().observe(token);
    }

    /** A compare-and-swap failed on the leadership key: another node has taken over. */
    public void deposed() {
        if (leading) {
            loseLeadership("transaction-refused");
        }
    }

    /** Gives leadership up, so that another node can take it at once. */
    public Future<Void> abdicate(String reason) {
        if (!leading) {
            return Future.succeededFuture();
        }
        long held = lease;
        standAsideUntil = clock.now().plus(settings.leaseTime());
        loseLeadership(reason);
        return state.drop(held);
    }

    /**
     * Gives leadership up for a node that cannot reach the state service itself: the revision of its key, which another
     * node may now {@link #removeKey}; null if this node does not lead.
     */
    public Revision stepAside(String reason) {
        if (!leading) {
            return null;
        }
        Revision key = current.revision();
        abdicate(reason);
        return key;
    }

    /** Records for later leaders that start bounds can be believed again; whether the counter says so now. */
    public Future<Boolean> confirmStartBounds() {
        if (!leading) {
            return Future.succeededFuture(false);
        }
        LeaderKey key = current;
        return state.get(RecordKeys.COUNTER)
                .compose(entry -> state.commit(startBoundsConfirmation(key, entry)))
                .map(StateClient.Outcome::done);
    }

    private StateClient.Txn startBoundsConfirmation(LeaderKey key, StateClient.Entry counterEntry) {
        CounterRecord confirmed = CounterRecord.of(counterEntry).withStartBounds(key.token(), raisedFormat.highest());
        // The counter's revision too: carried out late, after the data format was raised, it would lower it.
        return new StateClient.Txn()
                .when(RecordKeys.LEADER, key.revision())
                .when(RecordKeys.COUNTER, StateClient.revisionOf(counterEntry))
                .put(RecordKeys.COUNTER, confirmed.write());
    }

    /**
     * Removes the key of a leader that has given up and cannot remove it itself. A request that comes late does no harm:
     * the key of a later leadership has another revision.
     */
    public Future<Void> removeKey(Revision key) {
        return state.commit(new StateClient.Txn().when(RecordKeys.LEADER, key).delete(RecordKeys.LEADER))
                .mapEmpty();
    }

    /**
     * Removes the key of a predecessor of this process, before anything else is done: a node that is warmed up can then
     * lead at once. Done later, it competes for the processor with hundreds of workers looking for a leader. True if nobody
     * leads in a deployment where somebody has led, as far as {@code leads} shows, which is asked about the node that the key
     * names: a leader that ended lately may have left its key. Never fails.
     */
    public Future<Boolean> clearPredecessor(Function<String, Future<Boolean>> leads) {
        return Future.all(state.get(RecordKeys.LEADER), state.get(RecordKeys.COUNTER))
                .compose(entries -> {
                    observeKey(entries.resultAt(0));
                    return isLeaderless(entries.resultAt(1) != null, leads);
                })
                .otherwise(false);
    }

    private Future<Boolean> isLeaderless(boolean somebodyHasLed, Function<String, Future<Boolean>> leads) {
        if (!candidate.hasPeers()) {
            return Future.succeededFuture(false);
        }
        if (current == null) {
            return Future.succeededFuture(somebodyHasLed);
        }
        return isOwn(current)
                ? removePredecessorKey().map(true)
                : leads.apply(current.node()).map(stillLeads -> !stillLeads);
    }

    /** The revision of the key by which somebody leads as far as is known; {@link Revision#ABSENT} if nobody does. */
    public Revision leadershipRevision() {
        return current == null ? Revision.ABSENT : current.revision();
    }

    private boolean isOwn(LeaderKey key) {
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
        // A key of this very node is that of a predecessor, which has ended, or comes from an attempt of this
        // process whose answer was lost: nobody acts under it, so its lease need not be waited for.
        if (current != null && isOwn(current) && !predecessorKeyRemoved && candidate.hasPeers()) {
            return removePredecessorKey();
        }
        if (current == null || isOwn(current)) {
            return clock.now().isBefore(standAsideUntil) ? Future.succeededFuture(RETRY) : campaign();
        }
        watchedRevision = entry.revision().value();
        return Future.succeededFuture(Span.ZERO);
    }

    /** Waits for a change of the key by which another node leads. */
    private Future<Span> watchLeader() {
        return state.watch(RecordKeys.LEADER, watchedRevision, FOLLOWER_WATCH)
                .onFailure(failure -> watchedRevision = NOT_WATCHED)
                .map(changes -> {
                    boolean changed = changes.changes().stream()
                            .anyMatch(change -> change.key().equals(RecordKeys.LEADER));
                    watchedRevision = changes.tooOld() || changed ? NOT_WATCHED : changes.revision();
                    return Span.ZERO;
                });
    }

    private void observeKey(StateClient.Entry entry) {
        current = entry == null ? null : LeaderKey.read(entry.value(), entry.revision());
        if (current != null) {
            settings.tokens().observe(current.token());
        }
    }

    /** Watches the key that this node leads by: once it is gone or another's, what was read under it does not hold. */
    private Future<Span> watchOwnKey() {
        Revision own = current.revision();
        return state.watch(RecordKeys.LEADER, own.value(), OWN_KEY_WATCH).map(changes -> {
            boolean changed = changes.changes().stream()
                    .anyMatch(change -> change.key().equals(RecordKeys.LEADER)
                            && !change.revision().equals(own));
            if (leading && current.revision().equals(own) && changed) {
                loseLeadership("key-replaced");
            }
            return Span.ZERO;
        });
    }

    /**
     * This process has just started and its predecessor led. A node that has been up all along leads sooner and better
     * than one that is still warming up, so the key is removed, and taken only if nobody else does.
     */
    private Future<Span> removePredecessorKey() {
        predecessorKeyRemoved = true;
        LOG.info("predecessor key removed");
        Revision key = current.revision();
        current = null;
        return removeKey(key).map(CANDIDATE_DELAY);
    }

    private Future<Span> campaign() {
        if (givenPledges.isBound()) {
            return Future.succeededFuture(RETRY);
        }
        campaigning = true;
        return givenPledges
                .mayBindPredecessor()
                .compose(bound -> campaign.run(leadershipRevision(), bound))
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
            return RETRY_AFTER_REJECTION;
        }
        succeedsItself = ownTokens.isLast(won.highestBefore());
        state.compareCounter(won.highestBefore(), won.counted());
        becomeLeader(won);
        return RETRY;
    }

    private void becomeLeader(CampaignResult.Won won) {
        FencingToken token = won.key().token();
        lease = won.lease();
        leading = true;
        ownTokens.gained(token);
        current = won.key();
        validity.forgetPledges();
        renewer.renew(won.lease(), won.leaseSentAt(), () -> loseLeadership("lease-expired"));
        LOG.info("leadership gained token={}", token);
        listener.leadershipGained(token, won.key().revision(), won.startBounds());
    }

    /** While renewals stay without an answer, the peers are asked to bridge what is probably an outage. */
    private Future<Span> collectPledges() {
        renewer.eventLoopTurned();
        Moment askedAt = clock.now();
        if (!isValid() || !validity.isRenewalOverdue(askedAt)) {
            return Future.succeededFuture(PLEDGE_PERIOD);
        }
        Revision key = current.revision();
        return askForPledges.get().map(allPledged -> {
            // Never after a gap: another may have led in it, and ended.
            if (allPledged && isValid() && current.revision().equals(key)) {
                validity.extendByPledges(askedAt);
            }
            return PLEDGE_PERIOD;
        });
    }

    private void loseLeadership(String reason) {
        leading = false;
        ownTokens.lost(validity.leaseValidUntil());
        renewer.stopRenewing();
        validity.forgetPledges();
        watchedRevision = NOT_WATCHED;
        current = null;
        LOG.info("leadership lost reason={}", reason);
        listener.leadershipLost(reason);
    }
}
