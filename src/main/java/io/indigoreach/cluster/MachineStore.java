package io.indigoreach.cluster;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's record of the machines that may hold tasks, many to a page. Machines come up by the hundred within
 * seconds, and the state service takes few changes a second: so those that report while one page is being written go
 * together into the next write. A page's write depends on the page's own version too, since an older write of it that
 * got no answer may still be applied, and must not then take machines off the page. Nor may it make a page anew: a page of this
 * leadership that is empty stays, to be filled again; the next leader removes it, as writes of this one depend on another key.
 */
final class MachineStore {
    private static final Logger LOG = LoggerFactory.getLogger(MachineStore.class);
    private static final Span PERIOD = Span.seconds(0.1);
    /** Between two writes; machines that report meanwhile share the second one. */
    private static final Span WRITE_PERIOD = Span.seconds(0.2);
    /** A report is not kept waiting for its machine's record for longer than this. */
    private static final Span RECORD_TIMEOUT = Span.seconds(1);

    private static final Span COMPACTION_PERIOD = Span.seconds(2);
    private static final int MOST_PAGES = 4;
    /** What a page takes besides its lines. */
    private static final int PAGE_FRAME = JsonSize.of(RecordCodec.writeMachines(List.of()));

    private static final class Page {
        final String key;
        /** Of this leadership: its first write, made while there was no such page, may still be carried out. */
        final boolean own;

        Revision stamp;
        /** A write of it had no answer: its version is to be read before the next one. */
        boolean unsure;
        /** Lines of it stand on other pages, and are still to be taken off this one. */
        boolean isSplit;

        final Map<MachineId, MachineRecord> lines = new LinkedHashMap<>();

        Page(String key, Revision stamp, boolean own) {
            this.key = key;
            this.own = own;
            this.stamp = stamp;
        }

        /** Nothing is on it, and nothing will be. */
        boolean isLeft() {
            return lines.isEmpty() && !own;
        }
    }

    /** A machine whose report waits for its record. */
    private record Waiting(Promise<Boolean> done, Moment since) {}

    private final LeadershipTerm.Context context;
    private final SchedulerCore core;
    private final FencingToken token;
    private final Revision leadershipRevision;
    private final Runnable onDeposed;
    private final RateLimiter writeLimiter;
    private final PeriodicTask writeTask;
    private final List<Page> pages = new ArrayList<>();
    private final Map<MachineId, Waiting> waiting = new LinkedHashMap<>();
    private int pagesMade;
    private Moment lastWriteAt = Moment.NEVER;

    MachineStore(
            LeadershipTerm.Context context,
            SchedulerCore core,
            FencingToken token,
            Revision leadershipRevision,
            Runnable onDeposed,
            RateLimiter writeLimiter) {
        this.context = context;
        this.core = core;
        this.token = token;
        this.leadershipRevision = leadershipRevision;
        this.onDeposed = onDeposed;
        this.writeLimiter = writeLimiter;
        this.writeTask = new PeriodicTask(context.vertx(), "machine book", PERIOD, this::step);
    }

    /** How much a page may hold. */
    static int pageBytes(LeadershipTerm.Context context) {
        return context.limits().maxRecordBytes() - PAGE_FRAME;
    }

    void start() {
        writeTask.start();
    }

    void cancel() {
        writeTask.cancel();
        waiting.values().forEach(w -> w.done.tryComplete(false));
        waiting.clear();
    }

    /** A page that an earlier leader wrote, or this one when it rebuilt. */
    void inherit(String pageKey, Revision stamp, List<MachineRecord> lines) {
        Page page = new Page(pageKey, stamp, pageKey.startsWith(RecordCodec.machinePageKey(token, "")));
        lines.forEach(line -> page.lines.put(line.id(), line));
        // Read before, in a try that failed: two copies of a page would write over each other, and take machines off
        // it.
        pages.removeIf(p -> p.key.equals(pageKey));
        pages.add(page);
    }

    /** Records a machine, so that its first report can be answered with tasks; false if that takes too long now. */
    Future<Boolean> record(Machine machine) {
        Moment now = context.clock().now();
        Waiting w = waiting.computeIfAbsent(machine.id(), id -> new Waiting(Promise.promise(), now));
        if (now.since(lastWriteAt).compareTo(WRITE_PERIOD) >= 0) {
            writeTask.wake();
        }
        return w.done.future();
    }

    private Future<Span> step() {
        Moment now = context.clock().now();
        List<Waiting> late = waiting.values().stream()
                .filter(w -> now.since(w.since).compareTo(RECORD_TIMEOUT) >= 0)
                .toList();
        late.forEach(w -> w.done.tryComplete(false));
        Page unsure = pages.stream().filter(p -> p.unsure).findFirst().orElse(null);
        if (unsure != null) {
            return context.state().get(unsure.key).map(entry -> {
                unsure.stamp = entry == null ? Revision.ABSENT : entry.stamp();
                unsure.unsure = false;
                if (entry == null && unsure.isLeft()) {
                    pages.remove(unsure);
                }
                return Span.ZERO;
            });
        }
        if (now.since(lastWriteAt).compareTo(WRITE_PERIOD) < 0) {
            return Future.succeededFuture(PERIOD);
        }
        Map<Page, List<MachineRecord>> additions = assignToPages();
        if (additions.isEmpty()) {
            return compact(now);
        }
        return writeLimiter.take(additions.size(), now) ? write(additions, now) : Future.succeededFuture(PERIOD);
    }

