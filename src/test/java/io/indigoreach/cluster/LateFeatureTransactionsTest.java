package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderHarness.await;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.calendar.CalendarVersion;
import io.indigoreach.core.calendar.Publishing;
import io.indigoreach.core.calendar.Replacing;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.ownership.Beginning;
import io.indigoreach.core.ownership.Ending;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RoutineRunner;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests transactions of optional features that get no response ({@link LateTransactionsHarness}). */
class LateFeatureTransactionsTest extends LateTransactionsHarness {
    private RoutineRunner records() {
        List<RecordFamily> families = new ArrayList<>(Registry.FAMILIES);
        families.add(CalendarVersion.FAMILY);
        families.add(CalendarVersion.TEXT_FAMILY);
        families.add(new RecordFamily("x/", 10, false, RecordFamily.Mending.NEWER));
        return new RoutineRunner(vertx, client, clock, new RecordCache(families));
    }

    private static Routine<Boolean> removing(String key) {
        return seen -> seen.isWritten() || !seen.failed().isEmpty()
                ? new Step.End<>(seen.isWritten())
                : seen.records().isEmpty()
                        ? new Step.Read<>(List.of(key))
                        : new Step.Write<>(
                                new Transaction().when(seen.record(key)).delete(key));
    }

    /** Runs a routine whose write gets no response, repeats it, and then executes the first write late. */
    private <R> void twice(String key, RoutineRunner records, Supplier<Routine<R>> routine) throws Exception {
        loseOne(key);
        assertTrue(await(records.run(routine.get()).map(false).otherwise(true)));
        await(records.run(routine.get()));
        changesNothingMore();
    }

    private static final Map<String, Case<LateFeatureTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put(
                "creation of a record, executed after its retry",
                test -> test.twice("x/", test.records(), () -> new Replacing("x/1", MessagePackFormat.map("n", 1L))));
        CASES.put("update of a record, executed after its retry", test -> {
            RoutineRunner records = test.records();
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L))));
            test.twice("x/", records, () -> new Replacing("x/1", MessagePackFormat.map("n", 2L)));
        });
        CASES.put("write of a leader, executed after a change of leader", test -> {
            RoutineRunner records =
                    test.records().leading(RecordKeys.LEADER, test.lead(1), new RateLimiter(100, test.clock.now()));
            test.loseOne("x/");
            assertTrue(await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L)))
                    .map(false)
                    .otherwise(true)));
            test.lead(4);
            test.changesNothingMore();
        });
        CASES.put("removal of a record, executed after the record was written again", test -> {
            RoutineRunner records = test.records();
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L))));
            test.loseOne("x/");
            assertTrue(await(records.run(removing("x/1")).map(false).otherwise(true)));
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 2L))));
            test.changesNothingMore();
        });
        CASES.put("write, executed after a data loss and the start of a new era", test -> {
            RoutineRunner records = test.records();
            test.loseOne("x/");
            assertTrue(await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L)))
                    .map(false)
                    .otherwise(true)));
            assertTrue(test.rebuilds(test.lead(1), new RememberedState()));
            test.changesNothingMore();
        });
        CASES.put(
                "initialization of the ownership registry",
                test -> test.twice("own/", test.records(), () -> new Beginning(true, "by test")));
        CASES.put(
                "end of a claim that has not begun",
                test -> test.twice("own/", test.records(), () -> new Ending("export-1")));
        CASES.put(
                "text of a calendar",
                test -> test.twice(
                        "cal/text/",
                        test.records(),
                        () -> new Publishing(
                                new CalendarVersion(VersionedRecord.absent(CalendarVersion.KEY)),
                                "d",
                                "text",
                                1,
                                "note")));
        CASES.put(
                "version record of a calendar",
                test -> test.twice(
                        CalendarVersion.KEY,
                        test.records(),
                        () -> new Publishing(
                                new CalendarVersion(VersionedRecord.absent(CalendarVersion.KEY)),
                                "d",
                                "text",
                                1,
                                "note")));
    }

    static List<Object[]> cases() {
        return bothWays(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void aTransactionWithoutAResponseDoesNoHarm(Unanswered when, String name, Case<LateFeatureTransactionsTest> play)
            throws Exception {
        play(this, when, play);
    }
}
