package io.indigoreach.core.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.dynatrace.hash4j.hashing.Hashing;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What one after the other asks of the registry, and what it says. */
class OwnershipTest {
    private static final int MOST = 12;
    private static final int THOUSANDS = Integer.getInteger("ownership.records", 2_000);

    private final TreeMap<String, VersionedRecord> store = new TreeMap<>();
    private final Registry registry = new Registry(Hashing.xxh3_64()::hashCharsToLong);
    private long era = 1;
    private long now = 1_800_000_000_000L;
    private long revision;
    private int changes;
    private int transactions;

    @BeforeEach
    void begin() {
        assertThrows(Unsettled.class, () -> run(take("early", true, "a/1")));
        run(new Beginning(true, "anna: begun"));
    }

    private <R> R run(Routine<R> routine) {
        StepResult seen = StepResult.empty(era, now);
        for (int steps = 0; steps < 100_000; steps++) {
            Step<R> step = routine.next(seen);
            if (step instanceof Step.End<R> end) {
                return end.result();
            }
            Map<String, VersionedRecord> found = new LinkedHashMap<>();
            if (step instanceof Step.Read<R> read) {
                read.keys().forEach(k -> found.put(k, store.getOrDefault(k, VersionedRecord.absent(k))));
            } else if (step instanceof Step.Scan<R> scan) {
                store.values().stream()
                        .filter(k -> k.key().startsWith(scan.prefix())
                                && (scan.afterKey() == null || k.key().compareTo(scan.afterKey()) > 0))
                        .limit(scan.limit())
                        .forEach(k -> found.put(k.key(), k));
            } else {
                Transaction change = ((Step.Write<R>) step).transaction();
                change.conditions()
                        .forEach((k, s) -> assertEquals(
                                s,
                                store.getOrDefault(k, VersionedRecord.absent(k)).revision()));
                Revision stamp = new Revision(++revision);
                change.writes().forEach((k, v) -> store.put(k, new VersionedRecord(k, v, stamp)));
                changes += change.writes().size();
                transactions++;
                assertTrue(change.writes().size() <= MOST);
                seen = new StepResult(era, now, Map.of(), false, stamp, List.of());
                continue;
            }
            seen = new StepResult(
                    era,
                    now,
                    found,
                    found.size() > 0 && step instanceof Step.Scan<R> s && found.size() == s.limit(),
                    null,
                    List.of());
        }
        throw new AssertionError("it does not end");
    }

    private static List<RecordId> ids(String... texts) {
        return java.util.Arrays.stream(texts).map(RecordId::new).toList();
    }

    private Take take(String run, boolean last, String... ids) {
        return new Take(registry, MOST, run, ids(ids), last);
    }

    private Outcome billing(String holder, String task, long attempt, String id) {
        return run(Edit.billing(registry, MOST, holder, task, attempt, ids(id)));
    }

    private Outcome billed(String holder, String task, long attempt, String id, long fence) {
        return run(Edit.billed(registry, MOST, holder, task, attempt, Map.of(new RecordId(id), fence)));
    }

    private String state(String id) {
        return run(Edit.show(registry, ids(id))).get(new RecordId(id)).state();
    }

    private long fence(Outcome o, String id) {
        return o.done().get(new RecordId(id)).fence();
    }

    @Test
    void aClaimOfMorePartsHoldsFromItsLastOneOn() {
        assertTrue(run(take("e1", false, "a/1", "b/1")).isDone());
        assertEquals("being claimed", state("a/1"));
        assertFalse(billing("e1", "", 0, "a/1").isDone());
        assertTrue(run(take("e1", true, "a/2")).isDone());
        assertEquals("claimed", state("a/1"));
        assertTrue(run(take("e1", true, "a/2")).isDone(), "a repeat");
        assertFalse(run(take("e1", true, "a/3")).isDone(), "it was concluded");
        assertFalse(run(take("e2", true, "c/1", "a/2")).isDone());
        assertEquals("free", state("c/1"), "all or none");
        run(new Ending("e1"));
        assertFalse(run(take("e2", true, "c/1", "a/2")).isDone(), "the same answer under the same name");
        assertTrue(run(take("e3", true, "a/1", "a/2", "b/1", "c/1")).isDone());
    }

