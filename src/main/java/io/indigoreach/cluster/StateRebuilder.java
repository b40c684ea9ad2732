package io.indigoreach.cluster;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.WireException;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateCodec;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what controllers remember where the state service has lost it: by a leader that has just taken the key, before it
 * reads the records and gives any order. Every write depends on the leadership key and on the version that was read of what
 * it changes, or on its absence, so that nothing newer is overwritten; each can be repeated, so a rebuilding that ends
 * anywhere is begun again by whoever leads next. Jobs that are over come first: as long as they are missing, a copy of
 * theirs that came back open could be started. The new era is written last, and every write depends on the one before it: a job
 * that came back late, by an earlier try's write, would be taken for a new one, of which nothing runs anywhere.
 */
final class StateRebuilder {
    private static final Logger LOG = LoggerFactory.getLogger(StateRebuilder.class);
    /** Of a transaction, which may have 64 KiB; the rest is for what conditions repeat. */
    private static final int MOST_BYTES = 48 * 1024;

    /** One record's writes, with their conditions; a failed condition says that something newer is there. */
    private record Step(StateClient.Txn txn) {
        int bytes() {
            return JsonSize.of(StateCodec.writeTxn(txn));
        }
    }

    private final LeadershipTerm.Context env;
    private final FencingToken token;
    private final Revision key;
    private final RateLimiter budget;
    private final RememberedState remains;
    private final Map<JobId, JobRecord> open = new HashMap<>();
    /** The versions of all open jobs' records, also of those that cannot be read. */
    private final Map<JobId, Revision> standing = new HashMap<>();
    /** Jobs whose ends are there. */
    private final Set<JobId> over = new HashSet<>();

    private final Map<JobId, BitSet> beside = new HashMap<>();
    private final Set<MachineId> machines = new HashSet<>();
    private final Deque<Step> steps = new ArrayDeque<>();
    /** The version of the era in which data were lost. */
    private Revision era;

    private int pages;
    private int written;
    private int there;

    StateRebuilder(
            LeadershipTerm.Context env, FencingToken token, Revision key, RateLimiter budget, RememberedState remains) {
        this.env = env;
        this.token = token;
        this.key = key;
        this.budget = budget;
        this.remains = remains;
    }

    /** Succeeds when everything is written and the new era begins. */
    Future<Void> run() {
        LOG.warn("rebuilding what was lost from {}", remains);
        return env.state()
                .get(RecordCodec.ERA)
                .map(entry -> era = entry == null ? Revision.ABSENT : entry.stamp())
                .compose(v -> read(RecordCodec.BITS, this::readBlock))
                .compose(v -> read(CompletionBits.SMALL, this::readBlock))
                .compose(v -> read(
                        RecordCodec.OPEN,
                        e -> JobStore.readOrLog(e.key(), () -> {
                            JobId id = RecordCodec.jobOfOpenKey(e.key());
                            standing.put(id, e.stamp());
                            open.put(id, RecordCodec.readJob(id, e.value(), e.stamp()));
                        })))
                .compose(v -> read(
                        RecordCodec.FINAL,
                        e -> JobStore.readOrLog(e.key(), () -> {
                            JobId id = RecordCodec.jobOfFinalKey(e.key());
                            RecordCodec.readFinal(id, e.value());
                            over.add(id);
                        })))
                .compose(v -> read(RecordCodec.MACHINES, e -> {
                    // Names of an earlier try of this leadership are among them.
                    pages++;
                    RecordCodec.readMachines(e.value()).forEach(m -> machines.add(m.id()));
                }))
                .compose(v -> {
                    // Of thousands that are remembered a few are missing: the others cost no change.
                    remains.over().forEach((id, end) -> {
                        if (!over.contains(id) || standing.containsKey(id)) {
                            end(id, end);
                        }
                    });
                    enter(remains.machines().stream()
                            .filter(m -> !machines.contains(m.id()))
                            .toList());
                    remains.open().forEach(this::reopen);
                    return next();
                })
                .compose(v -> others())
                .compose(v -> begin())
                .map(v -> {
                    LOG.warn("rebuilt: {} records written, {} were there", written, there);
                    return null;
                });
    }

