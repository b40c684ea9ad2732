package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
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
 * Takes and keeps leadership: a key attached to a lease. The transaction that writes the key raises the counter that
 * becomes the token, by a clock that does not depend on what the counter was ({@link TokenGenerator}). The lease's time is
 * counted from when its renewal was sent, less drift, so this node stops before the state service can let another one in.
 * While the state service answers nobody, every other node's pledge not to lead stands in for renewals.
 *
 * <p>A key that is removed without its lease having ended, as by a loss of data, lets another node in too soon. So the
 * leader watches its own key; and where the counter shows a loss, a node that did not lead waits for a whole lease, while
 * the one that led may take the key again at once, as long as its lease's time would have lasted.
 */
public final class LeaderElection {
    /** Told of changes, on the event loop. */
    public interface Listener {
        /**
         * This node leads from now on; {@code key} is the version on which every write depends, {@code bounds} whether
         * the start bounds in the records can be believed.
         */
        void leadershipGained(FencingToken token, Revision key, boolean bounds);

        /** This node does not lead any more. */
        void leadershipLost(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final Span RETRY = Span.seconds(0.5);
    /** What the other nodes are given to take a key that was let go. */
    private static final Span CANDIDATE_DELAY = Span.seconds(0.6);
    /** For how long a pledge binds: some questions of {@link #PLEDGE_PERIOD} apart, and no longer than a process takes to start. */
    static final Span PLEDGE_TIME = Span.seconds(2);

    private static final Span PLEDGE_PERIOD = Span.seconds(0.5);
    /** Renewals that have not been answered for so long are reason to ask the others for pledges. */
    private static final Span RENEWAL_OVERDUE = Span.seconds(1.5);
    /** The longest that a leader's watch of its own key stays open. */
    private static final Span OWN_KEY_WATCH = Span.seconds(2);

    private final StateClient state;
    private final SteadyClock clock;
    private final String node;
    private final String process;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    private final Listener listener;
    private final PeriodicTask electionTask;
    private final PeriodicTask pledgeTask;
    private final LeaseRenewer renewer;
    private final Moment startedAt;
    private Supplier<Future<Boolean>> askForPledges = () -> Future.succeededFuture(false);
    private Supplier<Future<Boolean>> askWhetherNobodyLeads = () -> Future.succeededFuture(false);
    /** The process before this one may have pledged not to lead. */
    private boolean predecessorMayHavePledged;

    private final RaisedFormat raisedFormat = new RaisedFormat();
    private final int peers;
    private boolean predecessorKeyRemoved;
    private LeaderKey current;
    private long watchedRevision = -1;
    private boolean leading;
    private long lease;
    /** Until then every other node has pledged not to lead. */
    private Moment pledgedUntil = Moment.NEVER;
    /** Until then this node has pledged not to lead. */
    private Moment pledgeBindsUntil = Moment.NEVER;

    private boolean campaigning;
    private Moment standAsideUntil = Moment.NEVER;
    /** Until then nobody else may have led, as far as the time of this node's own last lease tells. */
    private Moment ledUntil = Moment.NEVER;

    private FencingToken lastOwnToken = FencingToken.NONE;
    /** A try without an answer, before which nobody else had led since {@link #lastOwnToken}; null if there was none. */
    private FencingToken unansweredToken;

    private Moment lossSeenAt = Moment.NEVER;
    private boolean succeedsItself;

    /** {@code own}: an event loop for renewals alone, and {@code renewals} the state service as it is called from there. */
    public LeaderElection(
            Vertx vertx,
            StateClient state,
            Vertx own,
            StateClient renewals,
            SteadyClock clock,
            String node,
            String process,
            int peers,
            Span leaseTime,
            TokenGenerator tokens,
            Listener listener) {
        this.state = state;
        this.clock = clock;
        this.node = node;
        this.process = process;
        this.peers = peers;
        this.leaseTime = leaseTime;
        this.tokens = tokens;
        this.listener = listener;
        this.electionTask = new PeriodicTask(vertx, "leadership", RETRY, this::step);
        this.pledgeTask = new PeriodicTask(vertx, "beat", PLEDGE_PERIOD, this::pledgeTask);
        this.renewer = new LeaseRenewer(vertx, own, renewals, clock, leaseTime);
        this.startedAt = clock.now();
        this.predecessorMayHavePledged = peers > 0;
    }

    public void start() {
        electionTask.start();
        pledgeTask.start();
    }

    public void stop() {
        electionTask.cancel();
        pledgeTask.cancel();
        renewer.close();
    }

    /** How to ask every other node: for a pledge, and whether it does not lead; true if all have answered so. */
    public void askPeersBy(Supplier<Future<Boolean>> forPledges, Supplier<Future<Boolean>> whetherUnled) {
        askForPledges = forPledges;
        askWhetherNobodyLeads = whetherUnled;
    }

    /** Whether this node may act as the leader at this very moment. */
    public boolean isValid() {
        Moment now = clock.now();
        return leading && (now.isBefore(validUntil()) || now.isBefore(pledgedUntil));
    }

    private Moment validUntil() {
        return renewer.renewedAt().plus(usableLeaseTime());
    }

    /** Pledges for {@link #PLEDGE_TIME} not to lead; not while this node leads or may be about to. */
    public boolean pledge() {
        if (leading || campaigning) {
            return false;
        }
        pledgeBindsUntil = clock.now().plus(PLEDGE_TIME);
        return true;
    }

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
        tokens.seen(token);
    }

