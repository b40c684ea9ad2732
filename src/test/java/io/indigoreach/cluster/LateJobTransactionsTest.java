package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobService;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Transactions on job records that get no response ({@link LateTransactionTestBase}). */
class LateJobTransactionsTest extends LateTransactionTestBase {
    private void assertFinalStatus(JobStatus expectedStatus) {
        assertEquals(
                expectedStatus,
                JobRecordCodec.readFinal(JOB, service.value(RecordKeys.finalKey(JOB)))
                        .status());
    }

    private void awaitFinalRecord(JobId id) throws Exception {
        awaitCondition(() -> service.has(RecordKeys.finalKey(id)));
    }

    /** Adds a job to the state service and to the leader; the first {@code completedCount} of its tasks are complete but not recorded. */
    private Job addOpenJob(String id, int tasks, int completedCount, int startBound) throws Exception {
        JobSpec spec = spec(id, tasks);
        Predicate<Fields> holding = service.holdFilter;
        Predicate<Fields> losing = service.loseResponseFilter;
        restoreResponses();
        Revision revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.openKey(spec.id()),
                                JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, startBound))))
                .writtenRevision();
        service.holdFilter = holding;
        service.loseResponseFilter = losing;
        BitSet completedTasks = new BitSet();
        completedTasks.set(0, completedCount);
        Job job = new Job(spec, 1, clock.now(), revision, completedTasks, startBound, false);
        core.addJob(job);
        return job;
    }

    private JobStore newJobStore(Revision leadershipRevision) throws Exception {
        return keepReachable(new JobStore(
                LeaderTestSupport.writes(context, 3, leadershipRevision, 100, () -> events.add("deposed")),
                core,
                new MachineStore(LeaderTestSupport.writes(context, 3, leadershipRevision, 100), core),
                true,
                new CancellationHorizon()));
    }

    private JobStore newLeaderJobStore() throws Exception {
        return newJobStore(gainLeadership(1));
    }

    private void startWriting(JobStore jobStore, Job... jobs) {
        for (Job job : jobs) {
            jobStore.scheduleWrite(job);
        }
        runOnEventLoop(jobStore::start);
    }

    private int recordedCompletions(JobId id) {
        return JobRecordCodec.readJob(id, service.value(RecordKeys.openKey(id)), Revision.ABSENT)
                .doneCount();
    }

    private static final Map<String, Case<LateJobTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put("acceptance, then its retry", test -> {
            JobService jobService = test.newJobService();
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.submit(jobService));
            assertEquals(test.isExecutedAtOnce() ? 200 : 201, test.submit(jobService));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("acceptance, then the job's cancellation", test -> {
            JobService jobService = test.newJobService();
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.submit(jobService));
            assertEquals(test.isExecutedAtOnce() ? 200 : 201, test.submit(jobService));
            assertEquals(200, test.cancel(jobService));
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("acceptance, then the job's completion under another leader", test -> {
            JobService jobService = test.newJobService();
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.submit(jobService));
            JobStore jobStore = test.newJobStore(test.gainLeadership(4));
            test.startWriting(jobStore, test.addOpenJob(JOB.text(), 4, 4, 4));
            test.awaitCondition(() -> test.service.has(RecordKeys.finalKey(JOB)) && test.core.job(JOB) == null);
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("cancellation, then its retry", test -> {
            JobService jobService = test.newJobService();
            test.submit(jobService);
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.cancel(jobService));
            assertEquals(200, test.cancel(jobService));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("cancellation, then a progress write of the unfinished job", test -> {
            JobService jobService = test.newJobService();
            JobStore jobStore = test.newLeaderJobStore();
            Job job = test.addOpenJob(JOB.text(), 4, 2, 4);
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.cancel(jobService));
            test.startWriting(jobStore, job);
            test.awaitCondition(
                    () -> test.isExecutedAtOnce() ? test.core.job(JOB) == null : test.recordedCompletions(JOB) == 2);
            test.assertLateExecutionChangesNothing();
            assertEquals(
                    test.isExecutedAtOnce(), !test.service.has(OPEN), "the user received no response, and retries");
            assertEquals(200, test.cancel(jobService));
        });
        CASES.put("cancellation, then the job's completion", test -> {
            JobService jobService = test.newJobService();
            JobStore jobStore = test.newLeaderJobStore();
            Job job = test.addOpenJob(JOB.text(), 4, 4, 4);
            test.suppressNextResponse(OPEN);
            assertEquals(503, test.cancel(jobService));
            test.startWriting(jobStore, job);
            test.awaitCondition(() -> test.core.job(JOB) == null);
            test.assertLateExecutionChangesNothing();
            test.assertFinalStatus(test.isExecutedAtOnce() ? JobStatus.CANCELLED : JobStatus.DONE);
        });
        for (boolean cancelled : new boolean[] {false, true}) {
            CASES.put(
                    "repair of an open record, then another repair" + (cancelled ? " and a cancellation" : ""),
                    test -> {
                        JobService jobService = test.newJobService();
                        StateClient.Outcome unreadable = await(test.client.commit(
                                new StateClient.Txn().put(OPEN, MessagePackFormat.map("class", 5L))));
                        StateClient.Entry entry =
                                new StateClient.Entry(OPEN, test.service.value(OPEN), unreadable.writtenRevision(), 0);
                        JobRepairer repairer = new JobRepairer(test.client, test.clock);
                        test.suppressNextResponse(OPEN);
                        assertTrue(await(repairer.repairOpen(JOB, entry, spec(JOB.text(), 4))
                                .map(false)
                                .otherwise(true)));
                        await(repairer.repairOpen(JOB, entry, spec(JOB.text(), 4)));
                        if (cancelled) {
                            assertEquals(200, test.cancel(jobService));
                        }
                        test.assertLateExecutionChangesNothing();
                        assertEquals(cancelled, !test.service.has(OPEN));
                    });
        }
        CASES.put("repair of a final record, then another repair", test -> {
            String over = RecordKeys.finalKey(JOB);
            StateClient.Outcome unreadable =
                    await(test.client.commit(new StateClient.Txn().put(over, MessagePackFormat.map("status", "DONE"))));
            StateClient.Entry entry =
                    new StateClient.Entry(over, test.service.value(over), unreadable.writtenRevision(), 0);
            JobRepairer repairer = new JobRepairer(test.client, test.clock);
            test.suppressNextResponse(over);
            assertTrue(await(repairer.repairFinal(JOB, entry, null).map(false).otherwise(true)));
            await(repairer.repairFinal(JOB, entry, null));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("progress write, then a newer one", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.suppressNextResponse(OPEN);
            Job job = test.addOpenJob(JOB.text(), 4, 2, 4);
            test.startWriting(jobStore, job);
            test.awaitCondition(() -> test.recordedCompletions(JOB) == 2
                    && job.unrecordedCompletions().isEmpty());
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("progress write, then the job's cancellation", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.suppressAllResponses(OPEN);
            test.startWriting(jobStore, test.addOpenJob(JOB.text(), 4, 2, 4));
            test.awaitSuppressedResponse();
            test.restoreResponses();
            test.awaitCondition(() -> test.recordedCompletions(JOB) == 2);
            assertEquals(200, test.cancel(test.newJobService()));
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("progress write, then a change of leader", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.suppressAllResponses(OPEN);
            test.startWriting(jobStore, test.addOpenJob(JOB.text(), 4, 2, 4));
            test.awaitSuppressedResponse();
            test.runOnEventLoop(jobStore::cancel);
            test.gainLeadership(4);
            test.assertLateExecutionChangesNothing();
            assertEquals(test.isExecutedAtOnce() ? 2 : 0, test.recordedCompletions(JOB));
        });
        CASES.put("start bound, then a newer one", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.core.onMachinesRented(POOL, List.of(new MachineId("vm-1")), test.clock.now(), test.clock.now());
            test.suppressNextResponse(OPEN);
            Job job = test.addOpenJob(JOB.text(), 4, 0, 0);
            test.startWriting(jobStore, job);
            test.awaitCondition(
                    () -> test.service.value(OPEN).wholeNumber("bound", 0) > 0 && !job.needsHigherStartBound());
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("start bound, then a change of leader", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.core.onMachinesRented(POOL, List.of(new MachineId("vm-1")), test.clock.now(), test.clock.now());
            test.suppressAllResponses(OPEN);
            Job job = test.addOpenJob(JOB.text(), 4, 0, 0);
            test.startWriting(jobStore, job);
            test.awaitSuppressedResponse();
            test.runOnEventLoop(jobStore::cancel);
            test.gainLeadership(4);
            test.assertLateExecutionChangesNothing();
            assertTrue(job.needsHigherStartBound(), "without a response, no task may start within the new bound");
        });
        CASES.put("completion, then its retry", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.suppressNextResponse(OPEN);
            test.startWriting(jobStore, test.addOpenJob(JOB.text(), 4, 4, 4));
            test.awaitCondition(() -> test.service.has(RecordKeys.finalKey(JOB)) && test.core.job(JOB) == null);
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("completion, then a change of leader", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            test.suppressAllResponses(OPEN);
            test.startWriting(jobStore, test.addOpenJob(JOB.text(), 4, 4, 4));
            test.awaitSuppressedResponse();
            test.runOnEventLoop(jobStore::cancel);
            test.gainLeadership(4);
            test.assertLateExecutionChangesNothing();
            assertEquals(test.isExecutedAtOnce(), !test.service.has(OPEN));
        });
        CASES.put("completion, then the job's cancellation", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            JobService jobService = test.newJobService();
            test.suppressAllResponses(OPEN);
            test.startWriting(jobStore, test.addOpenJob(JOB.text(), 4, 4, 4));
            test.awaitSuppressedResponse();
            test.runOnEventLoop(jobStore::cancel);
            test.restoreResponses();
            assertEquals(200, test.cancel(jobService));
            test.assertLateExecutionChangesNothing();
            test.assertFinalStatus(test.isExecutedAtOnce() ? JobStatus.DONE : JobStatus.CANCELLED);
        });
        CASES.put("completion in the open record and its move to the final record, then the retry of each", test -> {
            JobStore jobStore = test.newLeaderJobStore();
            Job[] jobs = new Job[8];
            for (int n = 0; n < jobs.length; n++) {
                jobs[n] = test.addOpenJob("run-" + (n + 1), 1, 1, 1);
            }
            AtomicBoolean mark = new AtomicBoolean(true);
            AtomicBoolean move = new AtomicBoolean(true);
            // Drops the response to the write of the completion to the open record, and to the first move to the final
            // record.
            test.suppressResponses(txn -> writesKeyWithPrefix(txn, OPEN)
                    && (writesKeyWithPrefix(txn, RecordKeys.finalKey(JOB))
                            ? !mark.get() && move.getAndSet(false)
                            : mark.getAndSet(false)));
            test.startWriting(jobStore, jobs);
            for (Job job : jobs) {
                test.awaitFinalRecord(job.id());
            }
            assertEquals(2, test.suppressedCount());
            test.assertLateExecutionChangesNothing();
            assertEquals(List.of(), test.service.keys(RecordKeys.OPEN_JOBS));
        });
    }

    static List<Object[]> cases() {
        return casesInBothModes(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void transactionWithoutResponseKeepsStateConsistent(
            ExecutionTime execution, String name, Case<LateJobTransactionsTest> testCase) throws Exception {
        runCase(this, execution, testCase);
    }
}
