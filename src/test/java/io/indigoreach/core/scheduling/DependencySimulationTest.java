package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs dependent jobs under some ten successive leaders. Responses to their writes may be lost or late, and job and end
 * notifications arrive in any order. After each step the test compares the leader with the state service: no job may
 * start before all required jobs are durably done, and exactly the dependents of a cancelled job are cancelled in time.
 */
public class DependencySimulationTest {
    private static final int STEPS = 2_000;
    private static final int SUBMISSION_STEPS = 1_500;
    /** The 32 s within which a cancellation must reach dependents, in steps of a tenth of a second. */
    private static final int CANCEL_STEPS = 320;

    private static final int MAX_LOOKUP_AGE_STEPS = 20;
    private static final int NEVER = Integer.MAX_VALUE;
    private static final int MIN_TERM_STEPS = 100;

    private Random random;
    private final Map<JobId, JobSpec> records = new LinkedHashMap<>();
    /** The ends recorded in the state service; an absent job is open. */
    private final Map<JobId, JobStatus> recordedEnds = new HashMap<>();

    private final Map<JobId, Integer> cancelledAt = new HashMap<>();
    private final Set<JobId> cancelledByUsers = new HashSet<>();
    private final Set<JobId> cancelledAtSubmission = new HashSet<>();
    /** Notifications that the leader has not received yet. */
    private final List<Runnable> pendingNotifications = new ArrayList<>();

    private SchedulerCore leader;
    private long token;
    private int step;
    private int termEnd;
    private EffectListener effects = EffectListener.NONE;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void dependentJobsFollowTheEndsOfRequiredJobs(long seed) {
        simulate(seed);
    }

    /** Runs the simulation with a listener for the leader's decisions. */
    public static void simulate(long seed, EffectListener effects) {
        DependencySimulationTest simulation = new DependencySimulationTest();
        simulation.effects = effects;
        simulation.simulate(seed);
    }

    private void simulate(long seed) {
        random = new Random(seed);
        for (step = 0; step < STEPS; step++) {
            if (step < SUBMISSION_STEPS) {
                simulateUsers();
            }
            if (step >= termEnd) {
                termEnd = step + MIN_TERM_STEPS + random.nextInt(2 * MIN_TERM_STEPS);
                electLeader();
            }
            deliverNotifications();
            runLeader();
            checkInvariants();
        }
        assertTrue(
                token > 3 && cancelledByUsers.size() > 10,
                token + " leaders, " + cancelledByUsers.size() + " jobs cancelled by users");
        assertTrue(
                recordedEnds.size() > records.size() / 2,
                "ended jobs: " + recordedEnds.size() + " of " + records.size());
    }

    private void simulateUsers() {
        if (random.nextDouble() < 0.3) {
            submit(new JobId("run-" + records.size()));
        }
        if (random.nextDouble() < 0.03) {
            openJobs().stream()
                    .skip(random.nextInt(openJobs().size() + 1))
                    .findFirst()
                    .ifPresent(id -> {
                        cancelledByUsers.add(id);
                        recordEnd(id, JobStatus.CANCELLED);
                        SchedulerCore currentLeader = leader;
                        pendingNotifications.add(() -> currentLeader.cancelJob(id));
                    });
        }
    }

    private void submit(JobId id) {
        List<JobId> earlierJobs = new ArrayList<>(records.keySet());
        Collections.shuffle(earlierJobs, random);
        List<JobId> requiredJobs = earlierJobs.stream().limit(random.nextInt(4)).toList();
        JobSpec spec = SchedulerFixture.spec(records.size(), 2, 1, 20).with(JobDependencies.of(requiredJobs));
        records.put(id, spec);
        // A node may have looked up a required job before it was cancelled. The new job is then accepted as open.
        if (requiredJobs.stream()
                .anyMatch(requiredId -> recordedEnds.get(requiredId) == JobStatus.CANCELLED
                        && (random.nextDouble() < 0.5
                                || cancelledAtSubmission.contains(requiredId)
                                || step - cancelledAt.get(requiredId) > MAX_LOOKUP_AGE_STEPS))) {
            recordEnd(id, JobStatus.CANCELLED);
            cancelledAtSubmission.add(id);
            return;
        }
        SchedulerCore currentLeader = leader;
        pendingNotifications.add(() -> {
            // The watch delivers a job before its end.
            if (!recordedEnds.containsKey(id)) {
                currentLeader.addJob(job(id, false));
            }
        });
    }

    private void recordEnd(JobId id, JobStatus status) {
        if (recordedEnds.putIfAbsent(id, status) == null && status == JobStatus.CANCELLED) {
            cancelledAt.put(id, step);
        }
    }

    private List<JobId> openJobs() {
        return records.keySet().stream()
                .filter(id -> !recordedEnds.containsKey(id))
                .toList();
    }

