package io.indigoreach.cluster;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.GarbageCollector;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.parts.Part;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the optional features during one leadership term: each feature's work as the leader, and its garbage collection,
 * one round at a time. Uses only the spare capacity of the leader's write rate, so that lease renewals, cancellations,
 * submissions and completions take precedence. Bound to the node's event loop.
 */
final class FeatureTask {
    private static final Span PERIOD = Span.seconds(1);
    /** Delay between the garbage collection rounds of two features. */
    private static final Span ROUND_DELAY = new Span(1);

    private final NodeContext context;
    private final SchedulerCore core;
    /** Null if no optional feature is enabled. */
    private final RoutineRunner routines;

    private final PeriodicTask collectionTask;
    private final List<Part.LeaderTask> terms = new ArrayList<>();
    private final Map<Part, Moment> nextCollectionAt = new HashMap<>();

    FeatureTask(NodeContext context, SchedulerCore core, Revision leadershipRevision, RateLimiter writeLimiter) {
        this.context = context;
        this.core = core;
        this.routines = context.parts().all().isEmpty()
                ? null
                : context.parts().recordRoutines().forLeader(RecordKeys.LEADER, leadershipRevision, writeLimiter);
        this.collectionTask = new PeriodicTask(context.vertx(), "parts", PERIOD, this::collectGarbage);
    }

    void start() {
        if (routines != null) {
            context.parts().all().forEach(part -> terms.add(part.startLeaderTask(core, routines)));
            collectionTask.start();
        }
    }

    void cancel() {
        collectionTask.cancel();
        terms.forEach(Part.LeaderTask::close);
    }

    private Future<Span> collectGarbage() {
        Moment now = context.clock().now();
        for (Part part : context.parts().all()) {
            GarbageCollector collector = part.garbageCollector();
            if (collector != null && !now.isBefore(nextCollectionAt.getOrDefault(part, Moment.NEVER))) {
                // Set before the round, so that a failing collection also waits for a period and does not block the
                // other features.
                nextCollectionAt.put(part, now.plus(PERIOD));
                return collectGarbage(part, collector);
            }
        }
        return Future.succeededFuture(PERIOD);
    }

    private Future<Span> collectGarbage(Part part, GarbageCollector collector) {
        return routines.run(collector.newRound()).map(wait -> {
            nextCollectionAt.put(part, context.clock().now().plus(wait));
            return ROUND_DELAY;
        });
    }
}
