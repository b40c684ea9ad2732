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
    static final String NODE_PREFIX = "v/";

    private static final String FORMAT_FIELD = "format";
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

    /** {@code nodes}: the names of all nodes of the deployment, including this one. */
    public FormatGate(
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            LeaderElection leaderElection,
            String node,
            List<String> nodes) {
        this.state = state;
        this.clock = clock;
        this.election = leaderElection;
        this.node = node;
        this.allNodes = List.copyOf(nodes);
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
     * Whether the newest data format is known to be active, which means that all nodes support job dependencies. False
     * while that is not known and the state service does not respond; the future never fails.
     */
    public Future<Boolean> isOpen() {
        if (election.dataFormat().isNewest()) {
            return Future.succeededFuture(true);
        }
        Moment now = clock.now();
        if (readAt.equals(Moment.NEVER) || now.since(readAt).compareTo(SHARED_READ_TIME) >= 0) {
            readAt = now;
            sharedRead =
                    readCounter().map(c -> election.dataFormat().isNewest()).otherwise(false);
        }
        return sharedRead;
    }

    private Future<StateClient.Entry> readCounter() {
        return state.get(RecordKeys.COUNTER).map(entry -> {
            election.dataFormat().observe(CounterRecord.fromEntry(entry));
            return entry;
        });
    }

    private Future<Span> step() {
        if (election.dataFormat().isNewest()) {
            task.cancel();
            return Future.succeededFuture(RAISE_INTERVAL);
        }
        boolean isDue =
                checkedAt.equals(Moment.NEVER) || clock.now().since(checkedAt).compareTo(CHECK_INTERVAL) >= 0;
        return (isDue ? checkOwnRecord() : Future.<Void>succeededFuture())
                .compose(v -> election.isLeading() ? raiseIfAllNodesSupport() : Future.succeededFuture())
                .map(RAISE_INTERVAL);
    }

    /** Reads whether the format is raised; if not, makes sure that this node's record has the format of this version. */
    private Future<Void> checkOwnRecord() {
        return readCounter()
                .onFailure(this::reportIfUnreadable)
                .compose(v -> election.dataFormat().isNewest() ? Future.succeededFuture() : recordSupport());
    }

    private void reportIfUnreadable(Throwable failure) {
        if (failure instanceof WireException) {
            checkedAt = clock.now();
            LOG.error("leadership blocked by data format cause={}", failure.getMessage());
        }
    }

    private Future<Void> recordSupport() {
        String key = NODE_PREFIX + node;
        return state.get(key).compose(entry -> {
            if (entry != null && supportsNewest(entry.value())) {
                checkedAt = clock.now();
                return Future.succeededFuture();
            }
            Revision revision = entry == null ? Revision.ABSENT : entry.revision();
            return state.commit(new StateClient.Txn().when(key, revision).put(key, encodeSupportedFormat()))
                    .map(outcome -> {
                        checkedAt = outcome.executed() ? clock.now() : checkedAt;
                        return null;
                    });
        });
    }

    /** The value of the record of a node of this version. */
    static Map<String, Object> encodeSupportedFormat() {
        return MessagePackFormat.map(FORMAT_FIELD, (long) CounterRecord.NEWEST_FORMAT);
    }

    private static boolean supportsNewest(Fields record) {
        return record.wholeNumber(FORMAT_FIELD, CounterRecord.ORIGINAL_FORMAT) >= CounterRecord.NEWEST_FORMAT;
    }

    private Future<Void> raiseIfAllNodesSupport() {
        Revision leaderRevision = election.leadershipRevision();
        return state.list(NODE_PREFIX, null, MAX_NODES).compose(page -> {
            Set<String> supportingNodes = new HashSet<>();
            page.entries().stream()
                    .filter(e -> supportsNewest(e.value()))
                    .forEach(e -> supportingNodes.add(e.key().substring(NODE_PREFIX.length())));
            return supportingNodes.containsAll(allNodes) ? raise(leaderRevision) : Future.succeededFuture();
        });
    }

    /**
     * Raises the format in the counter. The write is conditional on the leadership key, so that no process of an older version
     * leads when it is executed, and on the counter's revision, so that it is executed once and any campaign that read the
     * counter earlier fails.
     */
    private Future<Void> raise(Revision leaderRevision) {
        return readCounter().compose(entry -> {
            if (entry == null || election.dataFormat().isNewest()) {
                return Future.succeededFuture();
            }
            CounterRecord raised = CounterRecord.fromEntry(entry).withNewestFormat();
            return state.commit(new StateClient.Txn()
                            .when(RecordKeys.LEADER, leaderRevision)
                            .when(RecordKeys.COUNTER, entry.revision())
                            .put(RecordKeys.COUNTER, raised.write()))
                    .map(outcome -> {
                        if (outcome.executed()) {
                            election.dataFormat().observe(raised);
                            LOG.info("data format raised format={}", raised.format());
                        }
                        return null;
                    });
        });
    }
}