    @Test
    void theYoungerOfTwoThatAreBeingPreparedGivesWay() {
        run(take("old", false, "a/1"));
        now += 10;
        run(take("young", false, "a/2"));
        assertTrue(run(take("young", true, "a/1")).waits());
        assertTrue(run(take("old", true, "a/2")).isDone());
        assertFalse(run(take("young", true, "a/1")).isDone());
    }

    @Test
    void bothStepsAndTheirRepeats() {
        run(take("e1", true, "a/1"));
        assertFalse(billed("e1", "", 0, "a/1", 1).isDone(), "billing comes first");
        long first = fence(billing("e1", "", 0, "a/1"), "a/1");
        assertEquals(first, fence(billing("e1", "", 0, "a/1"), "a/1"));
        long second = fence(billing("e1", "", 1, "a/1"), "a/1");
        assertTrue(second > first);
        assertFalse(billing("e1", "", 0, "a/1").isDone(), "replaced");
        assertFalse(billed("e1", "", 0, "a/1", first).isDone(), "replaced");
        assertFalse(billing("e2", "", 5, "a/1").isDone());
        assertFalse(run(Edit.release(registry, MOST, "e1", ids("a/1"))).isDone(), "begun");
        assertTrue(billed("e1", "", 1, "a/1", second).isDone());
        assertTrue(billed("e1", "", 1, "a/1", second).isDone(), "a repeat");
        assertEquals(
                Entry.State.BILLED,
                billing("e1", "", 2, "a/1").done().get(new RecordId("a/1")).state());
        assertFalse(
                run(Edit.resolve(registry, MOST, Entry.State.DOUBT, "anna: why", ids("a/1")))
                        .isDone(),
                "final");
    }

    @Test
    void aPersonPutsInDoubtFirst() {
        run(take("e1", true, "a/1", "a/2"));
        long begun = fence(billing("e1", "", 0, "a/1"), "a/1");
        assertFalse(run(Edit.resolve(registry, MOST, Entry.State.FREE, "anna: gone", ids("a/1")))
                .isDone());
        Outcome doubt = run(Edit.resolve(registry, MOST, Entry.State.DOUBT, "anna: gone", ids("a/1")));
        assertTrue(fence(doubt, "a/1") > begun);
        assertFalse(billing("e1", "", 1, "a/1").isDone(), "nobody goes on");
        assertTrue(run(Edit.resolve(registry, MOST, Entry.State.FREE, "anna: not in the books", ids("a/1", "a/2")))
                .isDone());
        assertTrue(run(take("e2", true, "a/1", "a/2")).isDone());
        assertTrue(fence(billing("e2", "", 0, "a/1"), "a/1") > fence(doubt, "a/1"));
    }

    @Test
    void aJobsTasksGetAllOfTheirRecordsOrWait() {
        run(take("e1", true, "a/1"));
        JobRecords wants = new JobRecords(ids("a/0", "a/1", "a/2", "a/3"), 2);
        Grant.Given given = run(new Grant(registry, MOST, "run-1", wants, new BitSet(), true));
        assertEquals("{0}", given.held().toString());
        assertEquals("free", state("a/0"), "nothing is kept while another is waited for");
        assertEquals("being claimed", state("a/2"));
        given.commit().writes().forEach((k, v) -> store.put(k, new VersionedRecord(k, v, new Revision(++revision))));
        assertTrue(billing("run-1", "1", 9, "a/3").isDone());
        assertFalse(billing("run-1", "0", 9, "a/2").isDone(), "another task's");
        run(Edit.release(registry, MOST, "e1", ids("a/1")));
        assertTrue(run(new Grant(registry, MOST, "run-1", wants, new BitSet(), false))
                .held()
                .isEmpty());
        assertTrue(billing("run-1", "0", 9, "a/1").isDone());
        assertEquals(
                List.of("a/3 is billing by run-1/1 since 1800000000"),
                run(new Grant(registry, MOST, "run-2", new JobRecords(ids("a/3"), 1), new BitSet(), true))
                        .against());
    }

