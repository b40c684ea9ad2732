package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderHarness.await;
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

/** Transactions on job records that get no response ({@link LateTransactionsHarness}). */
class LateJobTransactionsTest extends LateTransactionsHarness {
    private void isOver(JobStatus how) {
        assertEquals(
                how,
                JobRecordCodec.readFinal(JOB, service.value(RecordKeys.finalKey(JOB)))
                        .status());
    }

    private void untilOver(JobId id) throws Exception {
        until(() -> service.has(RecordKeys.finalKey(id)));
    }

    /** A job in the state service and in the leader's memory; the first {@code done} of its tasks are done and not recorded. */
    private Job job(String id, int tasks, int done, int bound) throws Exception {
        JobSpec spec = spec(id, tasks);
        Predicate<Fields> holding = service.holding;
        Predicate<Fields> losing = service.losing;
        pass();
        Revision stamp = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.openKey(spec.id()),
                                JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, bound))))
                .writtenRevision();
        service.holding = holding;
        service.losing = losing;
        BitSet over = new BitSet();
        over.set(0, done);
        Job job = new Job(spec, 1, clock.now(), stamp, over, bound, false);
        core.addJob(job);
        return job;
    }

    private JobStore newJobStore(Revision leadershipRevision) throws Exception {
        return keep(new JobStore(
                LeaderHarness.writes(context, 3, leadershipRevision, 100, () -> events.add("deposed")),
                core,
                new MachineStore(LeaderHarness.writes(context, 3, leadershipRevision, 100), core),
                true,
                new CancellationHorizon()));
    }

    private JobStore leading() throws Exception {
        return newJobStore(lead(1));
    }

    private void begin(JobStore jobStore, Job... jobs) {
        for (Job job : jobs) {
            jobStore.markDirty(job);
        }
        run(jobStore::start);
    }

    private int recorded(JobId id) {
        return JobRecordCodec.readJob(id, service.value(RecordKeys.openKey(id)), Revision.ABSENT)
                .doneCount();
    }

    private static final Map<String, Case<LateJobTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put("an acceptance, after its repeat", test -> {
            JobService jobService = test.newJobService();
            test.loseOne(OPEN);
            assertEquals(503, test.submit(jobService));
            assertEquals(test.isAtOnce() ? 200 : 201, test.submit(jobService));
            test.changesNothingMore();
        });
        CASES.put("an acceptance, after its job was cancelled", test -> {
            JobService jobService = test.newJobService();
            test.loseOne(OPEN);
            assertEquals(503, test.submit(jobService));
            assertEquals(test.isAtOnce() ? 200 : 201, test.submit(jobService));
            assertEquals(200, test.cancel(jobService));
            test.changesNothingMore();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("an acceptance, after its job was done under another leader", test -> {
            JobService jobService = test.newJobService();
            test.loseOne(OPEN);
            assertEquals(503, test.submit(jobService));
            JobStore jobStore = test.newJobStore(test.lead(4));
            test.begin(jobStore, test.job(JOB.text(), 4, 4, 4));
            test.until(() -> test.service.has(RecordKeys.finalKey(JOB)) && test.core.job(JOB) == null);
            test.changesNothingMore();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("a cancellation, after its repeat", test -> {
            JobService jobService = test.newJobService();
            test.submit(jobService);
            test.loseOne(OPEN);
            assertEquals(503, test.cancel(jobService));
            assertEquals(200, test.cancel(jobService));
            test.changesNothingMore();
        });
        CASES.put("a cancellation, after the job's progress, and before it was done", test -> {
            JobService jobService = test.newJobService();
            JobStore jobStore = test.leading();
            Job job = test.job(JOB.text(), 4, 2, 4);
            test.loseOne(OPEN);
            assertEquals(503, test.cancel(jobService));
            test.begin(jobStore, job);
            test.until(() -> test.isAtOnce() ? test.core.job(JOB) == null : test.recorded(JOB) == 2);
            test.changesNothingMore();
            assertEquals(test.isAtOnce(), !test.service.has(OPEN), "its user was told nothing, and asks again");
            assertEquals(200, test.cancel(jobService));
        });
        CASES.put("a cancellation, after the job was done", test -> {
            JobService jobService = test.newJobService();
            JobStore jobStore = test.leading();
            Job job = test.job(JOB.text(), 4, 4, 4);
            test.loseOne(OPEN);
            assertEquals(503, test.cancel(jobService));
            test.begin(jobStore, job);
            test.until(() -> test.core.job(JOB) == null);
            test.changesNothingMore();
            test.isOver(test.isAtOnce() ? JobStatus.CANCELLED : JobStatus.DONE);
        });
        for (boolean cancelled : new boolean[] {false, true}) {
            CASES.put(
                    "the mending of an open job's record, after another" + (cancelled ? " and the job's end" : ""),
                    test -> {
                        JobService jobService = test.newJobService();
                        StateClient.Outcome unreadable = await(test.client.commit(
                                new StateClient.Txn().put(OPEN, MessagePackFormat.map("class", 5L))));
                        StateClient.Entry entry =
                                new StateClient.Entry(OPEN, test.service.value(OPEN), unreadable.writtenRevision(), 0);
                        JobRepairer repairer = new JobRepairer(test.client, test.clock);
                        test.loseOne(OPEN);
                        assertTrue(await(repairer.repairOpen(JOB, entry, spec(JOB.text(), 4))
                                .map(false)
                                .otherwise(true)));
                        await(repairer.repairOpen(JOB, entry, spec(JOB.text(), 4)));
                        if (cancelled) {
                            assertEquals(200, test.cancel(jobService));
                        }
                        test.changesNothingMore();
                        assertEquals(cancelled, !test.service.has(OPEN));
                    });
        }
        CASES.put("the mending of an end, after another", test -> {
            String over = RecordKeys.finalKey(JOB);
            StateClient.Outcome unreadable =
                    await(test.client.commit(new StateClient.Txn().put(over, MessagePackFormat.map("status", "DONE"))));
            StateClient.Entry entry =
                    new StateClient.Entry(over, test.service.value(over), unreadable.writtenRevision(), 0);
            JobRepairer repairer = new JobRepairer(test.client, test.clock);
            test.loseOne(over);
            assertTrue(await(repairer.repairFinal(JOB, entry, null).map(false).otherwise(true)));
            await(repairer.repairFinal(JOB, entry, null));
            test.changesNothingMore();
        });
        CASES.put("progress, after newer progress", test -> {
            JobStore jobStore = test.leading();
            test.loseOne(OPEN);
            Job job = test.job(JOB.text(), 4, 2, 4);
            test.begin(jobStore, job);
            test.until(
                    () -> test.recorded(JOB) == 2 && job.unrecordedCompletions().isEmpty());
            test.changesNothingMore();
        });
        CASES.put("progress, after the job was cancelled", test -> {
            JobStore jobStore = test.leading();
            test.loseAll(OPEN);
            test.begin(jobStore, test.job(JOB.text(), 4, 2, 4));
            test.untilUnanswered();
            test.pass();
            test.until(() -> test.recorded(JOB) == 2);
            assertEquals(200, test.cancel(test.newJobService()));
            test.changesNothingMore();
            assertFalse(test.service.has(OPEN));
        });
        CASES.put("progress, after a change of leader", test -> {
            JobStore jobStore = test.leading();
            test.loseAll(OPEN);
            test.begin(jobStore, test.job(JOB.text(), 4, 2, 4));
            test.untilUnanswered();
            test.run(jobStore::cancel);
            test.lead(4);
            test.changesNothingMore();
            assertEquals(test.isAtOnce() ? 2 : 0, test.recorded(JOB));
        });
        CASES.put("a start bound, after a newer one", test -> {
            JobStore jobStore = test.leading();
            test.core.rented(POOL, List.of(new MachineId("vm-1")), test.clock.now(), test.clock.now());
            test.loseOne(OPEN);
            Job job = test.job(JOB.text(), 4, 0, 0);
            test.begin(jobStore, job);
            test.until(() -> test.service.value(OPEN).wholeNumber("bound", 0) > 0 && !job.needsHigherStartBound());
            test.changesNothingMore();
        });
        CASES.put("a start bound, after a change of leader: what that one orders by stands", test -> {
            JobStore jobStore = test.leading();
            test.core.rented(POOL, List.of(new MachineId("vm-1")), test.clock.now(), test.clock.now());
            test.loseAll(OPEN);
            Job job = test.job(JOB.text(), 4, 0, 0);
            test.begin(jobStore, job);
            test.untilUnanswered();
            test.run(jobStore::cancel);
            test.lead(4);
            test.changesNothingMore();
            assertTrue(job.needsHigherStartBound(), "not answered: nothing was ordered by it");
        });
        CASES.put("an end, after its repeat", test -> {
            JobStore jobStore = test.leading();
            test.loseOne(OPEN);
            test.begin(jobStore, test.job(JOB.text(), 4, 4, 4));
            test.until(() -> test.service.has(RecordKeys.finalKey(JOB)) && test.core.job(JOB) == null);
            test.changesNothingMore();
        });
        CASES.put("an end, after a change of leader", test -> {
            JobStore jobStore = test.leading();
            test.loseAll(OPEN);
            test.begin(jobStore, test.job(JOB.text(), 4, 4, 4));
            test.untilUnanswered();
            test.run(jobStore::cancel);
            test.lead(4);
            test.changesNothingMore();
            assertEquals(test.isAtOnce(), !test.service.has(OPEN));
        });
        CASES.put("an end, after its user cancelled", test -> {
            JobStore jobStore = test.leading();
            JobService jobService = test.newJobService();
            test.loseAll(OPEN);
            test.begin(jobStore, test.job(JOB.text(), 4, 4, 4));
            test.untilUnanswered();
            test.run(jobStore::cancel);
            test.pass();
            assertEquals(200, test.cancel(jobService));
            test.changesNothingMore();
            test.isOver(test.isAtOnce() ? JobStatus.DONE : JobStatus.CANCELLED);
        });
        CASES.put("an end in the open record, and its move, each after its repeat", test -> {
            JobStore jobStore = test.leading();
            Job[] jobs = new Job[8];
            for (int n = 0; n < jobs.length; n++) {
                jobs[n] = test.job("run-" + (n + 1), 1, 1, 1);
            }
            AtomicBoolean mark = new AtomicBoolean(true);
            AtomicBoolean move = new AtomicBoolean(true);
            // A mark puts the open record; the first transaction after it that deletes that record moves it.
            test.leaveUnanswered(txn -> touches(txn, OPEN)
                    && (touches(txn, RecordKeys.finalKey(JOB))
                            ? !mark.get() && move.getAndSet(false)
                            : mark.getAndSet(false)));
            test.begin(jobStore, jobs);
            for (Job job : jobs) {
                test.untilOver(job.id());
            }
            assertEquals(2, test.unanswered());
            test.changesNothingMore();
            assertEquals(List.of(), test.service.keys(RecordKeys.OPEN_JOBS));
        });
    }

    static List<Object[]> cases() {
        return bothWays(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void aTransactionWithoutAResponseDoesNoHarm(Unanswered when, String name, Case<LateJobTransactionsTest> play)
            throws Exception {
        play(this, when, play);
    }
}
