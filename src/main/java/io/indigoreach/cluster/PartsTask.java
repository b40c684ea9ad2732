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
 * The work of the optional features during one leadership term: what each does while this node leads, and its garbage collection, one
 * round after the other. It yields to leases, cancellations, acceptances and ends, as it writes only what the leader's write rate
 * has to spare. Bound to the node's event loop.
 */
final class PartsTask {
    private static final Span PERIOD = Span.seconds(1);
    /** Until the next feature's garbage collection, after one has had its round. */
    private static final Span NEXT_ROUND = new Span(1);

    private final NodeContext context;
    private final SchedulerCore core;
    /** Null if no optional feature is enabled. */
    private final RoutineRunner routines;

    private final PeriodicTask collectionTask;
    private final List<Part.LeaderTask> terms = new ArrayList<>();
    private final Map<Part, Moment> nextCollection = new HashMap<>();

    PartsTask(NodeContext context, SchedulerCore core, Revision leadershipRevision, RateLimiter writeLimiter) {
        this.context = context;
        this.core = core;
        this.routines = context.parts().all().isEmpty()
                ? null
                : context.parts().recordRoutines().leading(RecordKeys.LEADER, leadershipRevision, writeLimiter);
        this.collectionTask = new PeriodicTask(context.vertx(), "parts", PERIOD, this::collect);
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

    private Future<Span> collect() {
        Moment now = context.clock().now();
        for (Part part : context.parts().all()) {
            GarbageCollector collector = part.garbageCollector();
            if (collector != null && !now.isBefore(nextCollection.getOrDefault(part, Moment.NEVER))) {
                // A collection that fails waits for a period like the others, and does not keep them from their rounds.
                nextCollection.put(part, now.plus(PERIOD));
                return collect(part, collector);
            }
        }
        return Future.succeededFuture(PERIOD);
    }

    private Future<Span> collect(Part part, GarbageCollector collector) {
        return routines.run(collector.round()).map(wait -> {
            nextCollection.put(part, context.clock().now().plus(wait));
            return NEXT_ROUND;
        });
    }
}
