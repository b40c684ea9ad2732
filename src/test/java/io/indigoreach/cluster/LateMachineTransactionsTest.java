package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.IntentRecordCodec;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.vertx.core.Future;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Transactions on machine records and cloud requests that get no response ({@link LateTransactionTestBase}). */
class LateMachineTransactionsTest extends LateTransactionTestBase {
    private Future<Boolean> recordMachine(MachineStore machineStore, int number) {
        MachineId id = new MachineId("vm-" + number);
        Moment now = clock.now();
        core.onMachinesRented(POOL, List.of(id), now, now);
        core.onHeartbeat(
                new Heartbeat(id, "10.0.0.1:1", POOL, new HeartbeatNumber(1, 1), new FencingToken(3), null, List.of()),
                now);
        return machineStore.recordMachine(core.machineToRecord(id).orElseThrow());
    }

    private void returnMachine(int number) {
        core.onMachinesReturned(List.of(new MachineId("vm-" + number)), clock.now());
    }

    private MachineStore newMachineStore(Revision leadershipRevision) {
        MachineStore machineStore = keepReachable(new MachineStore(
                LeaderTestSupport.writes(context, 3, leadershipRevision, 100, () -> events.add("deposed")), core));
        runOnEventLoop(machineStore::start);
        return machineStore;
    }

    private IntentLog newIntentLog(Revision leadershipRevision) {
        return keepReachable(new IntentLog(
                context,
                new FencingToken(3),
                leadershipRevision,
                () -> events.add("deposed"),
                new RateLimiter(100, clock.now())));
    }

    private static boolean recordIntents(IntentLog intentLog) throws Exception {
        return await(intentLog.record().otherwise(false));
    }

    private Intents.Content recordedIntents() throws Exception {
        return service.has("i/3")
                ? IntentRecordCodec.readIntents(service.value("i/3"))
                : new Intents.Content(List.of(), List.of());
    }

