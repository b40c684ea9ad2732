package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderHarness.await;
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

/** Transactions on machine records and cloud requests that get no response ({@link LateTransactionsHarness}). */
class LateMachineTransactionsTest extends LateTransactionsHarness {
    private Future<Boolean> recordMachine(MachineStore machineStore, int number) {
        MachineId id = new MachineId("vm-" + number);
        Moment now = clock.now();
        core.rented(POOL, List.of(id), now, now);
        core.onHeartbeat(
                new Heartbeat(id, "10.0.0.1:1", POOL, new HeartbeatNumber(1, 1), new FencingToken(3), null, List.of()),
                now);
        return machineStore.recordMachine(core.unrecorded(id).orElseThrow());
    }

    private void returnMachine(int number) {
        core.returned(List.of(new MachineId("vm-" + number)), clock.now());
    }

    private MachineStore newMachineStore(Revision leadershipRevision) {
        MachineStore machineStore = keep(new MachineStore(
                LeaderHarness.writes(context, 3, leadershipRevision, 100, () -> events.add("deposed")), core));
        run(machineStore::start);
        return machineStore;
    }

    private IntentLog newIntentLog(Revision leadershipRevision) {
        return keep(new IntentLog(
                context,
                new FencingToken(3),
                leadershipRevision,
                () -> events.add("deposed"),
                new RateLimiter(100, clock.now())));
    }

    private static boolean recordIntents(IntentLog intentLog) throws Exception {
        return await(intentLog.record().otherwise(false));
    }

    private Intents.Page recordedIntents() throws Exception {
        return service.has("i/3")
                ? IntentRecordCodec.readIntents(service.value("i/3"))
                : new Intents.Page(List.of(), List.of());
    }

