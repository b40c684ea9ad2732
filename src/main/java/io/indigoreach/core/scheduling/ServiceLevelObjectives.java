package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the users expect of each class of jobs: tasks started, or jobs finished, within a time. */
public final class ServiceLevelObjectives {
    /** One expectation; {@code start}: of each task's start, else of the whole job's end. */
    public record Objective(String jobClass, boolean forStart, Span within) {}

    /** A job past all its objectives counts as expected this long after its arrival. */
    private static final Span AGE_LIMIT_WITH_OBJECTIVE = Span.seconds(600);
    /** One without any is served by then: with 600 s less than half of such a class was over at the end of a full day. */
    private static final Span AGE_LIMIT_WITHOUT_OBJECTIVE = Span.seconds(400);
    /** A job of which nothing has run after this part of that goes first with one task. */
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
     * The next moment by which the job's waiting tasks should have started, for an objective that can still be met.
     *
     * @param rounds how many rounds its waiting tasks would take with every place there is: an objective that is out of
     *     reach even so is no reason to go before others
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
     * The last moment at which its waiting tasks may start for the longest objective of its class, or its deadline; without
     * either there is only the age that nothing should reach.
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
        // A deadline of a job after it makes it more urgent; it is no reason to be late for the objectives of its own
        // class.
        Moment deadline = latestOfAll == null ? job.dueAt() : job.ownDueAt();
        if (deadline != null) {
            Moment latest = deadline.minus(runTime);
            latestOfAll = latestOfAll == null || latest.isAfter(latestOfAll) ? latest : latestOfAll;
        }
        return latestOfAll == null ? job.eligibleSince.plus(AGE_LIMIT_WITHOUT_OBJECTIVE) : latestOfAll;
    }

    /** Waiting for longer than anything should: whatever its class and urgency, it is served now. */
    boolean isAged(Job job, Moment now) {
        return now.isAfter(
                job.eligibleSince.plus(hasNoObjective(job) ? AGE_LIMIT_WITHOUT_OBJECTIVE : AGE_LIMIT_WITH_OBJECTIVE));
    }

    /** It has waited for so long that something of it should run, whatever its class and urgency. */
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

    /** The moment by which the job's tasks should have started for its nearest objective on starts, or null. */
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