    private static final Map<String, Case<LateMachineTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put("first write of a machine page, then its retry", test -> {
            MachineStore machineStore = test.newMachineStore(test.gainLeadership(1));
            test.suppressNextResponse(RecordKeys.MACHINE_PAGES);
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(machineStore, 1)));
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(machineStore, 2)));
            test.assertLateExecutionChangesNothing();
            assertEquals(2, test.recordedMachineCount());
        });
        CASES.put("first write of a machine page, then the return of all its machines", test -> {
            MachineStore machineStore = test.newMachineStore(test.gainLeadership(1));
            test.suppressNextResponse(RecordKeys.MACHINE_PAGES);
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(machineStore, 1)));
            test.runOnEventLoop(() -> test.returnMachine(1));
            test.awaitCondition(() -> test.recordedMachineCount() == 0);
            test.assertLateExecutionChangesNothing();
            assertEquals(0, test.recordedMachineCount(), "the next leader would wait for a returned machine");
        });
        CASES.put("first write of a machine page, then a change of leader", test -> {
            MachineStore machineStore = test.newMachineStore(test.gainLeadership(1));
            test.suppressAllResponses(RecordKeys.MACHINE_PAGES);
            test.runOnEventLoop(() -> test.recordMachine(machineStore, 1));
            test.awaitSuppressedResponse();
            test.runOnEventLoop(machineStore::cancel);
            test.gainLeadership(4);
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("update of a machine page, then a newer one", test -> {
            MachineStore machineStore = test.newMachineStore(test.gainLeadership(1));
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(machineStore, 1)));
            test.suppressNextResponse(RecordKeys.MACHINE_PAGES);
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(machineStore, 2)));
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(machineStore, 3)));
            test.assertLateExecutionChangesNothing();
            assertEquals(3, test.recordedMachineCount(), "an older update must not remove machines");
        });
        CASES.put("deletion of an earlier leader's machine page, then its retry", test -> {
            MachineStore first = test.newMachineStore(test.gainLeadership(1));
            assertTrue(test.awaitOnEventLoop(() -> test.recordMachine(first, 1)));
            test.runOnEventLoop(first::cancel);
            test.runOnEventLoop(() -> test.returnMachine(1));
            Revision leadershipRevision = test.gainLeadership(4);
            MachineStore next =
                    new MachineStore(LeaderTestSupport.writes(test.context, 4, leadershipRevision, 100), test.core);
            test.suppressNextResponse(RecordKeys.MACHINE_PAGES);
            await(RecordListing.readAll(
                    test.client,
                    leadershipRevision,
                    RecordKeys.MACHINE_PAGES,
                    e -> next.addInheritedPage(e.key(), e.revision(), MachineRecordCodec.readMachines(e.value()))));
            test.runOnEventLoop(next::start);
            test.awaitCondition(() -> test.suppressedCount() == 1
                    && test.service.keys(RecordKeys.MACHINE_PAGES).isEmpty());
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("first write of an intent, then its retry", test -> {
            IntentLog intentLog = test.newIntentLog(test.gainLeadership(1));
            intentLog.intents().add(RENT);
            test.suppressNextResponse(RecordKeys.INTENTS);
            assertFalse(
                    recordIntents(intentLog) || intentLog.intents().maySendRental(RENT.name()),
                    "the outcome of the write is unknown");
            test.awaitCondition(
                    () -> recordIntents(intentLog) && intentLog.intents().maySendRental(RENT.name()));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("first write of an intent, then the intent's completion", test -> {
            IntentLog intentLog = test.newIntentLog(test.gainLeadership(1));
            intentLog.intents().add(RENT);
            test.suppressNextResponse(RecordKeys.INTENTS);
            assertFalse(recordIntents(intentLog));
            test.awaitCondition(
                    () -> recordIntents(intentLog) && intentLog.intents().maySendRental(RENT.name()));
            intentLog.intents().completeRental(RENT.name());
            test.awaitCondition(
                    () -> recordIntents(intentLog) && test.recordedIntents().isEmpty());
            test.assertLateExecutionChangesNothing();
            assertTrue(test.recordedIntents().isEmpty(), "the next leader would send the request again");
        });
        CASES.put("first write of an intent, then the intent's removal before it was sent", test -> {
            IntentLog intentLog = test.newIntentLog(test.gainLeadership(1));
            intentLog.intents().add(RENT);
            test.suppressNextResponse(RecordKeys.INTENTS);
            assertFalse(recordIntents(intentLog));
            intentLog.intents().completeRental(RENT.name());
            test.awaitCondition(() -> recordIntents(intentLog)
                    && test.service.has("i/3")
                    && test.recordedIntents().isEmpty());
            test.assertLateExecutionChangesNothing();
            assertTrue(test.recordedIntents().isEmpty(), "the next leader would rent machines without demand");
        });
        CASES.put("first write of an intent, then a change of leader", test -> {
            IntentLog intentLog = test.newIntentLog(test.gainLeadership(1));
            intentLog.intents().add(RENT);
            test.suppressNextResponse(RecordKeys.INTENTS);
            assertFalse(recordIntents(intentLog));
            test.gainLeadership(4);
            test.assertLateExecutionChangesNothing();
            assertFalse(intentLog.intents().maySendRental(RENT.name()));
        });
        CASES.put("deletion of an earlier leader's intents, then its retry", test -> {
            IntentLog old = test.newIntentLog(test.gainLeadership(1));
            old.intents().add(RENT);
            assertTrue(recordIntents(old));
            IntentLog next = new IntentLog(
                    test.context,
                    new FencingToken(4),
                    test.gainLeadership(4),
                    () -> {},
                    new RateLimiter(100, test.clock.now()));
            await(next.load());
            test.suppressNextResponse(RecordKeys.INTENTS);
            await(next.removeEarlierRecords());
            assertEquals(test.isExecutedAtOnce(), !test.service.has("i/3"));
            await(next.removeEarlierRecords());
            assertFalse(test.service.has("i/3"));
            test.assertLateExecutionChangesNothing();
        });
    }

    static List<Object[]> cases() {
        return casesInBothModes(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void transactionWithoutResponseKeepsStateConsistent(
            ExecutionTime execution, String name, Case<LateMachineTransactionsTest> testCase) throws Exception {
        runCase(this, execution, testCase);
    }
}