    /** The conditional write failed on the leadership key: another node has taken over. */
    public void deposed() {
        if (leading) {
            loseLeadership("the leadership key or the data under it have changed");
        }
    }

    /** Gives leadership up, so that another node can take it at once. */
    public Future<Void> abdicate(String reason) {
        if (!leading) {
            return Future.succeededFuture();
        }
        long held = lease;
        standAsideUntil = clock.now().plus(leaseTime);
        loseLeadership(reason);
        return state.drop(held);
    }

    /**
     * Gives leadership up for a node that cannot reach the state service itself: the version of its key, which another
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

    /** Tells later leaders that start bounds can be believed again; whether that stands in the counter now. */
    public Future<Boolean> confirmStartBounds() {
        if (!leading) {
            return Future.succeededFuture(false);
        }
        Revision key = current.revision();
        FencingToken token = current.token();
        return state.get(RecordCodec.COUNTER).compose(entry -> {
            CounterRecord vouched = CounterRecord.of(entry).withStartBounds(token, raisedFormat.highest());
            // The counter's version too: carried out late, after the data format was raised, it would lower it.
            return state.commit(new StateClient.Txn()
                            .when(RecordCodec.LEADER, key)
                            .when(RecordCodec.COUNTER, StateClient.revisionOf(entry))
                            .put(RecordCodec.COUNTER, vouched.write()))
                    .map(StateClient.Outcome::done);
        });
    }

    /**
     * Removes the key of a leader that has given up and cannot say so itself. A request that comes late does no harm:
     * the key of a later leadership has another version.
     */
    public Future<Void> removeKey(Revision key) {
        return state.commit(new StateClient.Txn().when(RecordCodec.LEADER, key).delete(RecordCodec.LEADER))
                .mapEmpty();
    }

    /**
     * Removes the key of a predecessor of this process, before anything else is done: a node that is warmed up can then
     * lead at once. Done later, it competes for the processor with hundreds of workers looking for a leader. True if nobody
     * leads in a deployment where somebody has led, as far as {@code leads} tells, which is asked about the node that the key
     * names: a leader that ended lately may have left its key. Never fails.
     */
    public Future<Boolean> clearPredecessor(Function<String, Future<Boolean>> leads) {
        return Future.all(state.get(RecordCodec.LEADER), state.get(RecordCodec.COUNTER))
                .compose(read -> {
                    read(read.resultAt(0));
                    if (peers == 0) {
                        return Future.succeededFuture(false);
                    }
                    if (current == null) {
                        return Future.succeededFuture(read.resultAt(1) != null);
                    }
                    return current.node().equals(node)
                            ? removePredecessorKey().map(true)
                            : leads.apply(current.node()).map(is -> !is);
                })
                .otherwise(false);
    }

    /** The version of the key by which somebody leads as far as is known; {@link Revision#ABSENT} if nobody does. */
    public Revision leadershipRevision() {
        return current == null ? Revision.ABSENT : current.revision();
    }

