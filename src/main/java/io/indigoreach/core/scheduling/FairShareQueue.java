package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
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
    private static final Span ORDER_LIFE = Span.seconds(1);

    /** A job with its sort keys. */
    private record RankedJob(Job job, int turn, Urgency urgency, Moment latestStart) {}

    /**
     * Orders jobs by urgency, where best-effort counts as standard, then by the latest start that still meets an
     * objective, then by submission. While {@link ClassQuota} allows, services and under-served jobs go before these.
     * Starved jobs go before all others, in the order in which they became eligible.
     */
    private static final Comparator<RankedJob> ORDER = Comparator.<RankedJob, Integer>comparing(ranked -> ranked.turn)
            .thenComparing(ranked -> ranked.urgency)
            .thenComparing(ranked -> ranked.latestStart)
            .thenComparingLong(ranked -> ranked.job.submittedMs)
            .thenComparing(ranked -> ranked.job.id());

    /** The name of the common queue for teams without a guarantee. A team name cannot be empty. */
    static final String COMMON = "";

    final String name;
    /** The usage of the queue's team; null for the common queue. */
    final TeamUsage guaranteed;

    private final List<Job> jobs = new ArrayList<>();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final ClassQuota classQuota = new ClassQuota();
    private List<Job> cachedOrder = List.of();
    private Moment orderedAt = Moment.NEVER;
    private double cores;
    /** The free capacity of each machine that is not cordoned. */
    private List<Demand> roomOutsideCordon = List.of();

    FairShareQueue(String name, TeamUsage guaranteed) {
        this.name = name;
        this.guaranteed = guaranteed;
    }

    void add(Job job) {
        jobs.add(job);
        arrivalRate.add(job);
        orderedAt = Moment.NEVER;
    }

    void remove(Job job) {
        jobs.remove(job);
        classQuota.jobEnded(job);
        orderedAt = Moment.NEVER;
    }

    List<Job> jobs() {
        return jobs;
    }

    ArrivalRate arrivalRate() {
        return arrivalRate;
    }

    /** The jobs in the order in which they are served. */
    List<Job> ordered(
            Function<Job, Moment> latestStart, Function<Job, Moment> lastChance, Predicate<Job> aged, Moment now) {
        if (!now.isBefore(orderedAt.plus(ORDER_LIFE))) {
            classQuota.recount(jobs, cores, lastChance, aged, now);
            List<RankedJob> ranked = new ArrayList<>(jobs.size());
            for (Job job : jobs) {
                Urgency urgency = job.urgency() == Urgency.BEST_EFFORT ? Urgency.STANDARD : job.urgency();
                // A service replica that is down takes precedence over any late job.
                boolean first = classQuota.servesUnderServedFirst() && (job.underServed || job.spec.isService());
                int turn = job.starved ? 0 : first ? 1 : 2;
                ranked.add(
                        turn == 0
                                ? new RankedJob(job, turn, Urgency.PRODUCTION, job.eligibleSince)
                                : new RankedJob(job, turn, urgency, latestStart.apply(job)));
            }
            ranked.sort(ORDER);
            cachedOrder = ranked.stream().map(RankedJob::job).toList();
            orderedAt = now;
        }
        return cachedOrder;
    }

    void addUsage(Demand demand, int sign) {
        cores += sign * demand.cores();
    }

    void roomOutsideCordon(List<Demand> free) {
        roomOutsideCordon = free;
    }

    List<Demand> roomOutsideCordon() {
        return roomOutsideCordon;
    }

    double cores() {
        return cores;
    }

    /** Whether the queue's team has a guarantee and stays within it when it uses {@code more}. */
    boolean isBelowGuarantee(Demand more) {
        return guaranteed != null && guaranteed.isWithinGuarantee(more);
    }

    /** The cores in use beyond the guarantee; negative if the team uses less. */
    double coresBeyondGuarantee() {
        return cores - (guaranteed == null ? 0 : guaranteed.team.cores());
    }
}
