package io.indigoreach.cluster;

import io.indigoreach.core.Job;
import io.indigoreach.core.JobId;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.net.Budget;
import io.indigoreach.net.Duty;
import io.indigoreach.state.DoneBits;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The blocks of done tasks that stand beside open jobs' records. Each write of blocks goes with the job's record, whose version it
 * changes: carried out late it fails, and takes no newer block back. Blocks of a job that is over are of no use and do no harm,
 * so its end is one short transaction and they are removed afterwards, a few at a time; whoever leads next goes on with that.
 */
final class BlockBook {
    private static final Span PERIOD = Span.seconds(0.5);

    /** What stands beside one job's record. */
    private static final class Beside {
        final BitSet done = new BitSet();
        final Set<String> keys = new TreeSet<>();
        /** The blocks of the write that is under way. */
        Map<String, BitSet> underWay = Map.of();
    }

    private final Reign.Surroundings env;
    private final Stamp key;
    private final Runnable deposed;
    private final Budget budget;
    private final Duty duty;
    private final Map<JobId, Beside> open = new HashMap<>();
    private final Map<JobId, Set<String>> leftOver = new LinkedHashMap<>();

    BlockBook(Reign.Surroundings env, Stamp key, Runnable deposed, Budget budget) {
        this.env = env;
        this.key = key;
        this.deposed = deposed;
        this.budget = budget;
        this.duty = new Duty(env.vertx(), "blocks of jobs that are over", PERIOD, this::sweep);
    }

    void start() {
        duty.start();
    }

    void cancel() {
        duty.cancel();
    }

    void clear() {
        open.clear();
        leftOver.clear();
    }

    /** A block that an earlier leader wrote. */
    void inherit(String block, BitSet done) {
        Beside beside = beside(DoneBits.jobOf(block));
        beside.keys.add(block);
        beside.done.or(done);
    }

    /** All open jobs are known: what stands beside others is left over. */
    void loaded(Set<JobId> jobs) {
        List<JobId> gone =
                open.keySet().stream().filter(id -> !jobs.contains(id)).toList();
        gone.forEach(this::over);
    }

    /** The job is over. */
    void over(JobId id) {
        Beside beside = open.remove(id);
        if (beside != null && !beside.keys.isEmpty()) {
            leftOver.put(id, beside.keys);
        }
    }

    boolean hasRoomInRecord(Job job) {
        return bits().areInRecord(job.spec(), job.submittedMs());
    }

    /** An earlier version accepted a description that does not fit any more: its record stays as it is until its end. */
    boolean canBeWritten(Job job) {
        return bits().canBeWritten(job.spec(), job.submittedMs());
    }

    /** Adds the job's progress to a transaction: its record, and of the blocks that are behind as many as fit beside it. */
    void progress(StateClient.Txn txn, Job job, BitSet done) {
        txn.put(
                RecordCodec.open(job.id()),
                bits().writeJob(job.spec(), job.submittedMs(), job.status(), done, job.running(), job.boundToWrite()));
        if (hasRoomInRecord(job)) {
            return;
        }
        Beside beside = beside(job.id());
        BitSet missing = (BitSet) done.clone();
        missing.andNot(beside.done);
        beside.underWay =
                bits().blocksWith(job.id(), missing, done, env.limits().txnOps() - txn.size());
        beside.underWay.forEach((block, covered) -> txn.put(block, DoneBits.writeBlock(block, covered)));
    }

    /** What the job's write, which is done, has made durable of {@code done}. */
    BitSet written(Job job, BitSet done) {
        if (hasRoomInRecord(job)) {
            return done;
        }
        Beside beside = beside(job.id());
        beside.underWay.forEach((block, covered) -> {
            beside.keys.add(block);
            beside.done.or(covered);
        });
        beside.underWay = Map.of();
        return (BitSet) beside.done.clone();
    }

    /** Not all that is done fitted into the last write. */
    boolean isBehind(Job job) {
        if (hasRoomInRecord(job)) {
            return false;
        }
        BitSet missing = job.doneTasks();
        missing.andNot(beside(job.id()).done);
        return !missing.isEmpty();
    }

    private Beside beside(JobId id) {
        return open.computeIfAbsent(id, k -> new Beside());
    }

    private DoneBits bits() {
        return new DoneBits(env.limits());
    }

    private Future<Span> sweep() {
        if (leftOver.isEmpty()) {
            return Future.succeededFuture(PERIOD);
        }
        JobId id = leftOver.keySet().iterator().next();
        List<String> some =
                leftOver.get(id).stream().limit(env.limits().txnOps()).toList();
        if (!budget.takeSpare(some.size(), env.clock().now())) {
            return Future.succeededFuture(PERIOD);
        }
        return env.state().get(RecordCodec.over(id)).compose(over -> {
            if (over == null) {
                // Its end was lost, or its record cannot be read: the blocks may be of use yet.
                leftOver.remove(id);
                return Future.succeededFuture(Span.ZERO);
            }
            StateClient.Txn txn =
                    new StateClient.Txn().when(RecordCodec.LEADER, key).when(over.key(), over.stamp());
            some.forEach(txn::delete);
            return env.state().commit(txn).map(outcome -> {
                if (outcome.done()) {
                    leftOver.get(id).removeAll(some);
                    if (leftOver.get(id).isEmpty()) {
                        leftOver.remove(id);
                    }
                } else if (!duty.isCancelled() && outcome.failed().contains(RecordCodec.LEADER)) {
                    deposed.run();
                }
                return PERIOD;
            });
        });
    }
}
