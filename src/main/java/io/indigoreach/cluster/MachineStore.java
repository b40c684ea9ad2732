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
 * Records the machines that may run tasks, many machines to a page. Hundreds of machines may boot within seconds, and the state
 * service accepts few writes per second, so machines that send their first heartbeat during a write share the next one.
 *
 * <p>The write of a page is also conditional on the page's own revision, as an older write without a response may still be
 * executed and must not remove machines. Such a write must not create a deleted page again either. An empty page of this term
 * is therefore kept and reused. The next leader deletes it: by then, writes of this term are rejected because the leadership
 * key has changed.
 *
 * <p>Bound to the node's event loop.
 */
final class MachineStore {
    private static final Logger LOG = LoggerFactory.getLogger(MachineStore.class);
    private static final Span STEP_PERIOD = Span.seconds(0.1);
    /** Minimum interval between two writes; machines that send heartbeats in between share the second write. */
    private static final Span MIN_WRITE_INTERVAL = Span.seconds(0.2);
    /** How long a heartbeat response may wait for the record of its machine. */
    private static final Span RECORD_TIMEOUT = Span.seconds(1);

    private static final Span MIN_COMPACTION_INTERVAL = Span.seconds(2);
    private static final int MAX_PAGES_PER_WRITE = 4;

    /** A machine whose heartbeat response waits until the machine is recorded. */
    private record PendingRecord(Promise<Boolean> recorded, Moment requestedAt) {}

    private final LeaderWriteContext writes;
    private final NodeContext context;
    private final SchedulerCore core;
    private final PeriodicTask writeTask;
    private final List<MachinePage> pages = new ArrayList<>();
    private final Map<MachineId, PendingRecord> pendingRecords = new LinkedHashMap<>();
    private int pagesCreated;
    private Moment lastWriteAt = Moment.NEVER;

    MachineStore(LeaderWriteContext writes, SchedulerCore core) {
        this.writes = writes;
        this.context = writes.context();
        this.core = core;
        this.writeTask = new PeriodicTask(context.vertx(), "machine records", STEP_PERIOD, this::step);
    }

    void start() {
        writeTask.start();
    }

    /** Stops writing. Waiting heartbeats receive a response without tasks. */
    void cancel() {
        writeTask.cancel();
        pendingRecords.values().forEach(entry -> entry.recorded().tryComplete(false));
        pendingRecords.clear();
    }

    /** Adds a page that an earlier leader wrote, or that this leader wrote during a rebuild. */
    void addInheritedPage(String pageKey, Revision revision, List<MachineRecord> machines) {
        boolean createdInThisTerm = pageKey.startsWith(RecordKeys.machinePageKey(writes.token(), ""));
        MachinePage page = new MachinePage(pageKey, revision, createdInThisTerm);
        machines.forEach(machine -> page.machines().put(machine.id(), machine));
        // A failed load may have added the page before. Two copies of a page would overwrite each other's machines.
        pages.removeIf(known -> known.key().equals(pageKey));
        pages.add(page);
    }

    /** Records a machine so that the response to its first heartbeat may contain tasks; false after a timeout. */
    Future<Boolean> recordMachine(Machine machine) {
        Moment now = context.clock().now();
        PendingRecord entry =
                pendingRecords.computeIfAbsent(machine.id(), id -> new PendingRecord(Promise.promise(), now));
        if (now.since(lastWriteAt).compareTo(MIN_WRITE_INTERVAL) >= 0) {
            writeTask.wake();
        }
        return entry.recorded().future();
    }

    private Future<Span> step() {
        Moment now = context.clock().now();
        expirePending(now);
        MachinePage pageWithUncertainRevision = pages.stream()
                .filter(MachinePage::isRevisionUncertain)
                .findFirst()
                .orElse(null);
        if (pageWithUncertainRevision != null) {
            return readRevision(pageWithUncertainRevision);
        }
        if (now.since(lastWriteAt).compareTo(MIN_WRITE_INTERVAL) < 0) {
            return Future.succeededFuture(STEP_PERIOD);
        }
        removeReturnedFromPending();
        Map<MachinePage, List<MachineRecord>> additions = assignPendingToPages(now);
        if (additions.isEmpty()) {
            return compactOnePage(now);
        }
        return writes.limiter().tryAcquire(additions.size(), now)
                ? writePages(additions, now)
                : Future.succeededFuture(STEP_PERIOD);
    }