    /** Finds pages with room for the machines that wait. */
    private Map<Page, List<MachineRecord>> assignToPages() {
        Map<Page, List<MachineRecord>> additions = new LinkedHashMap<>();
        Map<Page, Integer> room = new HashMap<>();
        waiting.entrySet().removeIf(e -> {
            // Gone meanwhile: its report is answered all the same.
            if (core.unrecorded(e.getKey()) != null) {
                return false;
            }
            e.getValue().done.tryComplete(false);
            return true;
        });
        long today = context.clock().timeOfDay();
        Moment now = context.clock().now();
        for (MachineId id : waiting.keySet()) {
            Machine machine = core.unrecorded(id);
            MachineRecord line = new MachineRecord(
                    id,
                    machine.pool(),
                    today - now.since(machine.rentedAt()).ms(),
                    today - now.since(machine.knownToExistAt()).ms());
            int bytes = RecordCodec.bytes(line);
            Page page = null;
            for (Page p : pages) {
                if (room.computeIfAbsent(p, this::room) >= bytes) {
                    page = p;
                    break;
                }
            }
            if (page == null) {
                page = new Page(RecordCodec.machinePageKey(token, ++pagesMade), Revision.ABSENT, true);
                pages.add(page);
                room.put(page, pageBytes(context));
            }
            if (additions.size() >= Math.min(MOST_PAGES, context.limits().txnOps()) && !additions.containsKey(page)) {
                break;
            }
            additions.computeIfAbsent(page, p -> new ArrayList<>()).add(line);
            room.merge(page, -bytes, Integer::sum);
        }
        return additions;
    }

    private int room(Page page) {
        int used = 0;
        for (MachineRecord line : page.lines.values()) {
            used += core.knows(line.id()) ? RecordCodec.bytes(line) : 0;
        }
        return pageBytes(context) - used;
    }

    /**
     * Of a page that a leader under wider limits wrote, the first lines go to a page of this leadership. They stand on both
     * until the rest fits into one value; a machine that stands twice is read once.
     */
    private Future<Span> split(Page page) {
        Page part = new Page(RecordCodec.machinePageKey(token, ++pagesMade), Revision.ABSENT, true);
        for (MachineRecord line : page.lines.values()) {
            part.lines.put(line.id(), line);
            if (room(part) < 0) {
                part.lines.remove(line.id());
                break;
            }
        }
        StateClient.Txn txn = new StateClient.Txn()
                .when(RecordCodec.LEADER, leadershipRevision)
                .when(part.key, Revision.ABSENT)
                .put(part.key, RecordCodec.writeMachines(part.lines.values()));
        pages.add(part);
        return commit(txn, List.of(part), stamp -> {
            part.stamp = stamp;
            page.lines.keySet().removeAll(part.lines.keySet());
            page.isSplit = true;
        });
    }

    private Future<Span> write(Map<Page, List<MachineRecord>> additions, Moment now) {
        StateClient.Txn txn = new StateClient.Txn().when(RecordCodec.LEADER, leadershipRevision);
        additions.forEach((page, lines) -> {
            page.lines.keySet().removeIf(id -> !core.knows(id));
            lines.forEach(line -> page.lines.put(line.id(), line));
            txn.when(page.key, page.stamp).put(page.key, RecordCodec.writeMachines(page.lines.values()));
        });
        lastWriteAt = now;
        return commit(txn, List.copyOf(additions.keySet()), stamp -> {
            additions.forEach((page, lines) -> {
                page.stamp = stamp;
                for (MachineRecord line : lines) {
                    core.recorded(line.id());
                    Waiting w = waiting.remove(line.id());
                    if (w != null) {
                        w.done.tryComplete(true);
                    }
                }
            });
        });
    }

    /** Machines that are gone are taken off their pages when there is nothing else to write. */
    private Future<Span> compact(Moment now) {
        if (now.since(lastWriteAt).compareTo(COMPACTION_PERIOD) < 0) {
            return Future.succeededFuture(PERIOD);
        }
        for (Page page : pages) {
            if (!page.isSplit && !page.isLeft() && page.lines.keySet().stream().allMatch(core::knows)) {
                continue;
            }
            if (!writeLimiter.takeSpare(1, now)) {
                break;
            }
            page.lines.keySet().removeIf(id -> !core.knows(id));
            lastWriteAt = now;
            if (room(page) < 0) {
                return split(page);
            }
            StateClient.Txn txn = new StateClient.Txn()
                    .when(RecordCodec.LEADER, leadershipRevision)
                    .when(page.key, page.stamp);
            if (page.isLeft()) {
                txn.delete(page.key);
            } else {
                txn.put(page.key, RecordCodec.writeMachines(page.lines.values()));
            }
            return commit(txn, List.of(page), stamp -> {
                page.stamp = stamp;
                page.isSplit = false;
                if (page.isLeft()) {
                    pages.remove(page);
                }
            });
        }
        return Future.succeededFuture(PERIOD);
    }

    private Future<Span> commit(StateClient.Txn txn, List<Page> touched, java.util.function.Consumer<Revision> done) {
        return context.state()
                .commit(txn)
                .map(outcome -> {
                    if (writeTask.isCancelled()) {
                        return PERIOD;
                    }
                    if (outcome.done()) {
                        done.accept(outcome.stamp());
                    } else if (outcome.failed().contains(RecordCodec.LEADER)) {
                        onDeposed.run();
                    } else {
                        touched.forEach(p -> p.unsure = true);
                    }
                    return PERIOD;
                })
                .recover(e -> {
                    LOG.debug("machine pages: {}", e.toString());
                    touched.forEach(p -> p.unsure |= !StateClient.surelyNotExecuted(e));
                    return Future.succeededFuture(PERIOD);
                });
    }
}
