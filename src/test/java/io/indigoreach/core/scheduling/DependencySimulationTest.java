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
 * Chained jobs under some ten leaders, whose writes are answered, lost or answered late, and who hear of jobs and ends in any
 * order. Checked after each step against what the state service holds: nothing may start before all that its job needs is
 * durably done, and what is below a cancelled job is cancelled in time, and nothing else.
 */
public class DependencySimulationTest {
    private static final int STEPS = 2_000;
    private static final int SUBMITTED_UNTIL = 1_500;
    /** Steps of a tenth of a second in the 32 s of a cancellation. */
    private static final int CANCEL_STEPS = 320;

    private static final int SAME_MOMENT = 20;
    private static final int NEVER = Integer.MAX_VALUE;
    private static final int LEADERSHIP = 100;

    private Random random;
    private final Map<JobId, JobSpec> records = new LinkedHashMap<>();
    /** What the state service holds; absent: open. */
    private final Map<JobId, JobStatus> ends = new HashMap<>();

    private final Map<JobId, Integer> cancelledAt = new HashMap<>();
    private final Set<JobId> byUser = new HashSet<>();
    private final Set<JobId> bornCancelled = new HashSet<>();
    /** What the leader has not heard of yet. */
    private final List<Runnable> unheard = new ArrayList<>();

    private SchedulerCore leader;
    private long token;
    private int step;
    private int until;
    private EffectListener effects = EffectListener.NONE;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingIsTooEarlyAndNothingOrphaned(long seed) {
        play(seed);
    }

    /** The same run, whose decisions the listener hears. */
    public static void play(long seed, EffectListener effects) {
        DependencySimulationTest run = new DependencySimulationTest();
        run.effects = effects;
        run.play(seed);
    }

    private void play(long seed) {
        random = new Random(seed);
        for (step = 0; step < STEPS; step++) {
            if (step < SUBMITTED_UNTIL) {
                users();
            }
            if (step >= until) {
                until = step + LEADERSHIP + random.nextInt(2 * LEADERSHIP);
                lead();
            }
            hear();
            work();
            check();
        }
        assertTrue(token > 3 && byUser.size() > 10, token + " leaders, " + byUser.size() + " cancelled");
        assertTrue(ends.size() > records.size() / 2, "over: " + ends.size() + " of " + records.size());
    }

    private void users() {
        if (random.nextDouble() < 0.3) {
            submit(new JobId("run-" + records.size()));
        }
        if (random.nextDouble() < 0.03) {
            open().stream().skip(random.nextInt(open().size() + 1)).findFirst().ifPresent(id -> {
                byUser.add(id);
                end(id, JobStatus.CANCELLED);
                SchedulerCore then = leader;
                unheard.add(() -> then.cancelJob(id));
            });
        }
    }

    private void submit(JobId id) {
        List<JobId> before = new ArrayList<>(records.keySet());
        Collections.shuffle(before, random);
        List<JobId> needs = before.stream().limit(random.nextInt(4)).toList();
        JobSpec spec = SchedulerFixture.spec(records.size(), 2, 1, 20).with(JobDependencies.of(needs));
        records.put(id, spec);
        // A node's look-up may be older than the end of a job that was open: then the new one is accepted as open.
        if (needs.stream()
                .anyMatch(n -> ends.get(n) == JobStatus.CANCELLED
                        && (random.nextDouble() < 0.5
                                || bornCancelled.contains(n)
                                || step - cancelledAt.get(n) > SAME_MOMENT))) {
            end(id, JobStatus.CANCELLED);
            bornCancelled.add(id);
            return;
        }
        SchedulerCore then = leader;
        unheard.add(() -> {
            // The watch tells of a job before it tells of its end.
            if (!ends.containsKey(id)) {
                then.addJob(job(id, false));
            }
        });
    }

    private void end(JobId id, JobStatus status) {
        if (ends.putIfAbsent(id, status) == null && status == JobStatus.CANCELLED) {
            cancelledAt.put(id, step);
        }
    }

    private List<JobId> open() {
        return records.keySet().stream().filter(id -> !ends.containsKey(id)).toList();
    }