    @Test
    void aJobThatIsOverGivesBackWhatItHadNotBegun() {
        JobRecords wants = new JobRecords(ids("a/1", "a/2"), 2);
        run(new Grant(registry, MOST, "run-1", wants, new BitSet(), true))
                .commit()
                .writes()
                .forEach((k, v) -> store.put(k, new VersionedRecord(k, v, new Revision(++revision))));
        billing("run-1", "0", 3, "a/1");
        store.put("f/run-1", new VersionedRecord("f/run-1", Map.of("n", 1L), new Revision(++revision)));
        ClaimCollector tidy =
                new ClaimCollector(new ClaimCollector.Jobs(n -> n.startsWith("run-"), n -> "j/" + n, n -> "f/" + n));
        for (int round = 0; round < 3; round++) {
            Span wait = run(tidy.newRound());
            assertTrue(wait.ms() > 0);
        }
        assertEquals(List.of("in doubt", "free"), List.of(state("a/1"), state("a/2")));
        assertTrue(billing("run-1", "0", 3, "a/1").isDone(), "the same name goes on");
        int before = changes;
        run(tidy.newRound());
        assertEquals(before, changes, "nothing is left to be done");
    }

    @Test
    void afterALossWhatIsNotNamedIsUnknownAndFencesGoOnAbove() {
        run(take("e1", true, "a/1", "b/1"));
        long before = fence(billing("e1", "", 0, "a/1"), "a/1");
        store.keySet().removeIf(k -> k.startsWith("own/p/b/"));
        era = Registry.baseOf(now) >> 16;
        assertEquals(List.of("billing", "unknown", "unknown"), List.of(state("a/1"), state("b/1"), state("c/1")));
        assertFalse(run(take("e2", true, "c/1")).isDone());
        assertTrue(billing("e1", "", 0, "a/1").isDone(), "the holder goes on");
        run(Edit.resolve(registry, MOST, Entry.State.DOUBT, "anna: lost", ids("b/1")));
        assertTrue(run(Edit.resolve(registry, MOST, Entry.State.FREE, "anna: not in the books", ids("b/1")))
                .isDone());
        assertEquals("free", state("b/1"));
        assertTrue(run(new Beginning(false, "anna: compared")).isDone());
        assertTrue(run(take("e3", true, "b/1", "c/1")).isDone());
        assertTrue(fence(billing("e3", "", 0, "b/1"), "b/1") > before);
    }

    @Test
    void thousandsOfRecordsInOneClaim() {
        List<RecordId> all = JobRecords.range("KL-0012/farm-", 1, THOUSANDS).stream()
                .sorted(registry.order())
                .toList();
        for (int from = 0; from < all.size(); from += 400) {
            assertTrue(run(new Take(registry, MOST, "e1", all.subList(from, from + 400), from + 400 == all.size()))
                    .isDone());
        }
        long pages = store.keySet().stream()
                .filter(k -> k.startsWith(Registry.PAGES))
                .count();
        long bytes = store.values().stream()
                .mapToLong(k -> k.value().toString().length())
                .sum();
        System.err.println(all.size() + " records: " + changes + " changes in " + transactions + " transactions, "
                + pages + " pages, " + bytes + " bytes");
        assertTrue(changes < all.size() / 5, changes + " changes");
        changes = 0;
        run(new Ending("e1"));
        assertEquals(1, changes);
        assertTrue(store.values().stream().allMatch(k -> k.value().toString().length() < 8_000));
        Grant.Given given =
                run(new Grant(registry, MOST, "run-7", new JobRecords(all, all.size()), new BitSet(), true));
        assertTrue(given.held().isEmpty());
        System.err.println("claimed anew: " + changes + " changes");
    }

    @Test
    void aPageIsReadAsItWasWrittenAndHashesStayAsTheyAre() {
        Page page = Page.EMPTY.with(Map.of(
                "a/1",
                new Entry(Entry.State.BILLING, 1L << 50, "run-1", "3", 1L << 60, 1_800_000_000_000L),
                "a/2",
                new Entry(Entry.State.FREE, 7, "anna: looked, it is not there", "", 0, 5)));
        assertEquals(page, Page.read(page.write()));
        // Records are found by it for ever: another hash, or another version of it, would lose them.
        assertEquals(HASH, Hashing.xxh3_64().hashCharsToLong("KL-0012/farm-1"));
    }

    private static final long HASH = -7045284854184890176L;
}
