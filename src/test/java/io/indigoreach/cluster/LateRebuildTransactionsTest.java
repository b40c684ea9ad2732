package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobService;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.Revision;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Transactions of a rebuild after a data loss that get no response ({@link LateTransactionTestBase}). */
class LateRebuildTransactionsTest extends LateTransactionTestBase {
    private int recordedStartBound() {
        return JobRecordCodec.readJob(JOB, service.value(OPEN), Revision.ABSENT).startBound();
    }

    private static final Map<String, Case<LateRebuildTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        for (String key : List.of(RecordKeys.MACHINE_PAGES, OPEN, RecordKeys.FINAL_JOBS, RecordKeys.ERA)) {
            CASES.put("a rebuilding's " + key + ", after the next try", test -> {
                await(test.client.checkEra());
                Revision leader = test.gainLeadership(1);
                test.suppressNextResponse(key);
                assertFalse(test.rebuildSucceeds(leader));
                assertTrue(test.rebuildSucceeds(leader));
                test.assertLateExecutionChangesNothing();
            });
            CASES.put("a rebuilding's " + key + ", after a change of leader", test -> {
                await(test.client.checkEra());
                Revision leader = test.gainLeadership(1);
                test.suppressNextResponse(key);
                assertFalse(test.rebuildSucceeds(leader));
                test.gainLeadership(4);
                test.assertLateExecutionChangesNothing();
            });
        }
        CASES.put("a rebuilt page, after the next try and all on it are gone", test -> {
            await(test.client.checkEra());
            Revision leader = test.gainLeadership(1);
            test.suppressNextResponse(RecordKeys.MACHINE_PAGES);
            assertFalse(test.rebuildSucceeds(leader));
            assertTrue(test.rebuildSucceeds(leader));
            MachineStore machineStore =
                    new MachineStore(LeaderTestSupport.writes(test.context, 3, leader, 100), test.core);
            await(RecordListing.readAll(
                    test.client,
                    leader,
                    RecordKeys.MACHINE_PAGES,
                    e -> machineStore.addInheritedPage(
                            e.key(), e.revision(), MachineRecordCodec.readMachines(e.value()))));
            test.runOnEventLoop(machineStore::start);
            test.awaitCondition(() -> test.recordedMachineCount() == 0);
            test.assertLateExecutionChangesNothing();
            assertEquals(0, test.recordedMachineCount());
        });
        CASES.put("a rebuilt job with blocks of bits, after the next try and its end", test -> {
            await(test.client.checkEra());
            Revision leader = test.gainLeadership(1);
            test.suppressNextResponse(OPEN);
            assertFalse(test.rebuildSucceeds(leader));
            assertTrue(test.rebuildSucceeds(leader));
            assertEquals(2, test.service.keys(RecordKeys.COMPLETION_BLOCKS).size());
            assertEquals(200, test.cancel(test.newJobService()));
            // As the leader does behind the end.
            StateClient.Txn removal = new StateClient.Txn();
            test.service.keys(RecordKeys.COMPLETION_BLOCKS).forEach(removal::delete);
            assertTrue(await(test.client.commit(removal)).executed());
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(OPEN));
            assertEquals(List.of(), test.service.keys(RecordKeys.COMPLETION_BLOCKS));
        });
        CASES.put("a rebuilt job, after a next try that no longer knew of it", test -> {
            await(test.client.checkEra());
            Revision leader = test.gainLeadership(1);
            test.suppressNextResponse(OPEN);
            assertFalse(test.rebuildSucceeds(leader));
            assertTrue(test.rebuildSucceeds(leader, new RememberedState()));
            test.assertLateExecutionChangesNothing();
            if (test.isExecutedAtOnce()) {
                assertEquals(4, test.recordedStartBound(), "it counts as ordered in whole");
            } else {
                assertFalse(test.service.has(OPEN), "this leader would take it for a new job, of which nothing runs");
            }
        });
        CASES.put("an acceptance, after a loss was mended and the job's end was lost", test -> {
            await(test.client.checkEra());
            JobService jobService = test.newJobService();
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.submit(jobService));
            assertEquals(test.isExecutedAtOnce() ? 200 : 201, test.submit(jobService));
            assertEquals(200, test.cancel(jobService));
            await(test.client.commit(new StateClient.Txn().delete(RecordKeys.finalKey(JOB))));
            assertTrue(test.rebuildSucceeds(test.gainLeadership(1), new RememberedState()));
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("a deployment's first era, after another process wrote it", test -> {
            test.suppressNextResponse(RecordKeys.ERA);
            assertTrue(await(test.client.checkEra().map(false).otherwise(true)));
            await(test.client().checkEra());
            test.assertLateExecutionChangesNothing();
            await(test.client.checkEra());
            assertTrue(test.client.isEraKnown());
        });
    }

    /** Its bound says that nothing was ever ordered, while a controller remembers that all of it was. */
    @Test
    void anAcceptanceExecutedDuringARebuildDoesNotLowerTheStartBound() throws Exception {
        JobService jobService = newJobService();
        suppressNextResponse(OPEN);
        assertEquals(503, submit(jobService));
        Revision leadershipRevision = gainLeadership(1);
        List<Integer> lateStatuses = new ArrayList<>();
        service.holdFilter = txn -> {
            if (writesKeyWithPrefix(txn, OPEN)) {
                lateStatuses.addAll(service.executeHeldTransactions());
            }
            return false;
        };
        RememberedState rememberedState = new RememberedState();
        rememberedState.add(new RememberedState.OpenJob(spec(JOB.text(), 4), 1, new BitSet(), 4));
        awaitCondition(() -> rebuildSucceeds(leadershipRevision, rememberedState));
        assertEquals(List.of(200), lateStatuses);
        assertEquals(4, recordedStartBound());
    }

    static List<Object[]> cases() {
        return casesInBothModes(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void transactionWithoutResponseKeepsStateConsistent(
            ExecutionTime execution, String name, Case<LateRebuildTransactionsTest> testCase) throws Exception {
        runCase(this, execution, testCase);
    }
}
