package io.indigoreach.state;

import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.Token;
import io.indigoreach.net.Duty;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes and keeps leadership: a key attached to a lease. The transaction that writes the key raises the counter that
 * becomes the token. The lease's time is counted from when its renewal was sent, less drift, so this node stops
 * before the state service can let another one in.
 */
public final class Leadership {
    /** Told of changes, on the event loop. */
    public interface Listener {
        /**
         * This node leads from now on; {@code key} is the version on which every write depends, {@code bounds} whether
         * the start bounds in the records can be believed.
         */
        void took(Token token, Stamp key, boolean bounds);

        /** This node does not lead any more. */
        void lost(String reason);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final Span RETRY = Span.seconds(0.5);
    /** What the other nodes are given to take a key that was let go. */
    private static final Span GRACE = Span.seconds(0.6);

    private final StateClient state;
    private final SteadyClock clock;
    private final String node;
    private final String process;
    private final Span life;
    private final Listener listener;
    private final Duty duty;
    private final Duty renewal;

    private final int peers;
    private boolean hasLetGo;
    private LeaderKey current;
    private long watchedTo = -1;
    private boolean leading;
    private long lease;
    private Moment validUntil = Moment.NEVER;
    private Moment standAsideUntil = Moment.NEVER;

    public Leadership(Vertx vertx, StateClient state, SteadyClock clock, String node, String process, int peers,
                      Span life, Listener listener) {
        this.state = state;
        this.clock = clock;
        this.node = node;
        this.process = process;
        this.peers = peers;
        this.life = life;
        this.listener = listener;
        this.duty = new Duty(vertx, "leadership", RETRY, this::step);
        this.renewal = new Duty(vertx, "lease renewal", RETRY, this::renew);
    }

    public void start() {
        duty.start();
        renewal.start();
    }

    public void stop() {
        duty.cancel();
        renewal.cancel();
    }

    /** Whether this node may act as the leader at this very moment. */
    public boolean isValid() {
        return leading && clock.now().isBefore(validUntil);
    }

    public boolean isLeading() {
        return leading;
    }

    /** The node that leads as far as is known, or null. */
    public String leader() {
        return current == null ? null : current.node();
    }

    /** The conditional write failed on the leadership key: another node has taken over. */
    public void deposed() {
        if (leading) {
            lose("the leadership key has changed");
        }
    }

    /** Gives leadership up, so that another node can take it at once. */
    public Future<Void> abdicate(String reason) {
        if (!leading) {
            return Future.succeededFuture();
        }
        long held = lease;
        standAsideUntil = clock.now().plus(life);
        lose(reason);
        return state.drop(held);
    }

    /**
     * Gives leadership up for a node that cannot reach the state service itself: the version of its key, which another
     * node may now {@link #release}; null if this node does not lead.
     */
    public Stamp standAside(String reason) {
        if (!leading) {
            return null;
        }
        Stamp key = current.stamp();
        abdicate(reason);
        return key;
    }

    /** Tells later leaders that start bounds can be believed again; in vain if the leadership has changed meanwhile. */
    public Future<Void> vouchForBounds() {
        return leading ? state.commit(new StateClient.Txn().when(RecordCodec.LEADER, current.stamp())
                .put(RecordCodec.COUNTER, RecordCodec.writeCounter(current.token(), true))).mapEmpty()
                : Future.succeededFuture();
    }

    /**
     * Removes the key of a leader that has given up and cannot say so itself. A request that comes late does no harm:
     * the key of a later leadership has another version.
     */
    public Future<Void> release(Stamp key) {
        return state.commit(new StateClient.Txn().when(RecordCodec.LEADER, key).delete(RecordCodec.LEADER)).mapEmpty();
    }

    /**
     * Removes the key of a predecessor of this process, before anything else is done: a node that is warmed up can then
     * lead at once. Done later, it competes for the processor with hundreds of workers looking for a leader.
     */
    public Future<Void> clear() {
        return state.get(RecordCodec.LEADER).compose(entry -> {
            current = entry == null ? null : LeaderKey.read(entry.value(), entry.stamp());
            boolean predecessor = current != null && current.node().equals(node) && peers > 0;
            return predecessor ? letGo().<Void>mapEmpty() : Future.<Void>succeededFuture();
        }).otherwiseEmpty();
    }

