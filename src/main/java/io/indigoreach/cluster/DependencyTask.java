package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.DependentJobs;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.WireException;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the leader's chained jobs: reads the ends of jobs that others wait for and that are not open here, and writes the ends
 * of those below a cancelled one, each by a small transaction of its own. Stopped after any of them, the next leader derives
 * what is left from the ends that are written.
 */
final class DependencyTask {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyTask.class);
    private static final Span PERIOD = Span.seconds(0.1);
    private static final int READS_AT_ONCE = 4;
    private static final int WRITES_AT_ONCE = 4;
    /** Of the state service's requests, what looking up ends may take. */
    private static final double READS = 0.1;
    /** Before the end of a job that was found open is looked up again; its record is heard of long before. */
    private static final Span OPEN_PAUSE = Span.seconds(1);
    /** Before a job that is nowhere is looked for again: it comes back when a controller that remembers it is asked. */
    private static final Span LOST_PAUSE = Span.seconds(5);

    private static final String SAME_MOMENT = "a read came from the past";

    private final LeadershipTerm.Context env;
    private final SchedulerCore core;
    private final DependentJobs chains;
    private final JobStore ledger;
    private final Revision key;
    private final Runnable deposed;
    private final RateLimiter writes;
    private final RateLimiter reads;
    private final PeriodicTask duty;
    private final Set<JobId> reading = new HashSet<>();
    private final Set<JobId> writing = new HashSet<>();
    private final Map<JobId, Moment> notBefore = new HashMap<>();

    DependencyTask(
            LeadershipTerm.Context env,
            SchedulerCore core,
            JobStore ledger,
            Revision key,
            Runnable deposed,
            RateLimiter writes) {
        this.env = env;
        this.core = core;
        this.chains = core.dependentJobs();
        this.ledger = ledger;
        this.key = key;
        this.deposed = deposed;
        this.writes = writes;
        this.reads = new RateLimiter(
                Math.max(1, env.config().stateLimits().requestsPerS() * READS),
                env.clock().now());
        this.duty = new PeriodicTask(env.vertx(), "chains", PERIOD, this::step);
    }

    void start() {
        duty.start();
    }

    void cancel() {
        duty.cancel();
    }

    private Future<Span> step() {
        Moment now = env.clock().now();
        chains.advance(now, env.clock().timeOfDay());
        sweep(now);
        lookUp(now);
        return Future.succeededFuture(PERIOD);
    }

    private void lookUp(Moment now) {
        notBefore.keySet().retainAll(chains.jobsToLookUp());
        for (JobId id : Set.copyOf(chains.jobsToLookUp())) {
            if (reading.size() >= READS_AT_ONCE) {
                return;
            }
            if (reading.contains(id) || now.isBefore(notBefore.getOrDefault(id, Moment.NEVER))) {
                continue;
            }
            if (!reads.take(1, now)) {
                return;
            }
            reading.add(id);
            read(id).onComplete(read -> {
                reading.remove(id);
                if (read.succeeded() && !duty.isCancelled()) {
                    answered(id, read.result());
                }
            });
        }
    }

    /** What a look-up says of a job. */
    private enum Fate {
        DONE,
        CANCELLED,
        OPEN,
        NOWHERE
    }

    private Future<Fate> read(JobId id) {
        return env.state()
                .get(RecordCodec.finalKey(id))
                .compose(over -> over != null
                        ? Future.succeededFuture(
                                ended(RecordCodec.readFinal(id, over.value()).status()))
                        : env.state()
                                .get(RecordCodec.openKey(id))
                                .compose(open ->
                                        open != null ? Future.succeededFuture(standing(id, open)) : nowhere(id)));
    }

    private static Fate ended(JobStatus status) {
        return status == JobStatus.DONE ? Fate.DONE : Fate.CANCELLED;
    }

    /** An end that is written into the open record is as final as one that stands by itself. */
    private static Fate standing(JobId id, StateClient.Entry open) {
        boolean done = RecordCodec.readJob(id, open.value(), open.stamp()).status() == JobStatus.DONE;
        return done ? Fate.DONE : Fate.OPEN;
    }

    private Future<Fate> nowhere(JobId id) {
        return env.state()
                .confirm(new StateClient.Txn()
                        .when(RecordCodec.openKey(id), Revision.ABSENT)
                        .when(RecordCodec.finalKey(id), Revision.ABSENT))
                .compose(confirmed -> confirmed
                        ? Future.succeededFuture(Fate.NOWHERE)
                        : Future.failedFuture(new WireException(SAME_MOMENT)));
    }

    private void answered(JobId id, Fate fate) {
        if (!chains.jobsToLookUp().contains(id)) {
            return;
        }
        switch (fate) {
            case DONE -> chains.done(id);
            case CANCELLED -> {
                LOG.info("job {} is cancelled, and with it those that need it", id);
                chains.cancelled(id);
            }
            case OPEN -> notBefore.put(id, env.clock().now().plus(OPEN_PAUSE));
            // Neither done nor cancelled may be said of it: those that need it wait until its end is known again.
            case NOWHERE -> {
                LOG.error("job {} is in no record, and others wait for it; their users can cancel them", id);
                notBefore.put(id, env.clock().now().plus(LOST_PAUSE));
            }
        }
    }

    private void sweep(Moment now) {
        for (JobId id : Set.copyOf(chains.jobsToCancel())) {
            if (writing.size() >= WRITES_AT_ONCE) {
                return;
            }
            Job job = core.job(id);
            if (job == null || writing.contains(id)) {
                continue;
            }
            StateClient.Txn txn = new StateClient.Txn()
                    .when(RecordCodec.LEADER, key)
                    .when(RecordCodec.openKey(id), job.revision())
                    .delete(RecordCodec.openKey(id))
                    .put(RecordCodec.finalKey(id), RecordCodec.writeFinal(JobStatus.CANCELLED, job.doneCount()));
            if (!writes.take(txn.size(), now)) {
                return;
            }
            writing.add(id);
            write(job, txn).onComplete(written -> writing.remove(id));
        }
    }

    private Future<Void> write(Job job, StateClient.Txn txn) {
        return env.state()
                .commit(txn)
                .compose(
                        outcome -> {
                            if (duty.isCancelled()) {
                                return Future.succeededFuture();
                            }
                            if (outcome.done()) {
                                swept(job.id());
                                return Future.succeededFuture();
                            }
                            if (outcome.failed().contains(RecordCodec.LEADER)) {
                                deposed.run();
                                return Future.succeededFuture();
                            }
                            return settle(job);
                        },
                        failure -> StateClient.surelyNotExecuted(failure) ? Future.succeededFuture() : settle(job));
    }

    /** After a write that failed or has an unknown outcome: reads how the job stands. */
    private Future<Void> settle(Job job) {
        JobId id = job.id();
        return env.state().get(RecordCodec.openKey(id)).compose(open -> {
            if (open != null) {
                core.revisionSeen(job, open.stamp());
                return Future.succeededFuture();
            }
            return env.state().get(RecordCodec.finalKey(id)).map(over -> {
                if (over != null
                        && !duty.isCancelled()
                        && RecordCodec.readFinal(id, over.value()).status() == JobStatus.CANCELLED) {
                    swept(id);
                }
                return null;
            });
        });
    }

    private void swept(JobId id) {
        chains.cancelled(id);
        ledger.onCancelled(id);
    }
}
