package io.indigoreach.cluster;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's records of machines that may run tasks, many to a page. Hundreds of machines may boot within seconds, and the state
 * service takes few writes per second, so machines that send their first heartbeat during a write share the next one.
 *
 * <p>The write of a page is conditional on the page's own revision too: an older write that had no response may still be executed,
 * and must not remove machines. Nor may it create a page again. An empty page of this leadership is therefore kept and filled
 * again; the next leader deletes it, as writes of this term are conditional on another revision of the leadership key.
 *
 * <p>Bound to the node's event loop.
 */
final class MachineStore {
    private static final Logger LOG = LoggerFactory.getLogger(MachineStore.class);
    private static final Span PERIOD = Span.seconds(0.1);
    /** Between two writes; machines that send heartbeats meanwhile share the second one. */
    private static final Span WRITE_PERIOD = Span.seconds(0.2);
    /** How long the response to a heartbeat may wait for its machine's record. */
    private static final Span RECORD_TIMEOUT = Span.seconds(1);

    private static final Span COMPACTION_PERIOD = Span.seconds(2);
    private static final int MAX_PAGES_PER_WRITE = 4;

    /** A machine whose heartbeat waits for its record. */
    private record PendingRecord(Promise<Boolean> recorded, Moment since) {}

    private final LeaderWrites writes;
    private final NodeContext context;
    private final SchedulerCore core;
    private final PeriodicTask writeTask;
    private final List<MachinePage> pages = new ArrayList<>();
    private final Map<MachineId, PendingRecord> pending = new LinkedHashMap<>();
    private int pagesCreated;
    private Moment lastWriteAt = Moment.NEVER;

    MachineStore(LeaderWrites writes, SchedulerCore core) {
        this.writes = writes;
        this.context = writes.context();
        this.core = core;
        this.writeTask = new PeriodicTask(context.vertx(), "machine records", PERIOD, this::step);
    }

    void start() {
        writeTask.start();
    }

    /** Ends the writes; heartbeats that wait for a record are answered without tasks. */
    void cancel() {
        writeTask.cancel();
        pending.values().forEach(entry -> entry.recorded().tryComplete(false));
        pending.clear();
    }

    /** Takes over a page that an earlier leader wrote, or this one during a rebuild. */
    void inherit(String pageKey, Revision revision, List<MachineRecord> machines) {
        boolean own = pageKey.startsWith(RecordKeys.machinePageKey(writes.token(), ""));
        MachinePage page = new MachinePage(pageKey, revision, own);
        machines.forEach(machine -> page.machines().put(machine.id(), machine));
        // A load that failed may have read it before: two copies of a page would overwrite each other and remove
        // machines.
        pages.removeIf(known -> known.key().equals(pageKey));
        pages.add(page);
    }

    /** Records a machine, so that its first heartbeat can be answered with tasks; false if that takes too long now. */
    Future<Boolean> record(Machine machine) {
        Moment now = context.clock().now();
        PendingRecord entry = pending.computeIfAbsent(machine.id(), id -> new PendingRecord(Promise.promise(), now));
        if (now.since(lastWriteAt).compareTo(WRITE_PERIOD) >= 0) {
            writeTask.wake();
        }
        return entry.recorded().future();
    }

    private Future<Span> step() {
        Moment now = context.clock().now();
        expirePending(now);
        MachinePage uncertain = pages.stream()
                .filter(MachinePage::isRevisionUncertain)
                .findFirst()
                .orElse(null);
        if (uncertain != null) {
            return readRevision(uncertain);
        }
        if (now.since(lastWriteAt).compareTo(WRITE_PERIOD) < 0) {
            return Future.succeededFuture(PERIOD);
        }
        removeReturnedFromPending();
        Map<MachinePage, List<MachineRecord>> additions = assignToPages(now);
        if (additions.isEmpty()) {
            return compact(now);
        }
        return writes.limiter().tryAcquire(additions.size(), now)
                ? write(additions, now)
                : Future.succeededFuture(PERIOD);
    }

    private void expirePending(Moment now) {
        List<PendingRecord> expired = pending.values().stream()
                .filter(entry -> now.since(entry.since()).compareTo(RECORD_TIMEOUT) >= 0)
                .toList();
        expired.forEach(entry -> entry.recorded().tryComplete(false));
    }

    private Future<Span> readRevision(MachinePage page) {
        return context.state().get(page.key()).map(entry -> {
            page.setRevision(entry == null ? Revision.ABSENT : entry.revision());
            page.setRevisionUncertain(false);
            if (entry == null && page.isObsolete()) {
                pages.remove(page);
            }
            return Span.ZERO;
        });
    }

    /** Machines that were returned meanwhile are not recorded, but their heartbeats are answered all the same. */
    private void removeReturnedFromPending() {
        pending.entrySet().removeIf(entry -> {
            if (core.unrecorded(entry.getKey()).isPresent()) {
                return false;
            }
            entry.getValue().recorded().tryComplete(false);
            return true;
        });
    }

    /** Finds pages with room for the pending machines, as many as one write may contain. */
    private Map<MachinePage, List<MachineRecord>> assignToPages(Moment now) {
        Map<MachinePage, List<MachineRecord>> additions = new LinkedHashMap<>();
        Map<MachinePage, Integer> freeBytes = new HashMap<>();
        long wallClockMs = context.clock().timeOfDay();
        int maxPages = Math.min(MAX_PAGES_PER_WRITE, context.limits().txnOps());
        for (MachineId id : pending.keySet()) {
            MachineRecord machine = toRecord(core.unrecorded(id).orElseThrow(), wallClockMs, now);
            int bytes = MachineRecordCodec.bytes(machine);
            MachinePage page = pageWithRoom(bytes, freeBytes);
            if (additions.size() >= maxPages && !additions.containsKey(page)) {
                break;
            }
            additions.computeIfAbsent(page, added -> new ArrayList<>()).add(machine);
            freeBytes.merge(page, -bytes, Integer::sum);
        }
        return additions;
    }

