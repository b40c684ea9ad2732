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
    private static final Span RAISE_INTERVAL = Span.seconds(1);
    /** A node makes sure of its own record this often, as data may be lost. */
    private static final Span CHECK_INTERVAL = Span.seconds(5);
    /** Those who ask in a row share one reading. */
    private static final Span SHARED_READ_TIME = Span.seconds(0.5);
    /** Deployments have a handful of nodes; nodes that were removed may have left records. */
    private static final int MAX_NODES = 500;

    private final StateClient state;
    private final SteadyClock clock;
    private final LeaderElection election;
    private final String node;
    private final List<String> allNodes;
    private final PeriodicTask task;
    private Moment checkedAt = Moment.NEVER;
    private Moment readAt = Moment.NEVER;
    private Future<Boolean> sharedRead = Future.succeededFuture(false);

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
        this.election = leadership;
        this.node = node;
        this.allNodes = List.copyOf(all);
        this.task = new PeriodicTask(vertx, "data format", RAISE_INTERVAL, this::step);
    }

    /** Records this node's format, and as a leader raises the format, from now on. */
    public void start() {
        task.start();
    }

    /** Stops doing so. */
    public void stop() {
        task.cancel();
    }

    /** Whether all nodes know chained jobs; false also as long as the state service does not say. Never fails. */
    public Future<Boolean> isOpen() {
        if (election.raisedFormat().isNewest()) {
            return Future.succeededFuture(true);
        }
        Moment now = clock.now();
        if (readAt.equals(Moment.NEVER) || now.since(readAt).compareTo(SHARED_READ_TIME) >= 0) {
            readAt = now;
            sharedRead =
                    readCounter().map(c -> election.raisedFormat().isNewest()).otherwise(false);
        }
        return sharedRead;
    }

    private Future<StateClient.Entry> readCounter() {
        return state.get(RecordKeys.COUNTER).map(entry -> {
            election.raisedFormat().seen(CounterRecord.of(entry));
            return entry;
        });
    }

    private Future<Span> step() {
        if (election.raisedFormat().isNewest()) {
            task.cancel();
            return Future.succeededFuture(RAISE_INTERVAL);
        }
        boolean isDue =
                checkedAt.equals(Moment.NEVER) || clock.now().since(checkedAt).compareTo(CHECK_INTERVAL) >= 0;
        return (isDue ? check() : Future.<Void>succeededFuture())
                .compose(v -> election.isLeading() ? raiseIfAllSupport() : Future.succeededFuture())
                .map(RAISE_INTERVAL);
    }

    /** Learns whether the format is raised; if not, sees to it that this node's record says what this version knows. */
    private Future<Void> check() {
        return readCounter()
                .onFailure(this::reportIfUnreadable)
                .compose(v -> election.raisedFormat().isNewest() ? Future.succeededFuture() : recordSupport());
    }

    private void reportIfUnreadable(Throwable failure) {
        if (failure instanceof WireException) {
            checkedAt = clock.now();
            LOG.error("leadership blocked by data format cause={}", failure.getMessage());
        }
    }

    private Future<Void> recordSupport() {
        String key = NODES + node;
        return state.get(key).compose(entry -> {
            if (entry != null && supportsNewest(entry.value())) {
                checkedAt = clock.now();
                return Future.succeededFuture();
            }
            Revision revision = entry == null ? Revision.ABSENT : entry.revision();
            return state.commit(new StateClient.Txn().when(key, revision).put(key, write()))
                    .map(outcome -> {
                        checkedAt = outcome.done() ? clock.now() : checkedAt;
                        return null;
                    });
        });
    }

    /** What a node of this version records. */
    static Map<String, Object> write() {
        return MessagePackFormat.map(FORMAT, (long) CounterRecord.KNOWN);
    }

    private static boolean supportsNewest(Fields record) {
        return record.wholeNumber(FORMAT, CounterRecord.FIRST) >= CounterRecord.KNOWN;
    }

    private Future<Void> raiseIfAllSupport() {
        Revision key = election.leadershipRevision();
        return state.list(NODES, null, MAX_NODES).compose(page -> {
            Set<String> know = new HashSet<>();
            page.items().stream()
                    .filter(e -> supportsNewest(e.value()))
                    .forEach(e -> know.add(e.key().substring(NODES.length())));
            return know.containsAll(allNodes) ? raise(key) : Future.succeededFuture();
        });
    }

    /**
     * Conditional on the leader's key, so that no leader of an older version is in office when it is done, and on the counter's
     * version, so that it is done once, and a campaign that read the counter before it fails.
     */
    private Future<Void> raise(Revision key) {
        return readCounter().compose(entry -> {
            if (entry == null || election.raisedFormat().isNewest()) {
                return Future.succeededFuture();
            }
            CounterRecord raised = CounterRecord.of(entry).raised();
            return state.commit(new StateClient.Txn()
                            .when(RecordKeys.LEADER, key)
                            .when(RecordKeys.COUNTER, entry.revision())
                            .put(RecordKeys.COUNTER, raised.write()))
                    .map(outcome -> {
                        if (outcome.done()) {
                            election.raisedFormat().seen(raised);
                            LOG.info("data format raised format={}", raised.format());
                        }
                        return null;
                    });
        });
    }
}
