package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Guarantees a minimum of service to each job class of a queue. Urgent jobs go first, so a burst of them that takes
 * every machine would starve the other classes while it lasts. A class in which too many jobs have missed their longest
 * objective is therefore under-served: its jobs that can still meet the objective go first, but only on a part of the
 * cores that the queue uses, so that they cannot starve other classes in turn. The same applies to any aged job. This
 * is ageing as in multilevel feedback queues (Corbató et al., 1962), applied to classes instead of single jobs.
 */
final class MinimumClassService {
    /**
     * A class is under-served if a smaller fraction of its jobs can still meet the objective. The limit is above one
     * half because some of the jobs that are expected to meet it fail.
     */
    private static final double MINIMUM_SERVED_FRACTION = 0.7;
    /**
     * Past jobs are remembered up to this multiple of the open jobs. With a longer memory, months of good service would
     * hide a current shortage.
     */
    private static final int PAST_JOBS_PER_OPEN_JOB = 4;

    private static final int MINIMUM_PAST_JOBS = 20;
    private static final int MAXIMUM_CLASSES = 1000;
    /**
     * A job that has waited for more than this fraction of its time no longer counts as likely to meet the objective,
     * because many jobs tend to miss it together.
     */
    private static final double ON_TRACK_FRACTION = 0.75;
    /** The fraction of the cores in use up to which under-served jobs go before others. */
    private static final double UNDER_SERVED_FRACTION = 0.5;
    /**
     * The fraction of the cores in use up to which starved jobs start one task each, so that a burst of single-task
     * jobs cannot take over.
     */
    private static final double STARVED_FRACTION = 0.25;

    /**
     * Counts of the jobs of a class: completed in time, missed, open, and on track. A job on track is open and has enough
     * time left. The counts of completed and missed jobs are fractional because they decay.
     */
    private static final class ClassCounts {
        double met;
        double missed;
        int onTrack;
        int open;

        boolean isUnderServed() {
            return met + onTrack < MINIMUM_SERVED_FRACTION * (met + missed + open);
        }
    }

    private final Map<String, ClassCounts> countsByClass = new HashMap<>();
    private final Set<String> underServedClasses = new HashSet<>();
    private boolean underServedFirst;

    /** Counts a job that has left the queue because it is done or cancelled. */
    void jobEnded(Job job) {
        if (!job.missedObjectives && job.isComplete()) {
            countsOf(job).met++;
        }
    }

    private ClassCounts countsOf(Job job) {
        return countsByClass.computeIfAbsent(job.spec.jobClass(), name -> new ClassCounts());
    }

    /**
     * Recounts the open jobs and marks those that go first on a part of the {@code cores} in use: {@link Job#starved},
     * {@link Job#underServed}.
     *
     * @param longestObjectiveStart the latest start with which a job still meets its longest objective
     * @param isAged whether a job has waited longer than any job should
     */
    void recount(
            List<Job> jobs,
            double cores,
            Function<Job, Moment> longestObjectiveStart,
            Predicate<Job> isAged,
            Moment now) {
        decayPastJobs();
        for (Job job : jobs) {
            if (!job.missedObjectives && !job.spec.isService()) {
                countOpen(job, longestObjectiveStart, now);
            }
        }
        underServedClasses.clear();
        countsByClass.forEach((name, counts) -> {
            if (counts.isUnderServed()) {
                underServedClasses.add(name);
            }
        });
        markJobs(jobs, cores, isAged, now);
    }

    /** Scales down the counts of past jobs. Missed jobs decay with met ones, so that an under-served class recovers. */
    private void decayPastJobs() {
        if (countsByClass.size() > MAXIMUM_CLASSES) {
            // Users choose class names, so their number is unbounded. A class without open jobs is not under-served.
            countsByClass.values().removeIf(counts -> counts.open == 0);
        }
        countsByClass.values().forEach(counts -> {
            int pastJobLimit = Math.max(MINIMUM_PAST_JOBS, PAST_JOBS_PER_OPEN_JOB * counts.open);
            double decayFactor = Math.min(1, pastJobLimit / Math.max(1, counts.met));
            counts.met *= decayFactor;
            counts.missed *= decayFactor;
            counts.open = 0;
            counts.onTrack = 0;
        });
    }

    private void countOpen(Job job, Function<Job, Moment> longestObjectiveStart, Moment now) {
        ClassCounts counts = countsOf(job);
        Span timeLimit = longestObjectiveStart.apply(job).since(job.eligibleSince);
        Span waited = job.hasWaiting() ? now.since(job.eligibleSince) : Span.ZERO;
        job.markMissedObjectives(waited.compareTo(timeLimit) > 0);
        counts.missed += job.missedObjectives ? 1 : 0;
        counts.open += job.missedObjectives ? 0 : 1;
        counts.onTrack += waited.compareTo(timeLimit.times(ON_TRACK_FRACTION)) <= 0 ? 1 : 0;
    }

    private void markJobs(List<Job> jobs, double cores, Predicate<Job> isAged, Moment now) {
        double underServedCores = 0;
        double starvedCores = 0;
        for (Job job : jobs) {
            job.markUnderServed(!job.spec.isService() && (isAged.test(job) || isOfUnderServedClass(job)));
            job.markStarved(ServiceLevelObjectives.isStarved(job, now) && !job.hasStarted());
            double coresPerTask = job.spec.demand().cores();
            underServedCores += job.underServed ? job.placements().size() * coresPerTask : 0;
            starvedCores += job.startedWhileStarved && !job.placements().isEmpty() ? coresPerTask : 0;
        }
        underServedFirst = underServedCores < UNDER_SERVED_FRACTION * cores;
        boolean servesStarvedFirst = starvedCores < STARVED_FRACTION * cores;
        for (Job job : jobs) {
            job.markStarved(job.starved && servesStarvedFirst);
        }
    }

    private boolean isOfUnderServedClass(Job job) {
        return !job.missedObjectives && underServedClasses.contains(job.spec.jobClass());
    }

    /** Whether under-served jobs go first, because they use less than their fraction of the cores. */
    boolean servesUnderServedFirst() {
        return underServedFirst;
    }
}
