package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reads the pages and claims that some records lie on, and then asks again and again what is left to be done, until nothing is.
 * So a write that was refused, or whose answer was lost and which is repeated by another process, needs no case of its own:
 * what is done already is found done. Every write depends on all that it was decided by.
 */
abstract class Work<R> implements Routine<R> {
    private static final int MOST_REFUSED = 12;
    private static final int MOST_BYTES = 52_000;
    /** A transaction takes four times as many conditions as writes; the era and the leader's key are among them. */
    private static final int MOST_CONDITIONS = 3;

    final Registry registry;
    private final int most;
    private final Collection<RecordId> ids;
    private final Map<String, VersionedRecord> have = new HashMap<>();
    private final Map<String, Page> pages = new HashMap<>();
    private final Map<RecordId, String> leaves = new HashMap<>();
    /** What a refused write depended on. */
    private final Set<String> again = new LinkedHashSet<>();

    private Transaction underWay;
    private int refused;
    private long era;
    private long now;

    /** @param most changes in one transaction */
    Work(Registry registry, int most, Collection<RecordId> ids) {
        this.registry = registry;
        this.most = most;
        this.ids = ids;
    }

    /** What is left to be done, as things stand. */
    abstract Step<R> plan();

    /** Further keys to be read. */
    List<String> others() {
        return List.of();
    }

    @Override
    public final Step<R> next(StepResult seen) {
        if (seen.era() != era) {
            have.clear();
            pages.clear();
            leaves.clear();
            era = seen.era();
        }
        now = seen.timeOfDayMs();
        if (underWay == null) {
            seen.records().values().forEach(this::has);
        } else if (seen.isWritten()) {
            underWay.writes().forEach((key, value) -> has(new VersionedRecord(key, value, seen.writtenRevision())));
        } else {
            if (++refused > MOST_REFUSED) {
                throw new Unsettled("these records change at this moment");
            }
            underWay.conditions().keySet().forEach(key -> {
                have.remove(key);
                pages.remove(key);
                again.add(key);
            });
        }
        underWay = null;
        List<String> missing = missing();
        Step<R> step = missing.isEmpty() ? plan() : new Step.Read<>(missing);
        if (step instanceof Step.Write<R> write) {
            underWay = write.transaction();
        }
        return step;
    }

    private void has(VersionedRecord record) {
        have.put(record.key(), record);
        pages.remove(record.key());
        if (record.key().equals(Registry.ROOT)) {
            if (!record.exists()) {
                throw new Unsettled("no registry of records has begun here: an operator begins it with records begin");
            }
            registry.saw(Registry.Root.read(record.value()), era);
        }
    }

    private List<String> missing() {
        Set<String> missing = new LinkedHashSet<>(others());
        if (registry.root(era) == null) {
            missing.add(Registry.ROOT);
        }
        for (RecordId id : ids) {
            String key = leaf(id);
            while (have.containsKey(key) && page(key).divided()) {
                registry.isDivided(key);
                key = registry.leaf(id);
                leaves.put(id, key);
            }
            Entry entry = have.containsKey(key) ? page(key).entries().get(id.text()) : null;
            missing.add(key);
            if (entry != null && entry.state() == Entry.State.CLAIMED) {
                missing.add(Registry.claimKey(entry.holder()));
            }
        }
        missing.addAll(again);
        again.clear();
        missing.removeIf(have::containsKey);
        return new ArrayList<>(missing);
    }

    /** Found once for each record: hashing thousands for each of a claim's writes would hold everything else up. */
    private String leaf(RecordId id) {
        return leaves.computeIfAbsent(id, registry::leaf);
    }

    final long now() {
        return now;
    }

    final long era() {
        return era;
    }

    final VersionedRecord kept(String key) {
        return have.getOrDefault(key, VersionedRecord.absent(key));
    }

    final Registry.Root root() {
        Registry.Root known = registry.root(era);
        return known != null
                ? known
                : Registry.Root.read(have.get(Registry.ROOT).value());
    }

    /** A claim that was read; null if there is none. */
    final Claim claim(String holder) {
        return Claim.read(kept(Registry.claimKey(holder)).value());
    }

    final Page page(String key) {
        return pages.computeIfAbsent(key, k -> Page.read(kept(k).value()));
    }

