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
 * A floor under what each class of jobs of a share is served. Urgent jobs go first, and a flood of them that takes every
 * machine would leave the others nothing for as long as it lasts. So a class of which too many jobs have lost their longest
 * aim is owed: those that can still meet it go first, on a part of what the share uses at most, so that the floor of one
 * class cannot become the flood of another. The same holds for any job that is older than anything should become. That
 * is ageing as in multilevel feedback queues (Corbató and others, 1962), with classes in place of single jobs.
 */
final class ClassQuota {
    /** A class of which a smaller part can still be served in time is owed; above a half, as jobs it counts on may fail. */
    private static final double FLOOR = 0.7;
    /** Of the jobs served so many times those open are remembered: months of good service would hide a flood of today. */
    private static final int REMEMBERED = 4;

    private static final int REMEMBERED_LEAST = 20;
    private static final int CLASSES = 1000;
    /** A job that has waited for this part of its time is not counted on any more: many are lost together. */
    private static final double DANGER = 0.75;
    /** Part of the cores in use up to which owed jobs go before all others. */
    private static final double PART = 0.5;
    /** The same for the one task by which a job begins: a flood of single tasks is not to become everybody's. */
    private static final double PART_TO_BEGIN = 0.25;

    /** Jobs of a class: over in time, or open with time left; and all, those that lost their longest aim among them. */
    private static final class Tally {
        double met;
        double lost;
        int safe;
        int open;

        boolean isOwed() {
            return met + safe < FLOOR * (met + lost + open);
        }
    }

    private final Map<String, Tally> tallies = new HashMap<>();
    private final Set<String> owed = new HashSet<>();
    private boolean owedFirst;

    /** The job is off the queue: done or cancelled. */
    void jobEnded(Job job) {
        if (!job.missedObjectives && job.isComplete()) {
            tally(job).met++;
        }
    }

    private Tally tally(Job job) {
        return tallies.computeIfAbsent(job.spec.jobClass(), c -> new Tally());
    }

    /**
     * Counts the open jobs anew and says which go first on a part of the {@code cores} in use: {@link Job#starved}, {@link Job#underServed}.
     *
     * @param lastChance when the longest aim is lost to a job that still waits
     * @param aged the job has waited for longer than anything should
     */
    void recount(List<Job> jobs, double cores, Function<Job, Moment> lastChance, Predicate<Job> aged, Moment now) {
        if (tallies.size() > CLASSES) {
            // Their names are the users' own; one with no job open is owed nothing.
            tallies.values().removeIf(t -> t.open == 0);
        }
        tallies.values().forEach(t -> {
            int most = Math.max(REMEMBERED_LEAST, REMEMBERED * t.open);
            // What was lost is forgotten in proportion, so that it is made good and then over.
            double part = Math.min(1, most / Math.max(1, t.met));
            t.met *= part;
            t.lost *= part;
            t.open = t.safe = 0;
        });
        for (Job job : jobs) {
            if (job.missedObjectives || job.spec.isService()) {
                continue;
            }
            Tally tally = tally(job);
            Span whole = lastChance.apply(job).since(job.eligibleSince);
            Span waited = job.hasWaiting() ? now.since(job.eligibleSince) : Span.ZERO;
            job.objectivesMissed(waited.compareTo(whole) > 0);
            tally.lost += job.missedObjectives ? 1 : 0;
            tally.open += job.missedObjectives ? 0 : 1;
            tally.safe += waited.compareTo(whole.times(DANGER)) <= 0 ? 1 : 0;
        }
        owed.clear();
        tallies.forEach((name, tally) -> {
            if (tally.isOwed()) {
                owed.add(name);
            }
        });
        double first = 0;
        double begun = 0;
        for (Job job : jobs) {
            job.markUnderServed(!job.spec.isService()
                    && (aged.test(job) || (!job.missedObjectives && owed.contains(job.spec.jobClass()))));
            job.markStarved(ServiceLevelObjectives.isStarved(job, now) && !job.hasBegun());
            first += job.underServed
                    ? job.placements().size() * job.spec.demand().cores()
                    : 0;
            begun += job.startedAsStarved && !job.placements().isEmpty()
                    ? job.spec.demand().cores()
                    : 0;
        }
        owedFirst = first < PART * cores;
        boolean begin = begun < PART_TO_BEGIN * cores;
        for (Job job : jobs) {
            job.markStarved(job.starved && begin);
        }
    }

    /** What is owed goes first at this moment: it uses less than its part. */
    boolean servesUnderServedFirst() {
        return owedFirst;
    }
}
