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
            CASES.put("rebuild write of " + key + ", then the next attempt", test -> {
                await(test.client.checkEra());
                Revision leader = test.gainLeadership(1);
                test.suppressNextResponse(key);
                assertFalse(test.rebuildSucceeds(leader));
                assertTrue(test.rebuildSucceeds(leader));
                test.assertLateExecutionChangesNothing();
            });
            CASES.put("rebuild write of " + key + ", then a change of leader", test -> {
                await(test.client.checkEra());
                Revision leader = test.gainLeadership(1);
                test.suppressNextResponse(key);
                assertFalse(test.rebuildSucceeds(leader));
                test.gainLeadership(4);
                test.assertLateExecutionChangesNothing();
            });
        }
        CASES.put("rebuilt machine page, then the next attempt and the return of all its machines", test -> {
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
        CASES.put("rebuilt job with completion blocks, then the next attempt and the job's cancellation", test -> {
            await(test.client.checkEra());
            Revision leader = test.gainLeadership(1);
            test.suppressNextResponse(OPEN);
            assertFalse(test.rebuildSucceeds(leader));
            assertTrue(test.rebuildSucceeds(leader));
            assertEquals(2, test.service.keys(RecordKeys.COMPLETION_BLOCKS).size());
            assertEquals(200, test.cancel(test.newJobService()));
            // The leader deletes the blocks of a finished job in the same way.
            StateClient.Txn removal = new StateClient.Txn();
            test.service.keys(RecordKeys.COMPLETION_BLOCKS).forEach(removal::delete);
            assertTrue(await(test.client.commit(removal)).executed());
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(OPEN));
            assertEquals(List.of(), test.service.keys(RecordKeys.COMPLETION_BLOCKS));
        });
        CASES.put("rebuilt job, then an attempt that does not know the job", test -> {
            await(test.client.checkEra());
            Revision leader = test.gainLeadership(1);
            test.suppressNextResponse(OPEN);
            assertFalse(test.rebuildSucceeds(leader));
            assertTrue(test.rebuildSucceeds(leader, new RememberedState()));
            test.assertLateExecutionChangesNothing();
            if (test.isExecutedAtOnce()) {
                assertEquals(4, test.recordedStartBound(), "all its tasks may have been started");
            } else {
                assertFalse(
                        test.service.has(OPEN), "this leader would treat it as a new job that has never run a task");
            }
        });
        CASES.put("acceptance, then the loss of the job's final record and a rebuild", test -> {
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
        CASES.put("first era of a deployment, then the write of another process", test -> {
            test.suppressNextResponse(RecordKeys.ERA);
            assertTrue(await(test.client.checkEra().map(false).otherwise(true)));
            await(test.client().checkEra());
            test.assertLateExecutionChangesNothing();
            await(test.client.checkEra());
            assertTrue(test.client.isEraKnown());
        });
    }

    /** The accepted record has a start bound of zero, while a controller remembers that all tasks may have been started. */
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