    private Future<Span> step() {
        if (leading) {
            return watchOwnKey();
        }
        if (watchedRevision < 0) {
            return state.get(RecordCodec.LEADER).compose(entry -> {
                read(entry);
                // A key of this very node is that of a predecessor, which has ended, or comes from an attempt of this
                // process whose answer was lost: nobody acts under it, so its lease need not be waited for.
                if (current != null && current.node().equals(node) && !predecessorKeyRemoved && peers > 0) {
                    return removePredecessorKey();
                }
                if (current == null || current.node().equals(node)) {
                    return clock.now().isBefore(standAsideUntil) ? Future.succeededFuture(RETRY) : campaign();
                }
                watchedRevision = entry.revision().value();
                return Future.succeededFuture(Span.ZERO);
            });
        }
        return state.watch(RecordCodec.LEADER, watchedRevision, Span.seconds(10))
                .onFailure(e -> watchedRevision = -1)
                .map(changes -> {
                    watchedRevision = changes.tooOld() ? -1 : changes.revision();
                    for (StateClient.Change change : changes.changes()) {
                        if (change.key().equals(RecordCodec.LEADER)) {
                            watchedRevision = -1;
                        }
                    }
                    return Span.ZERO;
                });
    }

    private void read(StateClient.Entry entry) {
        current = entry == null ? null : LeaderKey.read(entry.value(), entry.revision());
        if (current != null) {
            tokens.seen(current.token());
        }
    }