    /** How a record stands. */
    final Look look(RecordId id) {
        Entry entry = page(leaf(id)).entries().get(id.text());
        // After a loss only what was said since, and what is billed or under way, can be believed.
        boolean old = root().era() < era && (entry == null || !Registry.isOf(era, entry.fence()));
        Look.Standing gone = old ? Look.Standing.UNKNOWN : Look.Standing.FREE;
        if (entry == null) {
            return new Look(id, gone, null, null);
        }
        Claim claim = entry.state() == Entry.State.CLAIMED ? claim(entry.holder()) : null;
        return new Look(
                id,
                switch (entry.state()) {
                    case FREE -> gone;
                    case BILLING -> Look.Standing.BILLING;
                    case BILLED -> Look.Standing.BILLED;
                    case DOUBT -> Look.Standing.DOUBT;
                    case CLAIMED ->
                        claim == null
                                ? Look.Standing.DOUBT
                                : claim.life() != entry.attempt()
                                        ? gone
                                        : switch (claim.state()) {
                                            case OPEN -> Look.Standing.PREPARED;
                                            case HELD -> Look.Standing.CLAIMED;
                                            case ENDED -> gone;
                                        };
                },
                entry,
                claim);
    }

    /** The next fence of a page: above all that were given there, and all that may have been given before a loss. */
    final long fence(Page page) {
        return Math.max(page.floor(), Registry.base(root(), era)) + 1;
    }

    /** What one record becomes, given the fence that is next on its page; null: its entry is dropped. */
    interface Become {
        Entry with(long fence);
    }

    /**
     * As many of these changes as one transaction takes beside {@code beside} others, with all that they were decided by; where
     * a page has no room, it is divided first.
     */
    final Batch batch(Map<RecordId, Become> wanted, int beside) {
        Map<String, List<RecordId>> byPage = new TreeMap<>();
        wanted.keySet()
                .forEach(id ->
                        byPage.computeIfAbsent(leaf(id), k -> new ArrayList<>()).add(id));
        Batch batch = new Batch();
        int bytes = 0;
        for (Map.Entry<String, List<RecordId>> e : byPage.entrySet()) {
            Page page = page(e.getKey());
            int cost = page.cost();
            long fence = fence(page);
            Map<String, Entry> fitted = new LinkedHashMap<>();
            for (RecordId id : e.getValue()) {
                Entry next = wanted.get(id).with(fence);
                int more = cost - Page.cost(id.text(), page.entries().get(id.text())) + Page.cost(id.text(), next);
                if (more > Page.MOST && more > cost) {
                    break;
                }
                cost = more;
                fence += next != null && next.fence() == fence ? 1 : 0;
                fitted.put(id.text(), next);
            }
            if (fitted.size() < e.getValue().size() && page.cost() > Page.MOST / 2) {
                return batch.records.isEmpty() ? divide(e.getKey()) : batch;
            }
            bytes += cost;
            if (!batch.records.isEmpty()
                    && (batch.change.writes().size() + 1 + beside > most
                            || bytes > MOST_BYTES
                            || batch.change.conditions().size() > most * MOST_CONDITIONS)) {
                return batch;
            }
            batch.change.replace(kept(e.getKey()), page.with(fitted).write());
            for (RecordId id : e.getValue().subList(0, fitted.size())) {
                Look look = look(id);
                if (look.claim() != null) {
                    batch.change.when(kept(Registry.claimKey(look.entry().holder())));
                }
                batch.records.add(id);
            }
        }
        batch.whole = batch.records.size() == wanted.size();
        return batch;
    }

    /** A part of the wanted changes. */
    static final class Batch {
        final Transaction change = new Transaction();
        final Set<RecordId> records = new LinkedHashSet<>();
        /** Nothing is left after it. */
        boolean whole;
    }

    /** Both halves of a page and its new word, in one transaction. Halves may stand there from before a loss: then both count. */
    private Batch divide(String key) {
        Batch batch = new Batch();
        Page page = page(key);
        Map<String, Map<String, Entry>> halves = new LinkedHashMap<>();
        halves.put(key + "0", new LinkedHashMap<>());
        halves.put(key + "1", new LinkedHashMap<>());
        page.entries().forEach((id, entry) -> {
            String half = registry.half(key, id);
            Entry there = page(half).entries().get(id);
            if (there == null || there.fence() < entry.fence()) {
                halves.get(half).put(id, entry);
            }
        });
        batch.change.replace(kept(key), new Page(page.floor(), true, page.entries()).write());
        halves.forEach((half, entries) -> {
            Page there = page(half);
            batch.change.replace(
                    kept(half),
                    new Page(Math.max(page.floor(), there.floor()), there.divided(), there.entries())
                            .with(entries)
                            .write());
        });
        return batch;
    }
}