    private Job job(JobId id, boolean inherited) {
        return new Job(records.get(id), 1, SchedulerFixture.atSeconds(0), new Revision(1), new BitSet(), 0, inherited);
    }

    private void electLeader() {
        leader = new SchedulerCore(
                new FencingToken(++token),
                SchedulerFixture.SAFETY_TIMES,
                SchedulerFixture.SETTINGS,
                SchedulerFixture.NO_OBJECTIVES,
                List.of(SchedulerFixture.teamWithCoreLimit(0)),
                new SchedulerFixture());
        pendingNotifications.clear();
        List<JobId> listed = new ArrayList<>(openJobs());
        Collections.shuffle(listed, random);
        listed.forEach(id -> leader.addJob(job(id, true)));
        leader.onRecordsLoaded();
    }

    private void deliverNotifications() {
        while (!pendingNotifications.isEmpty() && random.nextDouble() < 0.6) {
            pendingNotifications
                    .remove(random.nextInt(pendingNotifications.size()))
                    .run();
        }
    }

    private void runLeader() {
        leader.dependentJobs().advance(SchedulerFixture.atSeconds(step / 10.0), step * 100L);
        for (JobId id : List.copyOf(leader.dependentJobs().jobsToLookUp())) {
            effects.effect(EffectListener.END_LOOKED_UP, id.text());
            if (random.nextDouble() < 0.5 && recordedEnds.containsKey(id)) {
                deliverEnd(id);
            }
        }
        for (JobId id : List.copyOf(leader.dependentJobs().jobsToCancel())) {
            effects.effect(EffectListener.CANCELLATION_REQUIRED, id.text());
            if (random.nextDouble() < 0.3) {
                recordEnd(id, JobStatus.CANCELLED);
                respond(id);
            }
        }
        for (Job job : List.copyOf(leader.jobs())) {
            effects.effect(EffectListener.JOB_STATE, job.id().text(), job.hasStartable(), job.isComplete());
            if (job.isComplete() && random.nextDouble() < 0.2) {
                recordEnd(job.id(), JobStatus.DONE);
                respond(job.id());
            } else if (job.hasStartable() && random.nextDouble() < 0.05) {
                // This leader knows that the tasks are done; a later leader may never learn it.
                job.complete(0);
                job.complete(1);
            } else if (job.hasStartable() && random.nextDouble() < 0.2) {
                records.put(job.id(), job.spec());
            }
        }
    }

    /** Delivers the response to a write unless it is lost. After a loss, the next attempt finds the recorded end. */
    private void respond(JobId id) {
        if (random.nextDouble() < 0.7) {
            deliverEnd(id);
        }
    }

    private void deliverEnd(JobId id) {
        if (recordedEnds.get(id) == JobStatus.DONE) {
            leader.dependentJobs().onJobDone(id);
            leader.closeJob(id);
        } else {
            leader.dependentJobs().onJobCancelled(id);
            leader.cancelJob(id);
        }
    }

    private void checkInvariants() {
        for (Job job : leader.jobs()) {
            if (job.hasStartable() && !recordedEnds.containsKey(job.id())) {
                job.spec()
                        .dependencies()
                        .requiredJobs()
                        .forEach(requiredId -> assertEquals(
                                JobStatus.DONE,
                                recordedEnds.get(requiredId),
                                job.id() + " could start before " + requiredId + " is done"));
            }
        }
        Map<JobId, Integer> cancelledSince = new HashMap<>();
        for (JobId id : records.keySet()) {
            int since = requirementCancelledSince(id, cancelledSince);
            if (recordedEnds.get(id) == JobStatus.CANCELLED) {
                assertTrue(
                        since < NEVER || cancelledByUsers.contains(id),
                        () -> id + " is cancelled without a cancelled required job");
            } else {
                assertTrue(
                        since == NEVER || step - since < CANCEL_STEPS,
                        () -> id + " is not cancelled in time after a required job");
            }
        }
    }

    /** The first step at which a job that this one requires, directly or not, was cancelled by a user. */
    private int requirementCancelledSince(JobId id, Map<JobId, Integer> cancelledSince) {
        Integer cached = cancelledSince.get(id);
        if (cached != null) {
            return cached;
        }
        int since = NEVER;
        for (JobId requiredId : records.get(id).dependencies().requiredJobs()) {
            if (cancelledByUsers.contains(requiredId)) {
                since = Math.min(since, cancelledAt.get(requiredId));
            }
            if (recordedEnds.get(requiredId) != JobStatus.DONE) {
                since = Math.min(since, requirementCancelledSince(requiredId, cancelledSince));
            }
        }
        cancelledSince.put(id, since);
        return since;
    }
}