    /** Records of the parts beside the jobs, by what each family says. */
    private Future<Void> others() {
        Map<RecordFamily, List<VersionedRecord>> remembered = new LinkedHashMap<>();
        for (VersionedRecord kept : remains.records()) {
            RecordFamily family = env.parts().copies().familyOf(kept.key());
            if (family != null) {
                remembered.computeIfAbsent(family, f -> new ArrayList<>()).add(kept);
            }
        }
        Future<Void> done = Future.succeededFuture();
        for (Map.Entry<RecordFamily, List<VersionedRecord>> e : remembered.entrySet()) {
            Map<String, VersionedRecord> present = new HashMap<>();
            done = done.compose(v -> read(
                            e.getKey().prefix(),
                            entry -> present.put(
                                    entry.key(),
                                    new VersionedRecord(
                                            entry.key(), entry.value().map(), entry.stamp()))))
                    .compose(v -> {
                        for (VersionedRecord kept : e.getValue()) {
                            VersionedRecord there =
                                    present.getOrDefault(kept.key(), VersionedRecord.absent(kept.key()));
                            Map<String, Object> value = e.getKey().mending().mend(there, kept);
                            if (value != null) {
                                steps.add(new Step(
                                        change().when(kept.key(), there.stamp()).put(kept.key(), value)));
                            }
                        }
                        return next();
                    });
        }
        return done;
    }

    /** Begins an era: what is in the state service from now on is all there is. The evidence stays with it. */
    private Future<Void> begin() {
        StateClient state = env.state();
        List<String> findings = new ArrayList<>(state.losses().findings().stream()
                .map(Object::toString)
                .distinct()
                .toList());
        Map<String, Object> next = RecordCodec.writeEra(token, env.clock().timeOfDay(), findings, written);
        while (JsonSize.of(next) > env.limits().maxRecordBytes() && !findings.isEmpty()) {
            findings.remove(0);
            next = RecordCodec.writeEra(token, env.clock().timeOfDay(), findings, written);
        }
        return state.commit(change().put(RecordCodec.ERA, next))
                .compose(outcome -> outcome.done()
                        ? state.check()
                        : Future.failedFuture(new WireException("another node leads, or the era is another")));
    }

    /** What every write depends on. */
    private StateClient.Txn change() {
        return new StateClient.Txn().when(RecordCodec.LEADER, key).when(RecordCodec.ERA, era);
    }

    private Future<Long> read(String prefix, Consumer<StateClient.Entry> each) {
        return JobStore.pages(env.state(), key, prefix, each);
    }

    private void readBlock(StateClient.Entry block) {
        JobStore.readOrLog(
                block.key(),
                () -> CompletionBits.readBlock(
                        block.key(),
                        block.value(),
                        beside.computeIfAbsent(CompletionBits.jobOf(block.key()), k -> new BitSet())));
    }

    private void end(JobId id, RememberedState.FinishedJob end) {
        open.remove(id);
        Revision stamp = standing.getOrDefault(id, Revision.ABSENT);
        StateClient.Txn txn = change().when(RecordCodec.finalKey(id), Revision.ABSENT)
                .when(RecordCodec.openKey(id), stamp)
                .put(RecordCodec.finalKey(id), RecordCodec.writeFinal(end.status(), end.done()));
        if (!stamp.equals(Revision.ABSENT)) {
            txn.delete(RecordCodec.openKey(id));
        }
        steps.add(new Step(txn));
    }

    private void reopen(RememberedState.OpenJob job) {
        JobId id = job.spec().id();
        if (over.contains(id)) {
            return;
        }
        JobRecord kept = open.get(id);
        RememberedState.OpenJob whole = job;
        if (kept != null) {
            BitSet done = (BitSet) kept.done().clone();
            done.or(beside.getOrDefault(id, new BitSet()));
            whole = RememberedState.merged(
                    job, new RememberedState.OpenJob(kept.spec(), kept.submittedMs(), done, kept.bound()));
            if (whole == null) {
                return;
            }
        }
        blocksBefore(id, whole);
        steps.add(new Step(openAs(id)
                .put(
                        RecordCodec.openKey(id),
                        bits().writeJob(
                                        whole.spec(),
                                        whole.submittedMs(),
                                        JobStatus.PENDING,
                                        whole.done(),
                                        0,
                                        whole.bound()))));
    }

    /** What writes of an open job depend on: that it stands as it was read, and is not over. */
    private StateClient.Txn openAs(JobId id) {
        return change().when(RecordCodec.finalKey(id), Revision.ABSENT)
                .when(RecordCodec.openKey(id), standing.getOrDefault(id, Revision.ABSENT));
    }

