package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the top job of each queue and caches its reservation, taking the capacity reserved for aged jobs into account.
 */
final class ReservationTable {
    /** How long a reservation is cached. */
    private static final Span RESERVATION_CACHE_TIME = Span.seconds(1);

    private record CachedReservation(Reservation reservation, Moment computedAt) {}

    private final Cluster cluster;
    private final QueueOrder order;
    private final PlacementRules rules;
    private final ReservedCapacity reservedCapacity;
    private final Estimates estimates;
    private final Map<JobId, CachedReservation> reservations = new HashMap<>();

    ReservationTable(
            Cluster cluster,
            QueueOrder order,
            PlacementRules rules,
            ReservedCapacity reservedCapacity,
            Estimates estimates) {
        this.cluster = cluster;
        this.order = order;
        this.rules = rules;
        this.reservedCapacity = reservedCapacity;
        this.estimates = estimates;
    }

    /** The top job: the first in queue order that could start a task now if a machine had room for it. */
    Optional<Job> topJob(FairShareQueue queue, Moment now) {
        for (Job job : order.sortedJobs(queue, now)) {
            if (mayHoldReservation(job, now)) {
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    /** Whether only the room on machines keeps a task of the job from starting, so that the room may be reserved. */
    boolean mayHoldReservation(Job job, Moment now) {
        return rules.hasTaskWithinTeamLimit(job)
                && rules.mayStart(job, now)
                && !job.isSuspectedFaulty()
                && !job.isStarvationRelieved();
    }

    /** Whether starting the job on the machine would delay the top job, if that is another job. */
    boolean delaysTopJob(FairShareQueue queue, Job job, Machine machine, Moment now) {
        return topJob(queue, now)
                .filter(top -> top != job)
                .filter(top -> !reservationOf(queue, top, now)
                        .allows(machine, job.spec.demand(), estimates.timeOnMachine(job, machine), estimates, now))
                .isPresent();
    }

    /** The reservation of the queue's top job, recomputed once per {@link #RESERVATION_CACHE_TIME}. */
    Reservation reservationOf(FairShareQueue queue, Job topJob, Moment now) {
        CachedReservation cached = reservations.get(topJob.id());
        if (cached != null && cached.reservation.topJob() == topJob && !isOutdated(cached, now)) {
            return cached.reservation;
        }
        reservations.values().removeIf(reservation -> isOutdated(reservation, now));
        List<Machine> machines = cluster.machinesServing(queue);
        if (!reservedCapacity.isEligible(topJob, now)) {
            machines.removeIf(machine -> isReservedForAged(machine, queue, order.sortedJobs(queue, now), now));
        }
        Reservation computed = Reservation.of(topJob, machines, rules, estimates, now);
        reservations.put(topJob.id(), new CachedReservation(computed, now));
        return computed;
    }

    private static boolean isOutdated(CachedReservation cached, Moment now) {
        return !now.isBefore(cached.computedAt.plus(RESERVATION_CACHE_TIME));
    }

    /** Whether the machine is reserved for aged jobs without an objective. */
    boolean isReservedForAged(Machine machine, FairShareQueue queue, List<Job> jobs, Moment now) {
        return reservedCapacity.isReserved(machine, queue, jobs, now);
    }

    /** The aged jobs that the last call of {@link #isReservedForAged} found in the queue. */
    List<Job> agedJobs(FairShareQueue queue) {
        return reservedCapacity.eligibleJobs(queue);
    }
}
