package io.indigoreach.cluster;

import io.indigoreach.core.Job;
import io.indigoreach.core.JobId;
import io.indigoreach.core.JobStatus;
import io.indigoreach.core.LeaderCore;
import io.indigoreach.core.Machine;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.net.Budget;
import io.indigoreach.net.Duty;
import io.indigoreach.net.Fields;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's records: reads them when it takes over, and writes tasks' results, jobs' ends and machines. Every
 * write depends on the leadership key, and a job's also on the job's own key, which its user may cancel at any node.
 */
final class Ledger {
    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);
    private static final int PAGE = 500;
    private static final Span PERIOD = Span.seconds(0.1);
    /** Results of one job are gathered for this long; its end is written at once. */
    private static final Span GATHER = Span.seconds(1);
    /** The part of the service's changes that the leader takes; the rest is for submissions and cancellations. */
    private static final double SHARE = 0.6;
    private static final int MOST_AT_ONCE = 4;
    private static final int CLOSED_KEPT = 10_000;

    private final Reign.Surroundings env;
    private final LeaderCore core;
    private final Stamp key;
    private final Runnable deposed;
    private final Budget budget;
    private final Duty duty;
    private final Set<Job> touched = new LinkedHashSet<>();
    private final Set<JobId> writing = new HashSet<>();
    private final Map<JobId, Moment> written = new HashMap<>();
    private final Map<JobId, JobStatus> shown = new HashMap<>();
    private final Set<MachineId> recorded = new HashSet<>();
    /** Jobs that are over: a late change of theirs must not open them again. */
    private final Map<JobId, Boolean> closed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Boolean> eldest) {
            return size() > CLOSED_KEPT;
        }
    };
    private boolean writingMachines;

    Ledger(Reign.Surroundings env, LeaderCore core, Stamp key, Runnable deposed) {
        this.env = env;
        this.core = core;
        this.key = key;
        this.deposed = deposed;
        this.budget = new Budget(env.config().stateLimits().writesPerS() * SHARE, env.clock().now());
        this.duty = new Duty(env.vertx(), "ledger", PERIOD, this::step);
    }

    void start() {
        duty.start();
    }

    void cancel() {
        duty.cancel();
    }

    /** A job has something to be written. */
    void touch(Job job) {
        touched.add(job);
    }

    /** Reads every open job and every machine; returns the revision to watch from. */
    Future<Long> load() {
        Map<JobId, BitSet> bits = new HashMap<>();
        Moment now = env.clock().now();
        // Blocks first: one that is written between the two readings would otherwise be newer than its job.
        return pages(RecordCodec.BITS, e -> RecordCodec.readBlock(e.key(), e.value(),
                bits.computeIfAbsent(RecordCodec.jobOfBlock(e.key()), k -> new BitSet())))
                .compose(r -> pages(RecordCodec.MACHINES, e -> {
                    MachineId id = RecordCodec.machineOf(e.key());
                    recorded.add(id);
                    // Another node wrote this time, by a clock that may be off as far the other way as this one's.
                    Moment existed = steady(e.value().whole("existed")).plus(env.config().clockOff().times(2));
                    core.inherit(id, RecordCodec.readPool(e.value()), steady(e.value().whole("at")), existed, now);
                }))
                .compose(r -> pages(RecordCodec.OPEN, e -> {
                    JobRecord record = RecordCodec.readJob(RecordCodec.jobOf(e.key()), e.value(), e.stamp());
                    add(record, bits.getOrDefault(record.id(), new BitSet()), true);
                }));
    }

    /** Reads the open jobs once more after the watch has lost its place. */
    Future<Long> readAgain() {
        Set<JobId> present = new HashSet<>();
        return pages(RecordCodec.OPEN, e -> {
            JobId id = RecordCodec.jobOf(e.key());
            present.add(id);
            heard(id, e.value(), e.stamp());
        }).map(revision -> {
            for (Job job : new ArrayList<>(core.jobs())) {
                if (!present.contains(job.id()) && job.stamp().value() <= revision) {
                    heardGone(job.id());
                }
            }
            return revision;
        });
    }

    private Future<Long> pages(String prefix, java.util.function.Consumer<StateClient.Entry> each) {
        return page(prefix, null, -1, each);
    }

    private Future<Long> page(String prefix, String after, long first,
                              java.util.function.Consumer<StateClient.Entry> each) {
        return env.state().list(prefix, after, PAGE).compose(page -> {
            page.items().forEach(each);
            long revision = first < 0 ? page.revision() : first;
            if (page.more() && !page.items().isEmpty()) {
                return page(prefix, page.items().get(page.items().size() - 1).key(), revision, each);
            }
            return Future.succeededFuture(revision);
        });
    }

    private Moment steady(long timeOfDay) {
        long ago = Math.max(0, env.clock().timeOfDay() - timeOfDay);
        return env.clock().now().minus(new Span(ago));
    }

    private void add(JobRecord record, BitSet beside, boolean inherited) {
        BitSet done = (BitSet) beside.clone();
        done.or(record.done());
        Job job = new Job(record.spec(), record.submittedMs(), steady(record.submittedMs()), record.stamp(), done,
                inherited);
        core.addJob(job);
        shown.put(job.id(), record.status());
        if (job.isComplete()) {
            touch(job);
        }
    }

    /** An open job's key was written: a new job, or one of this leader's own writes. */
    void heard(JobId id, Fields value, Stamp stamp) {
        Job job = core.job(id);
        if (job == null) {
            if (!closed.containsKey(id)) {
                add(RecordCodec.readJob(id, value, stamp), new BitSet(), false);
            }
        } else {
            core.stamped(job, stamp);
        }
    }

    /** An open job's key is gone: its user has cancelled it, unless this leader has just written its end. */
    void heardGone(JobId id) {
        Job job = core.job(id);
        if (job == null || writing.contains(id) && job.isComplete()) {
            return;
        }
        if (job.isComplete()) {
            // The end was written and its answer lost, or the user cancelled first: the record tells.
            touch(job);
            return;
        }
        LOG.info("job {} is cancelled", id);
        core.cancelJob(id);
        drop(job);
    }

    private void drop(Job job) {
        touched.remove(job);
        shown.remove(job.id());
        written.remove(job.id());
        closed.put(job.id(), true);
    }

    private Future<Span> step() {
        Moment now = env.clock().now();
        for (Job job : core.jobs()) {
            if (job.status() != shown.get(job.id())) {
                touched.add(job);
            }
        }
        writeMachines(now);
        List<Job> ready = new ArrayList<>();
        for (Job job : touched) {
            if (job.isComplete()) {
                ready.add(0, job);
            } else if (now.since(written.getOrDefault(job.id(), Moment.NEVER)).compareTo(GATHER) >= 0) {
                ready.add(job);
            }
        }
        for (Job job : ready) {
            if (writing.size() >= MOST_AT_ONCE) {
                break;
            }
            int writes = job.isComplete() ? 2 + RecordCodec.blocks(job.spec().tasks())
                    : 1 + RecordCodec.blocks(job.spec().tasks());
            if (!writing.contains(job.id()) && budget.take(writes, now)) {
                write(job, now);
            }
        }
        return Future.succeededFuture(PERIOD);
    }

    private void write(Job job, Moment now) {
        JobId id = job.id();
        BitSet done = job.doneTasks();
        boolean complete = job.isComplete();
        JobStatus status = job.status();
        int blocks = RecordCodec.blocks(job.spec().tasks());
        StateClient.Txn txn = new StateClient.Txn().when(RecordCodec.LEADER, key)
                .when(RecordCodec.open(id), job.stamp());
        if (complete) {
            txn.delete(RecordCodec.open(id)).put(RecordCodec.over(id),
                    RecordCodec.writeFinal(JobStatus.DONE, job.spec().tasks()));
            for (int n = 0; n < blocks; n++) {
                txn.delete(RecordCodec.block(id, n));
            }
        } else {
            txn.put(RecordCodec.open(id),
                    RecordCodec.writeJob(job.spec(), job.submittedMs(), status, done, job.running()));
            for (int n = 0; n < blocks; n++) {
                txn.put(RecordCodec.block(id, n), RecordCodec.writeBlock(done, n));
            }
        }
        touched.remove(job);
        writing.add(id);
        written.put(id, now);
        env.state().commit(txn).onComplete(result -> {
            writing.remove(id);
            if (duty.isCancelled()) {
                return;
            }
            if (result.failed()) {
                settle(job, StateClient.surelyNotExecuted(result.cause()));
            } else if (result.result().done()) {
                if (complete) {
                    LOG.info("job {} is done", id);
                    core.closeJob(id);
                    drop(job);
                } else {
                    core.stamped(job, result.result().stamp());
                    job.recorded(done);
                    shown.put(id, status);
                }
            } else if (result.result().failed().contains(RecordCodec.LEADER)) {
                deposed.run();
            } else {
                settle(job, false);
            }
        });
    }

    /** After a write that failed or has an unknown outcome: reads how the job stands. */
    private void settle(Job job, boolean refused) {
        JobId id = job.id();
        touched.add(job);
        if (refused) {
            return;
        }
        writing.add(id);
        env.state().get(RecordCodec.open(id)).compose(open -> {
            if (open != null) {
                core.stamped(job, open.stamp());
                return Future.succeededFuture();
            }
            return env.state().get(RecordCodec.over(id)).map(over -> {
                if (over != null && !duty.isCancelled()) {
                    JobStatus status = RecordCodec.readFinal(id, over.value()).status();
                    LOG.info("job {} is {}", id, status);
                    if (status == JobStatus.CANCELLED) {
                        core.cancelJob(id);
                    } else {
                        core.closeJob(id);
                    }
                    drop(job);
                }
                return null;
            });
        }).onComplete(r -> writing.remove(id));
    }

    /** Records one machine at once, so that its first report can be answered with tasks; false if that must wait. */
    Future<Boolean> record(Machine m) {
        Moment now = env.clock().now();
        if (writingMachines || !budget.take(1, now)) {
            return Future.succeededFuture(false);
        }
        StateClient.Txn txn = new StateClient.Txn().when(RecordCodec.LEADER, key);
        put(txn, m, now);
        return env.state().commit(txn).map(outcome -> {
            if (!duty.isCancelled() && outcome.done()) {
                core.recorded(m.id());
                recorded.add(m.id());
            } else if (!duty.isCancelled()) {
                deposed.run();
            }
            return outcome.done();
        });
    }

    private void put(StateClient.Txn txn, Machine m, Moment now) {
        long today = env.clock().timeOfDay();
        txn.put(RecordCodec.machine(m.id()), RecordCodec.writeMachine(m.pool(), today - now.since(m.rented()).ms(),
                today - now.since(m.existed()).ms()));
    }

    /** Machines must be known to later leaders before they get tasks, and are forgotten once they are gone. */
    private void writeMachines(Moment now) {
        if (writingMachines) {
            return;
        }
        int most = Math.min(env.config().stateLimits().txnOps(), 12);
        StateClient.Txn txn = new StateClient.Txn().when(RecordCodec.LEADER, key);
        List<MachineId> added = new ArrayList<>();
        List<MachineId> removed = new ArrayList<>();
        for (Machine m : core.unrecorded()) {
            if (txn.size() < most) {
                put(txn, m, now);
                added.add(m.id());
            }
        }
        for (Iterator<MachineId> i = recorded.iterator(); i.hasNext() && txn.size() < most;) {
            MachineId id = i.next();
            if (!core.knows(id)) {
                txn.delete(RecordCodec.machine(id));
                removed.add(id);
            }
        }
        if (txn.size() == 0 || !budget.take(txn.size(), now)) {
            return;
        }
        writingMachines = true;
        env.state().commit(txn).onComplete(result -> {
            writingMachines = false;
            if (duty.isCancelled() || result.failed()) {
                return;
            }
            if (!result.result().done()) {
                deposed.run();
                return;
            }
            added.forEach(core::recorded);
            recorded.addAll(added);
            recorded.removeAll(removed);
        });
    }
}
