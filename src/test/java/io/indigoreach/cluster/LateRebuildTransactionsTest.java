package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderHarness.await;
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

/** Transactions of a rebuild after a data loss that get no response ({@link LateTransactionsHarness}). */
class LateRebuildTransactionsTest extends LateTransactionsHarness {
    private int recordedStartBound() {
        return JobRecordCodec.readJob(JOB, service.value(OPEN), Revision.ABSENT).bound();
    }

    private static final Map<String, Case<LateRebuildTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        for (String key : List.of(RecordKeys.MACHINE_PAGES, OPEN, RecordKeys.FINAL_JOBS, RecordKeys.ERA)) {
            CASES.put("rebuild write of " + key + ", then the next attempt", test -> {
                await(test.client.check());
                Revision leader = test.lead(1);
                test.loseOne(key);
                assertFalse(test.rebuilds(leader));
                assertTrue(test.rebuilds(leader));
                test.changesNothingMore();
            });
            CASES.put("rebuild write of " + key + ", then a change of leader", test -> {
                await(test.client.check());
                Revision leader = test.lead(1);
                test.loseOne(key);
                assertFalse(test.rebuilds(leader));
                test.lead(4);
                test.changesNothingMore();
            });
        }
        CASES.put("rebuilt machine page, then the next attempt and the return of all its machines", test -> {
            await(test.client.check());
            Revision leader = test.lead(1);
            test.loseOne(RecordKeys.MACHINE_PAGES);
            assertFalse(test.rebuilds(leader));
            assertTrue(test.rebuilds(leader));
            MachineStore machineStore = new MachineStore(LeaderHarness.writes(test.context, 3, leader, 100), test.core);
            await(RecordListing.readAll(
                    test.client,
                    leader,
                    RecordKeys.MACHINE_PAGES,
                    e -> machineStore.addInheritedPage(
                            e.key(), e.revision(), MachineRecordCodec.readMachines(e.value()))));
            test.run(machineStore::start);
            test.until(() -> test.recordedMachines() == 0);
            test.changesNothingMore();
            assertEquals(0, test.recordedMachines());
        });
        CASES.put("rebuilt job with completion blocks, then the next attempt and the job's cancellation", test -> {
            await(test.client.check());
            Revision leader = test.lead(1);
            test.loseOne(OPEN);
            assertFalse(test.rebuilds(leader));
            assertTrue(test.rebuilds(leader));
            assertEquals(2, test.service.keys(RecordKeys.COMPLETION_BLOCKS).size());
            assertEquals(200, test.cancel(test.newJobService()));
            // The leader deletes the blocks of a finished job in the same way.
            StateClient.Txn removal = new StateClient.Txn();
            test.service.keys(RecordKeys.COMPLETION_BLOCKS).forEach(removal::delete);
            assertTrue(await(test.client.commit(removal)).done());
            test.changesNothingMore();
            assertFalse(test.service.has(OPEN));
            assertEquals(List.of(), test.service.keys(RecordKeys.COMPLETION_BLOCKS));
        });
        CASES.put("rebuilt job, then an attempt that does not know the job", test -> {
            await(test.client.check());
            Revision leader = test.lead(1);
            test.loseOne(OPEN);
            assertFalse(test.rebuilds(leader));
            assertTrue(test.rebuilds(leader, new RememberedState()));
            test.changesNothingMore();
            if (test.isAtOnce()) {
                assertEquals(4, test.recordedStartBound(), "all its tasks may have been started");
            } else {
                assertFalse(
                        test.service.has(OPEN), "this leader would treat it as a new job that has never run a task");
            }
        });
        CASES.put("acceptance, then the loss of the job's final record and a rebuild", test -> {
            await(test.client.check());
            JobService jobService = test.newJobService();
            test.loseOne(OPEN);
            assertEquals(503, test.submit(jobService));
            assertEquals(test.isAtOnce() ? 200 : 201, test.submit(jobService));
            assertEquals(200, test.cancel(jobService));
            await(test.client.commit(new StateClient.Txn().delete(RecordKeys.finalKey(JOB))));
            assertTrue(test.rebuilds(test.lead(1), new RememberedState()));
            test.changesNothingMore();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("first era of a deployment, then the write of another process", test -> {
            test.loseOne(RecordKeys.ERA);
            assertTrue(await(test.client.check().map(false).otherwise(true)));
            await(test.client().check());
            test.changesNothingMore();
            await(test.client.check());
            assertTrue(test.client.isEraKnown());
        });
    }

    /** The accepted record has a start bound of zero, while a controller remembers that all tasks may have been started. */
    @Test
    void anAcceptanceExecutedDuringARebuildDoesNotLowerTheStartBound() throws Exception {
        JobService jobService = newJobService();
        loseOne(OPEN);
        assertEquals(503, submit(jobService));
        Revision leadershipRevision = lead(1);
        List<Integer> lateStatuses = new ArrayList<>();
        service.holding = txn -> {
            if (touches(txn, OPEN)) {
                lateStatuses.addAll(service.executeLate());
            }
            return false;
        };
        RememberedState rememberedState = new RememberedState();
        rememberedState.add(new RememberedState.OpenJob(spec(JOB.text(), 4), 1, new BitSet(), 4));
        until(() -> rebuilds(leadershipRevision, rememberedState));
        assertEquals(List.of(200), lateStatuses);
        assertEquals(4, recordedStartBound());
    }

    static List<Object[]> cases() {
        return bothWays(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void transactionWithoutResponseKeepsStateConsistent(
            Unanswered execution, String name, Case<LateRebuildTransactionsTest> testCase) throws Exception {
        play(this, execution, testCase);
    }
}
