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
 * A queue of open jobs: that of one team with a guarantee, or that of all teams without one. These have no claim against
 * each other, so the queue's order alone says whose turn it is: with a queue and machines for each, a guest's batch work
 * got as many cores as the plans of the next morning, and kept its machines half used. Machines name the queue that they
 * serve; the leader moves idle ones.
 */
final class FairShareQueue {
    /** How long an order of the queue is kept while no job comes or goes. */
    private static final Span ORDER_LIFE = Span.seconds(1);

    /** A job with what its place in the queue depends on. */
    private record RankedJob(Job job, int turn, Urgency urgency, Moment latestStart) {}

    /**
     * The paper's priority queue, its priority from urgency and time: urgent jobs first, the others mixed, each by the
     * latest start that still meets an objective; then the order of arrival. Before them under-served classes ({@link ClassQuota}), and
     * before that one task of each job of which nothing has run for too long, in the order of arrival.
     */
    private static final Comparator<RankedJob> ORDER = Comparator.<RankedJob, Integer>comparing(ranked -> ranked.turn)
            .thenComparing(ranked -> ranked.urgency)
            .thenComparing(ranked -> ranked.latestStart)
            .thenComparingLong(ranked -> ranked.job.submittedMs)
            .thenComparing(ranked -> ranked.job.id());

    /** The name of the queue of all teams without a guarantee; no team can have it. */
    static final String COMMON = "";

    final String name;
    /** Its team, if it has a guarantee; else null. */
    final TeamUsage guaranteed;

    private final List<Job> jobs = new ArrayList<>();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final ClassQuota classQuota = new ClassQuota();
    private List<Job> cachedOrder = List.of();
    private Moment orderedAt = Moment.NEVER;
    private double cores;
    /** What is free on the machines that are not cordoned. */
    private List<Resources> roomOutsideCordon = List.of();

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

    /** The queue in the order in which it is served. */
    List<Job> ordered(
            Function<Job, Moment> latestStart, Function<Job, Moment> lastChance, Predicate<Job> aged, Moment now) {
        if (!now.isBefore(orderedAt.plus(ORDER_LIFE))) {
            classQuota.recount(jobs, cores, lastChance, aged, now);
            List<RankedJob> ranked = new ArrayList<>(jobs.size());
            for (Job job : jobs) {
                Urgency urgency = job.urgency() == Urgency.BEST_EFFORT ? Urgency.STANDARD : job.urgency();
                // A replica that is down is worth more than any job that is late.
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

    void addUsage(Resources demand, int sign) {
        cores += sign * demand.cores();
    }

    void roomOutsideCordon(List<Resources> free) {
        roomOutsideCordon = free;
    }

    List<Resources> roomOutsideCordon() {
        return roomOutsideCordon;
    }

    double cores() {
        return cores;
    }

    /** Its team has a guarantee and uses less than that, with {@code more}. */
    boolean isBelowGuarantee(Resources more) {
        return guaranteed != null && guaranteed.isWithinGuarantee(more);
    }

    /** Cores in use beyond the guarantee. */
    double coresBeyondGuarantee() {
        return cores - (guaranteed == null ? 0 : guaranteed.team.guaranteedCores());
    }
}
