package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether every node of the deployment knows this version's data format. Each node records the format that it knows under a
 * key of its own; when all have, the leader raises the format in the counter of tokens, by which a process of an older version
 * cannot lead any more ({@link CounterRecord}). It is raised once and never lowered by the program. Once this process has seen
 * it raised, nothing is read or written any more (docs/notes/versions.md).
 */
public final class FormatGate {
    private static final Logger LOG = LoggerFactory.getLogger(FormatGate.class);
    /** A record for each node, with the newest format that it knows. */
    static final String NODES = "v/";

    private static final String FORMAT = "format";
    /** Between the looks of a leader at what the nodes have recorded. */
    private static final Span LOOK = Span.seconds(1);
    /** A node makes sure of its own record this often, as data may be lost. */
    private static final Span CHECK = Span.seconds(5);
    /** Those who ask in a row share one reading. */
    private static final Span ASK = Span.seconds(0.5);
    /** Deployments have a handful of nodes; nodes that were removed may have left records. */
    private static final int MOST_NODES = 500;

    private final StateClient state;
    private final SteadyClock clock;
    private final LeaderElection leadership;
    private final String node;
    private final List<String> all;
    private final PeriodicTask duty;
    private Moment checked = Moment.NEVER;
    private Moment asked = Moment.NEVER;
    private Future<Boolean> answer = Future.succeededFuture(false);

    /** {@code all}: the names of all nodes of the deployment, with this one's. */
    public FormatGate(
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            LeaderElection leadership,
            String node,
            List<String> all) {
        this.state = state;
        this.clock = clock;
        this.leadership = leadership;
        this.node = node;
        this.all = List.copyOf(all);
        this.duty = new PeriodicTask(vertx, "data format", LOOK, this::step);
    }

    public void start() {
        duty.start();
    }

    public void stop() {
        duty.cancel();
    }

    /** Whether all nodes know chained jobs; false also as long as the state service does not say. Never fails. */
    public Future<Boolean> isOpen() {
        if (leadership.raisedFormat().isNewest()) {
            return Future.succeededFuture(true);
        }
        Moment now = clock.now();
        if (asked.equals(Moment.NEVER) || now.since(asked).compareTo(ASK) >= 0) {
            asked = now;
            answer =
                    readCounter().map(c -> leadership.raisedFormat().isNewest()).otherwise(false);
        }
        return answer;
    }

    private Future<StateClient.Entry> readCounter() {
        return state.get(RecordCodec.COUNTER).map(entry -> {
            leadership.raisedFormat().seen(CounterRecord.of(entry));
            return entry;
        });
    }

    private Future<Span> step() {
        if (leadership.raisedFormat().isNewest()) {
            duty.cancel();
            return Future.succeededFuture(LOOK);
        }
        boolean isDue =
                checked.equals(Moment.NEVER) || clock.now().since(checked).compareTo(CHECK) >= 0;
        return (isDue ? check() : Future.<Void>succeededFuture())
                .compose(v -> leadership.isLeading() ? raiseIfAllKnow() : Future.succeededFuture())
                .map(LOOK);
    }

    /** Learns whether the format is raised; if not, sees to it that this node's record says what this version knows. */
    private Future<Void> check() {
        return readCounter()
                .onFailure(this::sayIfLater)
                .compose(v -> leadership.raisedFormat().isNewest() ? Future.succeededFuture() : record());
    }

    private void sayIfLater(Throwable failure) {
        if (failure instanceof WireException) {
            checked = clock.now();
            LOG.error("this process cannot lead: {}", failure.getMessage());
        }
    }

    private Future<Void> record() {
        String key = NODES + node;
        return state.get(key).compose(entry -> {
            if (entry != null && knows(entry.value())) {
                checked = clock.now();
                return Future.succeededFuture();
            }
            Revision stamp = entry == null ? Revision.ABSENT : entry.stamp();
            return state.commit(new StateClient.Txn().when(key, stamp).put(key, write()))
                    .map(outcome -> {
                        checked = outcome.done() ? clock.now() : checked;
                        return null;
                    });
        });
    }

    /** What a node of this version records. */
    static Map<String, Object> write() {
        return MessagePackFormat.map(FORMAT, (long) CounterRecord.KNOWN);
    }

    private static boolean knows(Fields record) {
        return record.whole(FORMAT, CounterRecord.FIRST) >= CounterRecord.KNOWN;
    }

    private Future<Void> raiseIfAllKnow() {
        Revision key = leadership.leadershipRevision();
        return state.list(NODES, null, MOST_NODES).compose(page -> {
            Set<String> know = new HashSet<>();
            page.items().stream()
                    .filter(e -> knows(e.value()))
                    .forEach(e -> know.add(e.key().substring(NODES.length())));
            return know.containsAll(all) ? raise(key) : Future.succeededFuture();
        });
    }

    /**
     * Conditional on the leader's key, so that no leader of an older version is in office when it is done, and on the counter's
     * version, so that it is done once, and a campaign that read the counter before it fails.
     */
    private Future<Void> raise(Revision key) {
        return readCounter().compose(entry -> {
            if (entry == null || leadership.raisedFormat().isNewest()) {
                return Future.succeededFuture();
            }
            CounterRecord raised = CounterRecord.of(entry).raised();
            return state.commit(new StateClient.Txn()
                            .when(RecordCodec.LEADER, key)
                            .when(RecordCodec.COUNTER, entry.stamp())
                            .put(RecordCodec.COUNTER, raised.write()))
                    .map(outcome -> {
                        if (outcome.done()) {
                            leadership.raisedFormat().seen(raised);
                            LOG.info("all nodes know the data format {}: older versions cannot lead", raised.format());
                        }
                        return null;
                    });
        });
    }
}