    private void expirePending(Moment now) {
        List<PendingRecord> expired = pendingRecords.values().stream()
                .filter(entry -> now.since(entry.requestedAt()).compareTo(RECORD_TIMEOUT) >= 0)
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

    /** Removes machines that were returned in the meantime. Their heartbeats still receive a response. */
    private void removeReturnedFromPending() {
        pendingRecords.entrySet().removeIf(entry -> {
            if (core.machineToRecord(entry.getKey()).isPresent()) {
                return false;
            }
            entry.getValue().recorded().tryComplete(false);
            return true;
        });
    }

    /** Assigns pending machines to pages with free space, up to the number of pages that one write may contain. */
    private Map<MachinePage, List<MachineRecord>> assignPendingToPages(Moment now) {
        Map<MachinePage, List<MachineRecord>> additions = new LinkedHashMap<>();
        Map<MachinePage, Integer> freeBytes = new HashMap<>();
        long wallClockMs = context.clock().timeOfDay();
        int maxPages = Math.min(MAX_PAGES_PER_WRITE, context.limits().txnOps());
        for (MachineId id : pendingRecords.keySet()) {
            MachineRecord machine = toRecord(core.machineToRecord(id).orElseThrow(), wallClockMs, now);
            int bytes = MachineRecordCodec.encodedBytes(machine);
            MachinePage page = findOrCreatePage(bytes, freeBytes);
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

    private MachinePage findOrCreatePage(int bytes, Map<MachinePage, Integer> freeBytes) {
        for (MachinePage page : pages) {
            if (freeBytes.computeIfAbsent(page, this::freeBytes) >= bytes) {
                return page;
            }
        }
        MachinePage page = newPage();
        pages.add(page);
        freeBytes.put(page, MachinePage.maxMachineBytes(context));
        return page;
    }

    private MachinePage newPage() {
        return new MachinePage(RecordKeys.machinePageKey(writes.token(), ++pagesCreated), Revision.ABSENT, true);
    }

    private int freeBytes(MachinePage page) {
        return page.freeBytes(core, MachinePage.maxMachineBytes(context));
    }

    private Future<Span> writePages(Map<MachinePage, List<MachineRecord>> additions, Moment now) {
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
                machines.forEach(machine -> onMachineRecorded(machine.id()));
            });
        });
    }

    private void onMachineRecorded(MachineId id) {
        core.onMachineRecorded(id);
        PendingRecord entry = pendingRecords.remove(id);
        if (entry != null) {
            entry.recorded().tryComplete(true);
        }
    }

    /** Removes returned machines from one page. Called when no other write is due. */
    private Future<Span> compactOnePage(Moment now) {
        if (now.since(lastWriteAt).compareTo(MIN_COMPACTION_INTERVAL) < 0) {
            return Future.succeededFuture(STEP_PERIOD);
        }
        MachinePage page =
                pages.stream().filter(this::needsCompaction).findFirst().orElse(null);
        if (page == null || !writes.limiter().tryAcquireSpare(1, now)) {
            return Future.succeededFuture(STEP_PERIOD);
        }
        page.removeReturnedMachines(core);
        lastWriteAt = now;
        return freeBytes(page) < 0 ? copyToNewPage(page) : rewritePage(page);
    }

    private boolean needsCompaction(MachinePage page) {
        return page.hasCopiedMachines() || page.isObsolete() || page.hasReturnedMachines(core);
    }

    private Future<Span> rewritePage(MachinePage page) {
        StateClient.Txn txn = writes.newTransaction().when(page.key(), page.revision());
        if (page.isObsolete()) {
            txn.delete(page.key());
        } else {
            txn.put(page.key(), MachineRecordCodec.writeMachines(page.machines().values()));
        }
        return commit(txn, List.of(page), revision -> {
            page.setRevision(revision);
            page.setHasCopiedMachines(false);
            if (page.isObsolete()) {
                pages.remove(page);
            }
        });
    }

    /**
     * Copies the first machines of a page that exceeds the current limits to a new page. An earlier leader wrote the oversized
     * page under higher limits. The machines are on both pages until the rest of the old page fits into one value; a machine
     * that is recorded twice is loaded once.
     */
    private Future<Span> copyToNewPage(MachinePage page) {
        MachinePage newPage = newPage();
        for (MachineRecord machine : page.machines().values()) {
            newPage.machines().put(machine.id(), machine);
            if (freeBytes(newPage) < 0) {
                newPage.machines().remove(machine.id());
                break;
            }
        }
        StateClient.Txn txn = writes.newTransaction()
                .when(newPage.key(), Revision.ABSENT)
                .put(
                        newPage.key(),
                        MachineRecordCodec.writeMachines(newPage.machines().values()));
        pages.add(newPage);
        return commit(txn, List.of(newPage), revision -> {
            newPage.setRevision(revision);
            page.machines().keySet().removeAll(newPage.machines().keySet());
            page.setHasCopiedMachines(true);
        });
    }

    private Future<Span> commit(StateClient.Txn txn, List<MachinePage> written, Consumer<Revision> onCommitted) {
        return context.state()
                .commit(txn)
                .map(outcome -> {
                    if (!writeTask.isCancelled()) {
                        onResponse(outcome, written, onCommitted);
                    }
                    return STEP_PERIOD;
                })
                .recover(failure -> {
                    LOG.debug("machine pages not written cause={}", failure.toString());
                    if (!StateClient.wasNotExecuted(failure)) {
                        written.forEach(page -> page.setRevisionUncertain(true));
                    }
                    return Future.succeededFuture(STEP_PERIOD);
                });
    }

    private void onResponse(StateClient.Outcome outcome, List<MachinePage> written, Consumer<Revision> onCommitted) {
        if (outcome.executed()) {
            onCommitted.accept(outcome.writtenRevision());
        } else if (LeaderWriteContext.isDeposed(outcome)) {
            writes.onLeadershipLost();
        } else {
            written.forEach(page -> page.setRevisionUncertain(true));
        }
    }
}
