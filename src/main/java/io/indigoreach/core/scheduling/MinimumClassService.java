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
 * A floor under what each class of jobs of a queue is served. Urgent jobs go first, and a flood of them that takes every
 * machine would leave the others nothing for as long as it lasts. So a class of which too many jobs have missed their longest
 * objective is under-served: those that can still meet it go first, on a part of what the queue uses at most, so that the floor of one
 * class cannot become the flood of another. The same holds for any job that is older than anything should become. That
 * is ageing as in multilevel feedback queues (Corbató and others, 1962), with classes in place of single jobs.
 */
final class MinimumClassService {
    /** A class of which a smaller part can still be served in time is under-served; above a half, as jobs it counts on may fail. */
    private static final double MINIMUM_SERVED_FRACTION = 0.7;
    /** Of the jobs served so many times those open are remembered: months of good service would hide a flood of today. */
    private static final int PAST_JOBS_PER_OPEN_JOB = 4;

    private static final int MINIMUM_PAST_JOBS = 20;
    private static final int MAXIMUM_CLASSES = 1000;
    /** A job that has waited for this part of its time is not counted on any more: many are lost together. */
    private static final double ON_TRACK_FRACTION = 0.75;
    /** Part of the cores in use up to which under-served jobs go before all others. */
    private static final double UNDER_SERVED_FRACTION = 0.5;
    /** The same for the one task by which a job begins: a flood of single tasks is not to become everybody's. */
    private static final double STARVED_FRACTION = 0.25;

    /** Jobs of a class: over in time, or open with time left; and all, those that missed their longest objective among them. */
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

    /** The job is off the queue: done or cancelled. */
    void jobEnded(Job job) {
        if (!job.missedObjectives && job.isComplete()) {
            countsOf(job).met++;
        }
    }

    private ClassCounts countsOf(Job job) {
        return countsByClass.computeIfAbsent(job.spec.jobClass(), name -> new ClassCounts());
    }

    /**
     * Counts the open jobs anew and says which go first on a part of the {@code cores} in use: {@link Job#starved},
     * {@link Job#underServed}.
     *
     * @param lastChance when the longest objective is missed by a job that still waits
     * @param aged the job has waited for longer than anything should
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

    /** What was missed is forgotten in proportion to what was met, so that it is made good and then over. */
    private void decayPastJobs() {
        if (countsByClass.size() > MAXIMUM_CLASSES) {
            // Their names are the users' own; a class without open jobs is not under-served.
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

    /** Whether under-served jobs go first at this moment: they use less than their part of the cores. */
    boolean servesUnderServedFirst() {
        return underServedFirst;
    }
}
