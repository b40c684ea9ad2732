package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * A queue of open jobs: one per team with a guarantee, and one common queue for all teams without a guarantee. Teams
 * without a guarantee have no claim against each other, so only the queue order ranks their jobs. With one queue per
 * team, the batch jobs of one team got as many cores as the urgent jobs of another and left their machines half used.
 * Each machine serves one queue; the leader reassigns idle machines.
 */
final class FairShareQueue {
    /** How long the sorted order is cached while no job is added or removed. */
    private static final Span ORDER_CACHE_TIME = Span.seconds(1);

    /** A job with its sort keys. */
    private record RankedJob(Job job, int precedence, Urgency urgency, Moment latestStart) {}

    /**
     * Orders jobs by urgency, where best-effort counts as standard, then by the latest start that still meets an
     * objective, then by submission. While {@link MinimumClassService} allows, services and under-served jobs go before these.
     * Starved jobs go before all others, in the order in which they became eligible.
     */
    private static final Comparator<RankedJob> ORDER = Comparator.<RankedJob, Integer>comparing(
                    ranked -> ranked.precedence)
            .thenComparing(ranked -> ranked.urgency)
            .thenComparing(ranked -> ranked.latestStart)
            .thenComparingLong(ranked -> ranked.job.submittedMs)
            .thenComparing(ranked -> ranked.job.id());

    /** The name of the common queue for teams without a guarantee. A team name cannot be empty. */
    static final String COMMON_QUEUE_NAME = "";

    final String name;
    /** The usage of the queue's team; null for the common queue. */
    final TeamUsage guaranteedTeamUsage;

    private final List<Job> jobs = new ArrayList<>();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final MinimumClassService minimumClassService = new MinimumClassService();
    private List<Job> cachedOrder = List.of();
    private Moment sortedAt = Moment.NEVER;
    private double coresInUse;
    /** The free capacity of each machine that is not cordoned. */
    private List<Resources> freeOutsideCordon = List.of();

    FairShareQueue(String name, TeamUsage guaranteedTeamUsage) {
        this.name = name;
        this.guaranteedTeamUsage = guaranteedTeamUsage;
    }

    void add(Job job) {
        jobs.add(job);
        arrivalRate.add(job);
        sortedAt = Moment.NEVER;
    }

    void remove(Job job) {
        jobs.remove(job);
        minimumClassService.jobEnded(job);
        sortedAt = Moment.NEVER;
    }

    List<Job> jobs() {
        return jobs;
    }

    ArrivalRate arrivalRate() {
        return arrivalRate;
    }

    /** The jobs in the order in which they are served. */
    List<Job> sortedJobs(
            Function<Job, Moment> latestStart,
            Function<Job, Moment> longestObjectiveStart,
            Predicate<Job> isAged,
            Moment now) {
        if (!now.isBefore(sortedAt.plus(ORDER_CACHE_TIME))) {
            minimumClassService.recount(jobs, coresInUse, longestObjectiveStart, isAged, now);
            List<RankedJob> ranked = new ArrayList<>(jobs.size());
            for (Job job : jobs) {
                Urgency urgency = job.urgency() == Urgency.BEST_EFFORT ? Urgency.STANDARD : job.urgency();
                // A service replica that is down takes precedence over any late job.
                boolean goesFirst =
                        minimumClassService.servesUnderServedFirst() && (job.underServed || job.spec.isService());
                int precedence = job.starved ? 0 : goesFirst ? 1 : 2;
                ranked.add(
                        precedence == 0
                                ? new RankedJob(job, precedence, Urgency.PRODUCTION, job.eligibleSince)
                                : new RankedJob(job, precedence, urgency, latestStart.apply(job)));
            }
            ranked.sort(ORDER);
            cachedOrder = ranked.stream().map(RankedJob::job).toList();
            sortedAt = now;
        }
        return cachedOrder;
    }

    void addUsage(Resources demand, int sign) {
        coresInUse += sign * demand.cores();
    }

    void freeOutsideCordon(List<Resources> free) {
        freeOutsideCordon = free;
    }

    List<Resources> freeOutsideCordon() {
        return freeOutsideCordon;
    }

    double coresInUse() {
        return coresInUse;
    }

    /** Whether the queue's team has a guarantee and stays within it when it uses {@code additional}. */
    boolean isBelowGuarantee(Resources additional) {
        return guaranteedTeamUsage != null && guaranteedTeamUsage.isWithinGuarantee(additional);
    }

    /** The cores in use beyond the guarantee; negative if the team uses less. */
    double coresBeyondGuarantee() {
        return coresInUse - (guaranteedTeamUsage == null ? 0 : guaranteedTeamUsage.team.guaranteedCores());
    }
}