    /** Before the record: a job whose record is there is taken to be whole by the next try. */
    private void blocksBefore(JobId id, RememberedState.OpenJob job) {
        if (bits().areInRecord(job.spec(), job.submittedMs())) {
            return;
        }
        BitSet missing = (BitSet) job.done().clone();
        missing.andNot(beside.getOrDefault(id, new BitSet()));
        bits().blocksWith(id, missing, job.done(), Integer.MAX_VALUE)
                .forEach((block, covered) ->
                        steps.add(new Step(openAs(id).put(block, CompletionBits.writeBlock(block, covered)))));
    }

    private CompletionBits bits() {
        return new CompletionBits(env.limits());
    }

    /** Machines that no page names, on pages of this leadership: as many to a page as in the machine book. */
    private void enter(List<RememberedState.RentedMachine> missing) {
        Moment now = env.clock().now();
        long today = env.clock().timeOfDay();
        List<MachineRecord> lines = new ArrayList<>();
        int bytes = 0;
        for (RememberedState.RentedMachine m : missing) {
            MachineRecord line = new MachineRecord(
                    m.id(),
                    m.pool(),
                    today - now.since(m.rented()).ms(),
                    today - now.since(m.existed()).ms());
            bytes += RecordCodec.bytes(line);
            if (bytes > MachineStore.pageBytes(env)) {
                page(lines);
                lines.clear();
                bytes = RecordCodec.bytes(line);
            }
            lines.add(line);
        }
        if (!lines.isEmpty()) {
            page(lines);
        }
    }

    private void page(List<MachineRecord> lines) {
        String page = RecordCodec.machinePageKey(token, "r" + ++pages);
        steps.add(new Step(change().when(page, Revision.ABSENT).put(page, RecordCodec.writeMachines(lines))));
    }

    /** Several records go into one transaction; where conditions fail, the others go once more without those. */
    private Future<Void> next() {
        if (steps.isEmpty()) {
            return Future.succeededFuture();
        }
        int most = env.limits().txnOps();
        List<Step> batch = new ArrayList<>();
        int size = 0;
        int bytes = 0;
        while (!steps.isEmpty()
                && (batch.isEmpty()
                        || (size + steps.peek().txn.size() <= most
                                && bytes + steps.peek().bytes() <= MOST_BYTES))) {
            size += steps.peek().txn.size();
            bytes += steps.peek().bytes();
            batch.add(steps.poll());
        }
        return paced(size).compose(v -> write(batch)).compose(v -> next());
    }

    private Future<Void> paced(int writes) {
        if (budget.take(writes, env.clock().now())) {
            return Future.succeededFuture();
        }
        Promise<Void> later = Promise.promise();
        env.vertx().setTimer(50, t -> later.complete());
        return later.future().compose(v -> paced(writes));
    }

    private Future<Void> write(List<Step> batch) {
        Map<String, Revision> conditions = new LinkedHashMap<>();
        StateClient.Txn all = new StateClient.Txn();
        for (Step step : batch) {
            conditions.putAll(step.txn.conditions());
            all.writes().addAll(step.txn.writes());
        }
        conditions.forEach(all::when);
        return env.state().commit(all).compose(outcome -> {
            if (outcome.done()) {
                written += batch.size();
                return Future.succeededFuture();
            }
            if (outcome.failed().contains(RecordCodec.LEADER)
                    || outcome.failed().contains(RecordCodec.ERA)) {
                return Future.failedFuture(new WireException("another node leads, or the era is another"));
            }
            if (outcome.failed().stream()
                    .anyMatch(name -> name.startsWith(RecordCodec.MACHINES) || name.startsWith(RecordCodec.OPEN))) {
                // A page of a try before, whose answer was lost: it may lack machines that hold tasks. An acceptance
                // that comes late:
                // it says that nothing of the job was ever ordered. All is read anew.
                return Future.failedFuture(new WireException("machines or open jobs were written meanwhile"));
            }
            // Written meanwhile, by the answer that was lost or by a user at another node: that is newer, and stays.
            List<Step> rest = batch.stream()
                    .filter(step -> outcome.failed().stream().noneMatch(step.txn.conditions()::containsKey))
                    .toList();
            there += batch.size() - rest.size();
            return rest.isEmpty()
                    ? Future.succeededFuture()
                    : rest.size() == batch.size()
                            ? Future.failedFuture(new WireException("the state service does not say what failed"))
                            : paced(rest.stream()
                                            .mapToInt(step -> step.txn.size())
                                            .sum())
                                    .compose(v -> write(rest));
        });
    }
}
