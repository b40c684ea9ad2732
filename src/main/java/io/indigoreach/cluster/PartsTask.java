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
 * The parts' work for one leadership: what each does while this node leads, and its clean-up, one round after the other. It
 * comes behind leases, cancellations, acceptances and ends: it writes only what the leader's budget has to spare.
 */
final class PartsTask {
    private static final Span PERIOD = Span.seconds(1);

    private final NodeContext env;
    private final SchedulerCore core;
    private final RoutineRunner records;
    private final PeriodicTask duty;
    private final List<Part.Term> reigning = new ArrayList<>();
    private final Map<Part, Moment> due = new HashMap<>();

    PartsTask(NodeContext env, SchedulerCore core, Revision key, RateLimiter limiter) {
        this.env = env;
        this.core = core;
        this.records =
                env.parts().all().isEmpty() ? null : env.parts().records().leading(RecordKeys.LEADER, key, limiter);
        this.duty = new PeriodicTask(env.vertx(), "parts", PERIOD, this::step);
    }

    void start() {
        if (records != null) {
            env.parts().all().forEach(p -> reigning.add(p.reigning(core, records)));
            duty.start();
        }
    }

    void cancel() {
        duty.cancel();
        reigning.forEach(Part.Term::close);
    }

    private Future<Span> step() {
        Moment now = env.clock().now();
        for (Part part : env.parts().all()) {
            GarbageCollector sweep = part.sweep();
            if (sweep != null && !now.isBefore(due.getOrDefault(part, Moment.NEVER))) {
                // One that fails waits a period like the others, and does not keep them from their rounds.
                due.put(part, now.plus(PERIOD));
                return records.run(sweep.round()).map(wait -> {
                    due.put(part, env.clock().now().plus(wait));
                    return new Span(1);
                });
            }
        }
        return Future.succeededFuture(PERIOD);
    }
}
