package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The service level objectives of each job class: tasks started, or jobs finished, within a given time. */
public final class ServiceLevelObjectives {
    /** One objective; {@code start} selects the start of each task, otherwise the end of the whole job is meant. */
    public record Objective(String jobClass, boolean start, Span within) {}

    /** A job past all its objectives is due this long after it became eligible. */
    private static final Span AGED_WITH_OBJECTIVE = Span.seconds(600);
    /**
     * A job without an objective is due this long after it became eligible. With 600 s, less than half of such jobs had
     * finished at the end of a busy day.
     */
    private static final Span AGED_WITHOUT_OBJECTIVE = Span.seconds(400);
    /** A job without a running task is starved after this fraction of {@link #AGED_WITHOUT_OBJECTIVE}. */
    private static final double STARVED_FRACTION = 0.3;

    private final Map<String, List<Objective>> byClass = new HashMap<>();

    /** The objectives of all job classes, in any order. */
    public ServiceLevelObjectives(List<Objective> objectives) {
        for (Objective objective : objectives) {
            byClass.computeIfAbsent(objective.jobClass(), name -> new ArrayList<>())
                    .add(objective);
        }
    }

    /**
     * The latest start of the job's waiting tasks for its next objective that can still be met.
     *
     * @param rounds the number of rounds that the waiting tasks would take with the whole cluster to themselves. An
     *     objective that cannot be met even so gives the job no precedence.
     */
    Moment latestStart(Job job, Span run, int rounds, Moment now) {
        Moment next = job.eligibleSince.plus(AGED_WITH_OBJECTIVE);
        Moment lastRound = now.plus(run.times(Math.max(0, rounds - 1)));
        for (Objective objective : byClass.getOrDefault(job.spec.jobClass(), List.of())) {
            Moment latest = job.eligibleSince.plus(
                    objective.start() ? objective.within() : objective.within().minus(run));
            next = earlier(next, latest, objective.start() ? now : lastRound);
        }
        if (job.dueAt() != null) {
            next = earlier(next, job.dueAt().minus(run), now);
        }
        return next;
    }

    /**
     * The latest start of the job's waiting tasks for the longest objective of its class or for its deadline. Without
     * either it is the age limit for jobs without an objective.
     */
    Moment lastChance(Job job, Span run) {
        Moment last = null;
        for (Objective objective : byClass.getOrDefault(job.spec.jobClass(), List.of())) {
            Moment latest = job.eligibleSince.plus(
                    objective.start() ? objective.within() : objective.within().minus(run));
            last = last == null || latest.isAfter(last) ? latest : last;
        }
        // A deadline inherited from a dependent job makes this job more urgent, but does not extend the objectives of
        // its own class.
        Moment due = last == null ? job.dueAt() : job.ownDueAt();
        if (due != null) {
            Moment latest = due.minus(run);
            last = last == null || latest.isAfter(last) ? latest : last;
        }
        return last == null ? job.eligibleSince.plus(AGED_WITHOUT_OBJECTIVE) : last;
    }

    /** Whether the job has waited longer than any job should, so that it takes precedence over class and urgency. */
    boolean isAged(Job job, Moment now) {
        return now.isAfter(job.eligibleSince.plus(hasNoObjective(job) ? AGED_WITHOUT_OBJECTIVE : AGED_WITH_OBJECTIVE));
    }

    /** Whether the job has waited so long that one of its tasks should run, regardless of class and urgency. */
    static boolean isStarved(Job job, Moment now) {
        return now.isAfter(job.eligibleSince.plus(AGED_WITHOUT_OBJECTIVE.times(STARVED_FRACTION)));
    }

    /** Whether it has neither an objective nor a deadline. */
    boolean hasNoObjective(Job job) {
        return job.dueAt() == null
                && byClass.getOrDefault(job.spec.jobClass(), List.of()).isEmpty();
    }

    /** The latest start of the job's tasks for its nearest start objective; null if it has none. */
    Moment latestStartForWait(Job job) {
        return byClass.getOrDefault(job.spec.jobClass(), List.of()).stream()
                .filter(Objective::start)
                .map(objective -> job.eligibleSince.plus(objective.within()))
                .min(Moment::compareTo)
                .orElse(null);
    }

    private static Moment earlier(Moment next, Moment latest, Moment soonest) {
        return !latest.isBefore(soonest) && latest.isBefore(next) ? latest : next;
    }
}