    private static final Map<String, Case<LateMachineTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put("first write of a machine page, then its retry", test -> {
            MachineStore machineStore = test.newMachineStore(test.lead(1));
            test.loseOne(RecordKeys.MACHINE_PAGES);
            assertTrue(test.onLoop(() -> test.recordMachine(machineStore, 1)));
            assertTrue(test.onLoop(() -> test.recordMachine(machineStore, 2)));
            test.changesNothingMore();
            assertEquals(2, test.recordedMachines());
        });
        CASES.put("first write of a machine page, then the return of all its machines", test -> {
            MachineStore machineStore = test.newMachineStore(test.lead(1));
            test.loseOne(RecordKeys.MACHINE_PAGES);
            assertTrue(test.onLoop(() -> test.recordMachine(machineStore, 1)));
            test.run(() -> test.returnMachine(1));
            test.until(() -> test.recordedMachines() == 0);
            test.changesNothingMore();
            assertEquals(0, test.recordedMachines(), "the next leader would wait for a returned machine");
        });
        CASES.put("first write of a machine page, then a change of leader", test -> {
            MachineStore machineStore = test.newMachineStore(test.lead(1));
            test.loseAll(RecordKeys.MACHINE_PAGES);
            test.run(() -> test.recordMachine(machineStore, 1));
            test.untilUnanswered();
            test.run(machineStore::cancel);
            test.lead(4);
            test.changesNothingMore();
        });
        CASES.put("update of a machine page, then a newer one", test -> {
            MachineStore machineStore = test.newMachineStore(test.lead(1));
            assertTrue(test.onLoop(() -> test.recordMachine(machineStore, 1)));
            test.loseOne(RecordKeys.MACHINE_PAGES);
            assertTrue(test.onLoop(() -> test.recordMachine(machineStore, 2)));
            assertTrue(test.onLoop(() -> test.recordMachine(machineStore, 3)));
            test.changesNothingMore();
            assertEquals(3, test.recordedMachines(), "an older update must not remove machines");
        });
        CASES.put("deletion of an earlier leader's machine page, then its retry", test -> {
            MachineStore first = test.newMachineStore(test.lead(1));
            assertTrue(test.onLoop(() -> test.recordMachine(first, 1)));
            test.run(first::cancel);
            test.run(() -> test.returnMachine(1));
            Revision leadershipRevision = test.lead(4);
            MachineStore next =
                    new MachineStore(LeaderHarness.writes(test.context, 4, leadershipRevision, 100), test.core);
            test.loseOne(RecordKeys.MACHINE_PAGES);
            await(RecordListing.readAll(
                    test.client,
                    leadershipRevision,
                    RecordKeys.MACHINE_PAGES,
                    e -> next.addInheritedPage(e.key(), e.revision(), MachineRecordCodec.readMachines(e.value()))));
            test.run(next::start);
            test.until(() -> test.unanswered() == 1
                    && test.service.keys(RecordKeys.MACHINE_PAGES).isEmpty());
            test.changesNothingMore();
        });
        CASES.put("first write of an intent, then its retry", test -> {
            IntentLog intentLog = test.newIntentLog(test.lead(1));
            intentLog.intents().add(RENT);
            test.loseOne(RecordKeys.INTENTS);
            assertFalse(
                    recordIntents(intentLog) || intentLog.intents().maySend(RENT.name()),
                    "the outcome of the write is unknown");
            test.until(() -> recordIntents(intentLog) && intentLog.intents().maySend(RENT.name()));
            test.changesNothingMore();
        });
        CASES.put("first write of an intent, then the intent's completion", test -> {
            IntentLog intentLog = test.newIntentLog(test.lead(1));
            intentLog.intents().add(RENT);
            test.loseOne(RecordKeys.INTENTS);
            assertFalse(recordIntents(intentLog));
            test.until(() -> recordIntents(intentLog) && intentLog.intents().maySend(RENT.name()));
            intentLog.intents().completed(RENT.name());
            test.until(() -> recordIntents(intentLog) && test.recordedIntents().isEmpty());
            test.changesNothingMore();
            assertTrue(test.recordedIntents().isEmpty(), "the next leader would send the request again");
        });
        CASES.put("first write of an intent, then the intent's removal before it was sent", test -> {
            IntentLog intentLog = test.newIntentLog(test.lead(1));
            intentLog.intents().add(RENT);
            test.loseOne(RecordKeys.INTENTS);
            assertFalse(recordIntents(intentLog));
            intentLog.intents().completed(RENT.name());
            test.until(() -> recordIntents(intentLog)
                    && test.service.has("i/3")
                    && test.recordedIntents().isEmpty());
            test.changesNothingMore();
            assertTrue(test.recordedIntents().isEmpty(), "the next leader would rent machines without demand");
        });
        CASES.put("first write of an intent, then a change of leader", test -> {
            IntentLog intentLog = test.newIntentLog(test.lead(1));
            intentLog.intents().add(RENT);
            test.loseOne(RecordKeys.INTENTS);
            assertFalse(recordIntents(intentLog));
            test.lead(4);
            test.changesNothingMore();
            assertFalse(intentLog.intents().maySend(RENT.name()));
        });
        CASES.put("deletion of an earlier leader's intents, then its retry", test -> {
            IntentLog old = test.newIntentLog(test.lead(1));
            old.intents().add(RENT);
            assertTrue(recordIntents(old));
            IntentLog next = new IntentLog(
                    test.context, new FencingToken(4), test.lead(4), () -> {}, new RateLimiter(100, test.clock.now()));
            await(next.load());
            test.loseOne(RecordKeys.INTENTS);
            await(next.forgetEarlier());
            assertEquals(test.isAtOnce(), !test.service.has("i/3"));
            await(next.forgetEarlier());
            assertFalse(test.service.has("i/3"));
            test.changesNothingMore();
        });
    }

    static List<Object[]> cases() {
        return bothWays(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void transactionWithoutResponseKeepsStateConsistent(
            Unanswered execution, String name, Case<LateMachineTransactionsTest> testCase) throws Exception {
        play(this, execution, testCase);
    }
}
