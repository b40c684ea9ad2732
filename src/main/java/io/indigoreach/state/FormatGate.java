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
 * Enables this version's data format once every node of the deployment supports it. Each node records the newest format that it
 * supports under its own key. When all nodes have done so, the leader raises the format in the token counter, after which a
 * process of an older version cannot lead ({@link CounterRecord}). The format is raised once and the program never lowers it.
 * Once this process has seen it raised, the gate makes no further requests (docs/notes/versions.md).
 */
public final class FormatGate {
    private static final Logger LOG = LoggerFactory.getLogger(FormatGate.class);
    /** Key prefix of the nodes' records, each with the newest format that the node supports. */
    static final String NODES = "v/";

    private static final String FORMAT = "format";
    /** Interval at which the leader reads the formats that the nodes have recorded. */
    private static final Span RAISE_INTERVAL = Span.seconds(1);
    /** Interval at which a node checks that its own record exists, as it may have been lost. */
    private static final Span CHECK_INTERVAL = Span.seconds(5);
    /** Calls of {@link #isOpen} within this time share one read of the counter. */
    private static final Span SHARED_READ_TIME = Span.seconds(0.5);
    /** Upper bound of node records to read. Deployments have a few nodes, but removed nodes may have left records. */
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

    /** {@code all}: the names of all nodes of the deployment, including this one. */
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

    /** Starts to record this node's format and, while this node leads, to raise the deployment's format. */
    public void start() {
        task.start();
    }

    /** Stops the periodic checks. */
    public void stop() {
        task.cancel();
    }

    /**
     * Whether the newest data format is in force, so that all nodes support job dependencies. False also while the state service
     * does not respond. Never fails.
     */
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

    /** Reads whether the format is raised; if not, makes sure that this node's record has the format of this version. */
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

    /** The value of the record of a node of this version. */
    static Map<String, Object> write() {
        return MessagePackFormat.map(FORMAT, (long) CounterRecord.KNOWN);
    }

    private static boolean supportsNewest(Fields record) {
        return record.whole(FORMAT, CounterRecord.FIRST) >= CounterRecord.KNOWN;
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
     * Raises the format in the counter. The write is conditional on the leadership key, so that no process of an older version
     * leads when it is executed, and on the counter's revision, so that it is executed once and any campaign that read the
     * counter earlier fails.
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