    private static MachineRecord toRecord(Machine machine, long wallClockMs, Moment now) {
        return new MachineRecord(
                machine.id(),
                machine.pool(),
                wallClockMs - now.since(machine.rentedAt()).ms(),
                wallClockMs - now.since(machine.knownToExistAt()).ms());
    }

    private MachinePage pageWithRoom(int bytes, Map<MachinePage, Integer> freeBytes) {
        for (MachinePage page : pages) {
            if (freeBytes.computeIfAbsent(page, this::freeBytes) >= bytes) {
                return page;
            }
        }
        MachinePage page = newPage();
        pages.add(page);
        freeBytes.put(page, MachinePage.capacity(context));
        return page;
    }

    private MachinePage newPage() {
        return new MachinePage(RecordKeys.machinePageKey(writes.token(), ++pagesCreated), Revision.ABSENT, true);
    }

    private int freeBytes(MachinePage page) {
        return page.freeBytes(core, MachinePage.capacity(context));
    }

    private Future<Span> write(Map<MachinePage, List<MachineRecord>> additions, Moment now) {
        StateClient.Txn txn = writes.newTransaction();
        additions.forEach((page, machines) -> {
            page.removeReturnedMachines(core);
            machines.forEach(machine -> page.machines().put(machine.id(), machine));
            txn.when(page.key(), page.revision())
                    .put(
                            page.key(),
                            MachineRecordCodec.writeMachines(page.machines().values()));
        });
        lastWriteAt = now;
        return commit(txn, List.copyOf(additions.keySet()), revision -> {
            additions.forEach((page, machines) -> {
                page.setRevision(revision);
                machines.forEach(machine -> onRecorded(machine.id()));
            });
        });
    }

    private void onRecorded(MachineId id) {
        core.recorded(id);
        PendingRecord entry = pending.remove(id);
        if (entry != null) {
            entry.recorded().tryComplete(true);
        }
    }

    /** Removes returned machines from one page while there is nothing else to write. */
    private Future<Span> compact(Moment now) {
        if (now.since(lastWriteAt).compareTo(COMPACTION_PERIOD) < 0) {
            return Future.succeededFuture(PERIOD);
        }
        MachinePage page =
                pages.stream().filter(this::needsCompaction).findFirst().orElse(null);
        if (page == null || !writes.limiter().tryAcquireSpare(1, now)) {
            return Future.succeededFuture(PERIOD);
        }
        page.removeReturnedMachines(core);
        lastWriteAt = now;
        return freeBytes(page) < 0 ? split(page) : rewrite(page);
    }

    private boolean needsCompaction(MachinePage page) {
        return page.isSplit() || page.isObsolete() || page.hasReturnedMachines(core);
    }

    private Future<Span> rewrite(MachinePage page) {
        StateClient.Txn txn = writes.newTransaction().when(page.key(), page.revision());
        if (page.isObsolete()) {
            txn.delete(page.key());
        } else {
            txn.put(page.key(), MachineRecordCodec.writeMachines(page.machines().values()));
        }
        return commit(txn, List.of(page), revision -> {
            page.setRevision(revision);
            page.setSplit(false);
            if (page.isObsolete()) {
                pages.remove(page);
            }
        });
    }

    /**
     * Copies the first machines of a page that a leader under wider limits wrote to a page of this leadership. They are on both
     * until the rest fits into one value; a machine that is recorded twice is loaded once.
     */
    private Future<Span> split(MachinePage page) {
        MachinePage part = newPage();
        for (MachineRecord machine : page.machines().values()) {
            part.machines().put(machine.id(), machine);
            if (freeBytes(part) < 0) {
                part.machines().remove(machine.id());
                break;
            }
        }
        StateClient.Txn txn = writes.newTransaction()
                .when(part.key(), Revision.ABSENT)
                .put(
                        part.key(),
                        MachineRecordCodec.writeMachines(part.machines().values()));
        pages.add(part);
        return commit(txn, List.of(part), revision -> {
            part.setRevision(revision);
            page.machines().keySet().removeAll(part.machines().keySet());
            page.setSplit(true);
        });
    }

    private Future<Span> commit(StateClient.Txn txn, List<MachinePage> written, Consumer<Revision> onDone) {
        return context.state()
                .commit(txn)
                .map(outcome -> {
                    if (!writeTask.isCancelled()) {
                        onResponse(outcome, written, onDone);
                    }
                    return PERIOD;
                })
                .recover(failure -> {
                    LOG.debug("machine pages not written cause={}", failure.toString());
                    if (!StateClient.surelyNotExecuted(failure)) {
                        written.forEach(page -> page.setRevisionUncertain(true));
                    }
                    return Future.succeededFuture(PERIOD);
                });
    }

    private void onResponse(StateClient.Outcome outcome, List<MachinePage> written, Consumer<Revision> onDone) {
        if (outcome.done()) {
            onDone.accept(outcome.writtenRevision());
        } else if (LeaderWrites.isDeposed(outcome)) {
            writes.deposed();
        } else {
            written.forEach(page -> page.setRevisionUncertain(true));
        }
    }
}