    private Job job(JobId id, boolean inherited) {
        return new Job(records.get(id), 1, SchedulerFixture.atSeconds(0), new Revision(1), new BitSet(), 0, inherited);
    }

    private void lead() {
        leader = new SchedulerCore(
                new FencingToken(++token),
                SchedulerFixture.SAFETY_TIMES,
                SchedulerFixture.SETTINGS,
                SchedulerFixture.NO_OBJECTIVES,
                List.of(SchedulerFixture.teamWithCoreLimit(0)),
                new SchedulerFixture());
        unheard.clear();
        List<JobId> listed = new ArrayList<>(open());
        Collections.shuffle(listed, random);
        listed.forEach(id -> leader.addJob(job(id, true)));
        leader.recordsLoaded();
    }

    private void hear() {
        while (!unheard.isEmpty() && random.nextDouble() < 0.6) {
            unheard.remove(random.nextInt(unheard.size())).run();
        }
    }

    private void work() {
        leader.dependentJobs().advance(SchedulerFixture.atSeconds(step / 10.0), step * 100L);
        for (JobId id : List.copyOf(leader.dependentJobs().jobsToLookUp())) {
            effects.effect(EffectListener.END_LOOKED_UP, id.text());
            if (random.nextDouble() < 0.5 && ends.containsKey(id)) {
                answer(id);
            }
        }
        for (JobId id : List.copyOf(leader.dependentJobs().jobsToCancel())) {
            effects.effect(EffectListener.END_DOOMED, id.text());
            if (random.nextDouble() < 0.3) {
                end(id, JobStatus.CANCELLED);
                acknowledge(id);
            }
        }
        for (Job job : List.copyOf(leader.jobs())) {
            effects.effect(EffectListener.JOB_STARTABLE, job.id().text(), job.hasStartable(), job.isComplete());
            if (job.isComplete() && random.nextDouble() < 0.2) {
                end(job.id(), JobStatus.DONE);
                acknowledge(job.id());
            } else if (job.hasStartable() && random.nextDouble() < 0.05) {
                // The leader believes that it is done; a later one may never hear of it.
                job.complete(0);
                job.complete(1);
            } else if (job.hasStartable() && random.nextDouble() < 0.2) {
                records.put(job.id(), job.spec());
            }
        }
    }

    /** The answer to a write, unless it is lost: then the next try finds what is there. */
    private void acknowledge(JobId id) {
        if (random.nextDouble() < 0.7) {
            answer(id);
        }
    }

    private void answer(JobId id) {
        if (ends.get(id) == JobStatus.DONE) {
            leader.dependentJobs().done(id);
            leader.closeJob(id);
        } else {
            leader.dependentJobs().cancelled(id);
            leader.cancelJob(id);
        }
    }

    private void check() {
        for (Job job : leader.jobs()) {
            if (job.hasStartable() && !ends.containsKey(job.id())) {
                job.spec()
                        .dependencies()
                        .requiredJobs()
                        .forEach(need -> assertEquals(
                                JobStatus.DONE, ends.get(need), job.id() + " could start before " + need + " is done"));
            }
        }
        Map<JobId, Integer> lostSince = new HashMap<>();
        for (JobId id : records.keySet()) {
            int since = lostSince(id, lostSince);
            if (ends.get(id) == JobStatus.CANCELLED) {
                assertTrue(since < NEVER || byUser.contains(id), () -> id + " is cancelled by nobody");
            } else {
                assertTrue(since == NEVER || step - since < CANCEL_STEPS, () -> id + " is orphaned");
            }
        }
    }

    /** Since when a user knows a job before this one to be cancelled. */
    private int lostSince(JobId id, Map<JobId, Integer> known) {
        Integer before = known.get(id);
        if (before != null) {
            return before;
        }
        int since = NEVER;
        for (JobId need : records.get(id).dependencies().requiredJobs()) {
            if (byUser.contains(need)) {
                since = Math.min(since, cancelledAt.get(need));
            }
            if (ends.get(need) != JobStatus.DONE) {
                since = Math.min(since, lostSince(need, known));
            }
        }
        known.put(id, since);
        return since;
    }
}