    /** Watches the key that this node leads by: once it is gone or another's, what was read under it does not hold. */
    private Future<Span> watchOwnKey() {
        Revision own = current.revision();
        return state.watch(RecordCodec.LEADER, own.value(), OWN_KEY_WATCH).map(changes -> {
            boolean changed = changes.changes().stream()
                    .anyMatch(c ->
                            c.key().equals(RecordCodec.LEADER) && !c.revision().equals(own));
            if (leading && current.revision().equals(own) && changed) {
                loseLeadership("the leadership key was removed or replaced");
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
        LOG.info("removing the leadership key of the process before this one");
        Revision key = current.revision();
        current = null;
        return state.commit(new StateClient.Txn().when(RecordCodec.LEADER, key).delete(RecordCodec.LEADER))
                .map(CANDIDATE_DELAY);
    }

    private Future<Span> campaign() {
        if (clock.now().isBefore(pledgeBindsUntil)) {
            return Future.succeededFuture(RETRY);
        }
        campaigning = true;
        return campaignUnlessPledged().onComplete(done -> campaigning = false);
    }

    /**
     * What the process before this one may have pledged, it cannot know. It is not bound by it in a deployment that is new, once
     * the pledge is over, or if nobody leads to whom it was given: whoever leads from now on asks this process.
     */
    private Future<Span> campaignUnlessPledged() {
        predecessorMayHavePledged &= clock.now().isBefore(startedAt.plus(PLEDGE_TIME));
        return !predecessorMayHavePledged
                ? campaignUnlessPledged(false)
                : askWhetherNobodyLeads.get().compose(none -> {
                    predecessorMayHavePledged &= !none;
                    return campaignUnlessPledged(predecessorMayHavePledged);
                });
    }

    private Future<Span> campaignUnlessPledged(boolean boundUnlessNew) {
        Revision held = current == null ? Revision.ABSENT : current.revision();
        return state.get(RecordCodec.COUNTER).compose(entry -> {
            // Fails before anything is written if the counter is of a later version of the program.
            CounterRecord counter = CounterRecord.of(entry);
            raisedFormat.seen(counter);
            FencingToken counted = counter.highest();
            if (counted.equals(unansweredToken)) {
                // That try did take the key, and nobody has led since: no leadership of another's comes between.
                lastOwnToken = unansweredToken;
            }
            if (boundUnlessNew && entry != null) {
                return Future.succeededFuture(Span.seconds(0.1));
            }
            Revision counterRevision = StateClient.revisionOf(entry);
            if (tokens.isBehind(counted) && !mayLeadAfterLoss()) {
                return state.confirm(new StateClient.Txn().when(RecordCodec.COUNTER, counterRevision))
                        .map(is -> {
                            // A read may come from the past; then nothing is lost.
                            lossSeenAt = is ? lossSeenAt : Moment.NEVER;
                            return RETRY;
                        });
            }
            // Who led between this node's last leadership and now may have let its key go before this node ever read
            // it: the
            // counter knows. Else what this node remembers as open would count as the newest there is.
            tokens.seen(counted);
            FencingToken before = tokens.highest();
            Moment sent = clock.now();
            return state.grant(leaseTime).compose(granted -> {
                FencingToken token = tokens.next(counted, clock.timeOfDay());
                return state.commit(new StateClient.Txn()
                                .when(RecordCodec.LEADER, held)
                                .when(RecordCodec.COUNTER, counterRevision)
                                .put(RecordCodec.LEADER, LeaderKey.write(node, process, token), granted)
                                .put(
                                        RecordCodec.COUNTER,
                                        counter.next(token, raisedFormat.highest())
                                                .write()))
                        .onFailure(e -> {
                            if (StateClient.surelyNotExecuted(e)) {
                                tokens.unused(token);
                            } else if (before.equals(lastOwnToken)) {
                                unansweredToken = token;
                            }
                        })
                        .map(outcome -> {
                            watchedRevision = -1;
                            predecessorKeyRemoved = true;
                            if (outcome.done()) {
                                succeedsItself = before.equals(lastOwnToken);
                                state.compareCounter(before, counted);
                                becomeLeader(granted, token, outcome.writtenRevision(), sent, counter.startBounds());
                            } else {
                                tokens.unused(token);
                            }
                            return outcome.done() ? RETRY : Span.seconds(0.2);
                        });
            });
        });
    }

    /**
     * The counter is below a token that was in use: data were lost. Whoever led may not have noticed and go on until its
     * lease's time is over, unless it was this node.
     */
    private boolean mayLeadAfterLoss() {
        Moment now = clock.now();
        if (lossSeenAt.equals(Moment.NEVER)) {
            lossSeenAt = now;
            LOG.warn("the counter of tokens is gone or has gone back: data were lost");
        }
        boolean wasLeader = now.isBefore(ledUntil) && !tokens.hasSeenAfter(lastOwnToken);
        return wasLeader || now.since(lossSeenAt).compareTo(leaseTime.withDrift()) >= 0;
    }

    private void becomeLeader(long granted, FencingToken token, Revision revision, Moment sent, boolean bounds) {
        lease = granted;
        leading = true;
        lastOwnToken = token;
        tokens.seen(token);
        lossSeenAt = Moment.NEVER;
        current = new LeaderKey(node, process, token, revision);
        pledgedUntil = Moment.NEVER;
        renewer.renew(granted, sent, () -> loseLeadership("its lease has ended"));
        LOG.info("this node leads now, token {}", token);
        listener.leadershipGained(token, revision, bounds);
    }

    private Span usableLeaseTime() {
        return usableLeaseTime(leaseTime);
    }

    private static Span usableLeaseTime(Span life) {
        return new Span(life.ms() - life.ms() / 1000 - 200);
    }

    /** While renewals stay without an answer, the others are asked to bridge what is probably an outage. */
    private Future<Span> pledgeTask() {
        renewer.eventLoopTurned();
        Moment sent = clock.now();
        if (!isValid() || sent.since(renewer.renewedAt()).compareTo(RENEWAL_OVERDUE) < 0) {
            return Future.succeededFuture(PLEDGE_PERIOD);
        }
        Revision key = current.revision();
        return askForPledges.get().map(all -> {
            // Never after a gap: another may have led in it, and ended.
            if (all && isValid() && current.revision().equals(key)) {
                pledgedUntil = sent.plus(usableLeaseTime(PLEDGE_TIME));
            }
            return PLEDGE_PERIOD;
        });
    }

    private void loseLeadership(String reason) {
        leading = false;
        ledUntil = validUntil();
        renewer.stopRenewing();
        pledgedUntil = Moment.NEVER;
        watchedRevision = -1;
        current = null;
        LOG.info("this node does not lead any more: {}", reason);
        listener.leadershipLost(reason);
    }
}
