package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
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

/** Tests transactions of optional features that get no response ({@link LateTransactionTestBase}). */
class LateFeatureTransactionsTest extends LateTransactionTestBase {
    private RoutineRunner newRoutineRunner() {
        List<RecordFamily> families = new ArrayList<>(Registry.FAMILIES);
        families.add(CalendarVersion.FAMILY);
        families.add(CalendarVersion.TEXT_FAMILY);
        families.add(new RecordFamily("x/", 10, false, RecordFamily.MergeRule.KEEP_NEWER));
        return new RoutineRunner(vertx, client, clock, new RecordCache(families));
    }

    private static Routine<Boolean> removalOf(String key) {
        return seen -> seen.isWritten() || !seen.failedKeys().isEmpty()
                ? new Step.End<>(seen.isWritten())
                : seen.records().isEmpty()
                        ? new Step.Read<>(List.of(key))
                        : new Step.Write<>(
                                new Transaction().when(seen.record(key)).delete(key));
    }

    /** Runs a routine whose write gets no response, repeats it, and then executes the first write late. */
    private <R> void runTwice(String key, RoutineRunner records, Supplier<Routine<R>> routine) throws Exception {
        suppressNextResponse(key);
        assertTrue(await(records.run(routine.get()).map(false).otherwise(true)));
        await(records.run(routine.get()));
        assertLateExecutionChangesNothing();
    }

    private static final Map<String, Case<LateFeatureTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put(
                "creation of a record, executed after its retry",
                test -> test.runTwice(
                        "x/", test.newRoutineRunner(), () -> new Replacing("x/1", MessagePackFormat.map("n", 1L))));
        CASES.put("update of a record, executed after its retry", test -> {
            RoutineRunner records = test.newRoutineRunner();
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L))));
            test.runTwice("x/", records, () -> new Replacing("x/1", MessagePackFormat.map("n", 2L)));
        });
        CASES.put("write of a leader, executed after a change of leader", test -> {
            RoutineRunner records = test.newRoutineRunner()
                    .forLeader(RecordKeys.LEADER, test.gainLeadership(1), new RateLimiter(100, test.clock.now()));
            test.suppressNextResponse("x/");
            assertTrue(await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L)))
                    .map(false)
                    .otherwise(true)));
            test.gainLeadership(4);
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("removal of a record, executed after the record was written again", test -> {
            RoutineRunner records = test.newRoutineRunner();
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L))));
            test.suppressNextResponse("x/");
            assertTrue(await(records.run(removalOf("x/1")).map(false).otherwise(true)));
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 2L))));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("write, executed after a data loss and the start of a new era", test -> {
            RoutineRunner records = test.newRoutineRunner();
            test.suppressNextResponse("x/");
            assertTrue(await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L)))
                    .map(false)
                    .otherwise(true)));
            assertTrue(test.rebuildSucceeds(test.gainLeadership(1), new RememberedState()));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put(
                "initialization of the ownership registry",
                test -> test.runTwice("own/", test.newRoutineRunner(), () -> new Beginning(true, "by test")));
        CASES.put(
                "end of a claim that has not begun",
                test -> test.runTwice("own/", test.newRoutineRunner(), () -> new Ending("export-1")));
        CASES.put(
                "text of a calendar",
                test -> test.runTwice(
                        "cal/text/",
                        test.newRoutineRunner(),
                        () -> new Publishing(
                                new CalendarVersion(VersionedRecord.absent(CalendarVersion.KEY)),
                                "d",
                                "text",
                                1,
                                "note")));
        CASES.put(
                "version record of a calendar",
                test -> test.runTwice(
                        CalendarVersion.KEY,
                        test.newRoutineRunner(),
                        () -> new Publishing(
                                new CalendarVersion(VersionedRecord.absent(CalendarVersion.KEY)),
                                "d",
                                "text",
                                1,
                                "note")));
    }

    static List<Object[]> cases() {
        return casesInBothModes(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void unansweredTransactionHasNoLateEffect(
            ExecutionTime executionTime, String name, Case<LateFeatureTransactionsTest> testCase) throws Exception {
        runCase(this, executionTime, testCase);
    }
}
