package io.indigoreach.ownership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.ownership.Grant;
import io.indigoreach.core.ownership.JobRecords;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.WireException;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * While this node leads: of each open job that names records, which tasks wait for them. Such a job begins wholly withheld; once
 * all of its records are its own it is not asked for again, as nobody but a person can take them from it.
 */
final class OwnershipGate implements Part.LeaderTask {
    private static final Logger LOG = LoggerFactory.getLogger(OwnershipGate.class);
    private static final Span PERIOD = Span.seconds(0.5);
    private static final Span AGAIN = Span.seconds(2);
    /** A job of thousands of records is looked at less often: some hundred pages are read for it. */
    private static final double PER_RECORD_S = 0.001;

    private final Parts.Environment ground;
    private final SchedulerCore core;
    private final RoutineRunner records;
    private final Registry registry;
    private final int most;
    private final PeriodicTask duty;
    private final Map<JobId, Moment> due = new HashMap<>();
    private final Set<JobId> whole = new HashSet<>();

    OwnershipGate(Parts.Environment ground, SchedulerCore core, RoutineRunner records, Registry registry, int most) {
        this.ground = ground;
        this.core = core;
        this.records = records;
        this.registry = registry;
        this.most = most;
        this.duty = new PeriodicTask(ground.vertx(), "withholding", PERIOD, this::step);
    }

    OwnershipGate start() {
        duty.start();
        return this;
    }

    @Override
    public void close() {
        duty.cancel();
    }

    /** The oldest job that is due: what becomes free goes to those that came first. */
    private Future<Span> step() {
        Moment now = ground.clock().now();
        List<Job> guarded = new ArrayList<>(
                core.jobs().stream().filter(job -> job.spec().isGuarded()).toList());
        Set<JobId> open = new HashSet<>();
        guarded.forEach(job -> open.add(job.id()));
        whole.retainAll(open);
        due.keySet().retainAll(open);
        Job next = guarded.stream()
                .filter(job -> !whole.contains(job.id())
                        && !job.isCancelled()
                        && !now.isBefore(due.getOrDefault(job.id(), Moment.NEVER)))
                .min(java.util.Comparator.comparingLong(Job::submittedMs).thenComparing(Job::id))
                .orElse(null);
        if (next == null) {
            return Future.succeededFuture(PERIOD);
        }
        JobId id = next.id();
        JobRecords wants;
        try {
            wants = RecordsCodec.readField(next.spec());
        } catch (WireException e) {
            LOG.error("job gated by unreadable records job={} cause={}", id, e.getMessage());
            whole.add(id);
            return Future.succeededFuture(PERIOD);
        }
        due.put(id, now.plus(AGAIN).plus(Span.seconds(wants.list().size() * PER_RECORD_S)));
        return records.run(new Grant(registry, most, id.text(), wants, next.completedTasks(), false))
                .map(given -> {
                    if (!duty.isCancelled()) {
                        core.gateTasks(id, given.held());
                        if (given.held().isEmpty()) {
                            whole.add(id);
                        } else {
                            LOG.info(
                                    "tasks gated by records job={} tasks={} reason={}",
                                    id,
                                    given.held().cardinality(),
                                    given.never().isEmpty()
                                            ? given.against().get(0)
                                            : given.never().get(0));
                        }
                    }
                    return new Span(1);
                });
    }
}
