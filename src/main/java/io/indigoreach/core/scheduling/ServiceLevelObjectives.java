package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The service level objectives of each job class: tasks started, or jobs finished, within a given time. */
public final class ServiceLevelObjectives {
    /** One objective; {@code forStart} selects the start of each task, otherwise the end of the whole job is meant. */
    public record Objective(String jobClass, boolean forStart, Span within) {}

    /** A job past all its objectives is due this long after it became eligible. */
    private static final Span AGE_LIMIT_WITH_OBJECTIVE = Span.seconds(600);
    /**
     * A job without an objective is due this long after it became eligible. With 600 s, less than half of such jobs had
     * finished at the end of a busy day.
     */
    private static final Span AGE_LIMIT_WITHOUT_OBJECTIVE = Span.seconds(400);
    /** A job without a running task is starved after this fraction of {@link #AGE_LIMIT_WITHOUT_OBJECTIVE}. */
    private static final double STARVED_FRACTION = 0.3;

    private final Map<String, List<Objective>> objectivesByClass = new HashMap<>();

    /** The objectives of all job classes, in any order. */
    public ServiceLevelObjectives(List<Objective> objectives) {
        for (Objective objective : objectives) {
            objectivesByClass
                    .computeIfAbsent(objective.jobClass(), name -> new ArrayList<>())
                    .add(objective);
        }
    }

    /**
     * The latest start of the job's waiting tasks for its next objective that can still be met.
     *
     * @param rounds the number of rounds that the waiting tasks would take with the whole cluster to themselves. An
     *     objective that cannot be met even so gives the job no precedence.
     */
    Moment latestStart(Job job, Span runTime, int rounds, Moment now) {
        Moment nextLatestStart = job.eligibleSince.plus(AGE_LIMIT_WITH_OBJECTIVE);
        Moment lastRound = now.plus(runTime.times(Math.max(0, rounds - 1)));
        for (Objective objective : objectivesByClass.getOrDefault(job.spec.jobClass(), List.of())) {
            Moment latest = job.eligibleSince.plus(
                    objective.forStart()
                            ? objective.within()
                            : objective.within().minus(runTime));
            nextLatestStart = earlier(nextLatestStart, latest, objective.forStart() ? now : lastRound);
        }
        if (job.dueAt() != null) {
            nextLatestStart = earlier(nextLatestStart, job.dueAt().minus(runTime), now);
        }
        return nextLatestStart;
    }

    /**
     * The latest start of the job's waiting tasks for the longest objective of its class or for its deadline. Without
     * either it is the age limit for jobs without an objective.
     */
    Moment latestStartForLongestObjective(Job job, Span runTime) {
        Moment latestOfAll = null;
        for (Objective objective : objectivesByClass.getOrDefault(job.spec.jobClass(), List.of())) {
            Moment latest = job.eligibleSince.plus(
                    objective.forStart()
                            ? objective.within()
                            : objective.within().minus(runTime));
            latestOfAll = latestOfAll == null || latest.isAfter(latestOfAll) ? latest : latestOfAll;
        }
        // A deadline inherited from a dependent job makes this job more urgent, but does not extend the objectives of
        // its own class.
        Moment deadline = latestOfAll == null ? job.dueAt() : job.ownDueAt();
        if (deadline != null) {
            Moment latest = deadline.minus(runTime);
            latestOfAll = latestOfAll == null || latest.isAfter(latestOfAll) ? latest : latestOfAll;
        }
        return latestOfAll == null ? job.eligibleSince.plus(AGE_LIMIT_WITHOUT_OBJECTIVE) : latestOfAll;
    }

    /** Whether the job has waited longer than any job should, so that it takes precedence over class and urgency. */
    boolean isAged(Job job, Moment now) {
        return now.isAfter(
                job.eligibleSince.plus(hasNoObjective(job) ? AGE_LIMIT_WITHOUT_OBJECTIVE : AGE_LIMIT_WITH_OBJECTIVE));
    }

    /** Whether the job has waited so long that one of its tasks should run, regardless of class and urgency. */
    static boolean isStarved(Job job, Moment now) {
        return now.isAfter(job.eligibleSince.plus(AGE_LIMIT_WITHOUT_OBJECTIVE.times(STARVED_FRACTION)));
    }

    /** Whether it has neither an objective nor a deadline. */
    boolean hasNoObjective(Job job) {
        return job.dueAt() == null
                && objectivesByClass
                        .getOrDefault(job.spec.jobClass(), List.of())
                        .isEmpty();
    }

    /** The latest start of the job's tasks for its nearest start objective; null if it has none. */
    Moment latestStartForStartObjective(Job job) {
        return objectivesByClass.getOrDefault(job.spec.jobClass(), List.of()).stream()
                .filter(Objective::forStart)
                .map(objective -> job.eligibleSince.plus(objective.within()))
                .min(Moment::compareTo)
                .orElse(null);
    }

    private static Moment earlier(Moment next, Moment latest, Moment reachableFrom) {
        return !latest.isBefore(reachableFrom) && latest.isBefore(next) ? latest : next;
    }
}
