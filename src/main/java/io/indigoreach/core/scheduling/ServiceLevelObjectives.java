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
    public record Objective(String jobClass, boolean start, Span within) {}

    /** A job past all its objectives counts as expected this long after its arrival. */
    private static final Span AGED_WITH_OBJECTIVE = Span.seconds(600);
    /** One without any is served by then: with 600 s less than half of such a class was over at the end of a full day. */
    private static final Span AGED_WITHOUT_OBJECTIVE = Span.seconds(400);
    /** A job of which nothing has run after this part of that goes first with one task. */
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
     * The next moment by which the job's waiting tasks should have started, for an objective that can still be met.
     *
     * @param rounds how many rounds its waiting tasks would take with every place there is: an objective that is out of
     *     reach even so is no reason to go before others
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
     * The last moment at which its waiting tasks may start for the longest objective of its class, or its deadline; without
     * either there is only the age that nothing should reach.
     */
    Moment lastChance(Job job, Span run) {
        Moment last = null;
        for (Objective objective : byClass.getOrDefault(job.spec.jobClass(), List.of())) {
            Moment latest = job.eligibleSince.plus(
                    objective.start() ? objective.within() : objective.within().minus(run));
            last = last == null || latest.isAfter(last) ? latest : last;
        }
        // A deadline of a job after it makes it more urgent; it is no reason to be late for the objectives of its own
        // class.
        Moment due = last == null ? job.dueAt() : job.ownDueAt();
        if (due != null) {
            Moment latest = due.minus(run);
            last = last == null || latest.isAfter(last) ? latest : last;
        }
        return last == null ? job.eligibleSince.plus(AGED_WITHOUT_OBJECTIVE) : last;
    }

    /** Waiting for longer than anything should: whatever its class and urgency, it is served now. */
    boolean isAged(Job job, Moment now) {
        return now.isAfter(job.eligibleSince.plus(hasNoObjective(job) ? AGED_WITHOUT_OBJECTIVE : AGED_WITH_OBJECTIVE));
    }

    /** It has waited for so long that something of it should run, whatever its class and urgency. */
    static boolean isStarved(Job job, Moment now) {
        return now.isAfter(job.eligibleSince.plus(AGED_WITHOUT_OBJECTIVE.times(STARVED_FRACTION)));
    }

    /** Whether it has neither an objective nor a deadline. */
    boolean hasNoObjective(Job job) {
        return job.dueAt() == null
                && byClass.getOrDefault(job.spec.jobClass(), List.of()).isEmpty();
    }

    /** The moment by which the job's tasks should have started for its nearest objective on starts, or null. */
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