    private Future<Span> step() {
        if (leading) {
            return Future.succeededFuture(RETRY);
        }
        if (watchedTo < 0) {
            return state.get(RecordCodec.LEADER).compose(entry -> {
                current = entry == null ? null : LeaderKey.read(entry.value(), entry.stamp());
                // A key of this very node is that of a predecessor, which has ended, or comes from an attempt of this
                // process whose answer was lost: nobody acts under it, so its lease need not be waited for.
                if (current != null && current.node().equals(node) && !hasLetGo && peers > 0) {
                    return letGo();
                }
                if (current == null || current.node().equals(node)) {
                    return clock.now().isBefore(standAsideUntil) ? Future.succeededFuture(RETRY) : campaign();
                }
                watchedTo = entry.stamp().value();
                return Future.succeededFuture(Span.ZERO);
            });
        }
        return state.watch(RecordCodec.LEADER, watchedTo, Span.seconds(10))
                .onFailure(e -> watchedTo = -1)
                .map(changes -> {
                    watchedTo = changes.tooOld() ? -1 : changes.revision();
                    for (StateClient.Change change : changes.changes()) {
                        if (change.key().equals(RecordCodec.LEADER)) {
                            watchedTo = -1;
                        }
                    }
                    return Span.ZERO;
                });
    }

    /**
     * This process has just started and its predecessor led. A node that has been up all along leads sooner and better
     * than one that is still warming up, so the key is removed, and taken only if nobody else does.
     */
    private Future<Span> letGo() {
        hasLetGo = true;
        LOG.info("removing the leadership key of the process before this one");
        return state.commit(new StateClient.Txn().when(RecordCodec.LEADER, current.stamp()).delete(RecordCodec.LEADER))
                .map(GRACE);
    }

    private Future<Span> campaign() {
        Stamp before = current == null ? Stamp.ABSENT : current.stamp();
        return state.get(RecordCodec.COUNTER).compose(counter -> {
            Token token = counter == null ? new Token(1) : new Token(RecordCodec.counted(counter.value().map())).next();
            Stamp counted = counter == null ? Stamp.ABSENT : counter.stamp();
            boolean bounds = counter == null || RecordCodec.keepsBounds(counter.value());
            Moment sent = clock.now();
            return state.grant(life).compose(granted -> state.commit(new StateClient.Txn()
                    .when(RecordCodec.LEADER, before).when(RecordCodec.COUNTER, counted)
                    .put(RecordCodec.LEADER, LeaderKey.write(node, process, token), granted)
                    .put(RecordCodec.COUNTER, RecordCodec.writeCounter(token, bounds))).map(outcome -> {
                        watchedTo = -1;
                        hasLetGo = true;
                        if (outcome.done()) {
                            take(granted, token, outcome.stamp(), sent, bounds);
                        }
                        return outcome.done() ? RETRY : Span.seconds(0.2);
                    }));
        });
    }

    private void take(long granted, Token token, Stamp stamp, Moment sent, boolean bounds) {
        lease = granted;
        leading = true;
        current = new LeaderKey(node, process, token, stamp);
        validUntil = sent.plus(usable());
        LOG.info("this node leads now, token {}", token);
        listener.took(token, stamp, bounds);
    }

    private Span usable() {
        return new Span(life.ms() - life.ms() / 1000 - 200);
    }

    private Future<Span> renew() {
        if (!leading) {
            return Future.succeededFuture(Span.seconds(0.25));
        }
        Moment sent = clock.now();
        long renewed = lease;
        return state.renew(renewed).map(alive -> {
            if (!leading || lease != renewed) {
                return RETRY;
            }
            if (!alive) {
                lose("its lease has ended");
                return RETRY;
            }
            validUntil = sent.plus(usable());
            // Often: how long an outage is bridged counts from the last renewal before it.
            return Span.seconds(Math.min(1, life.seconds() * 0.2));
        });
    }

    private void lose(String reason) {
        leading = false;
        validUntil = Moment.NEVER;
        watchedTo = -1;
        current = null;
        LOG.info("this node does not lead any more: {}", reason);
        listener.lost(reason);
    }
}
