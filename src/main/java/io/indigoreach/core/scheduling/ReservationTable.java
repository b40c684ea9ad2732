package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The top job of each queue and the reservation that it holds, with the capacity reserved for aged jobs. */
final class ReservationTable {
    /** How long a reservation is kept. */
    private static final Span RESERVATION_LIFE = Span.seconds(1);

    private record CachedReservation(Reservation reservation, Moment made) {}

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

    /** The top job: the first in the queue that has tasks waiting and may start. */
    Optional<Job> topJob(FairShareQueue queue, Moment now) {
        for (Job job : order.jobs(queue, now)) {
            if (job.hasStartable()
                    && rules.mayStart(job, now)
                    && !job.isSuspectedFaulty()
                    && !job.isStarvationRelieved()) {
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    /** Whether a start of the job on the machine would delay the top job, if that is another. */
    boolean delaysTopJob(FairShareQueue queue, Job job, Machine machine, Moment now) {
        return topJob(queue, now)
                .filter(top -> top != job)
                .filter(top -> !of(queue, top, now)
                        .allows(machine, job.spec.demand(), estimates.onMachine(job, machine), estimates, now))
                .isPresent();
    }

    /** The reservation of the queue's top job, made anew once per {@link #RESERVATION_LIFE}. */
    Reservation of(FairShareQueue queue, Job top, Moment now) {
        CachedReservation cached = reservations.get(top.id());
        if (cached != null && cached.reservation.top() == top && !isOutdated(cached, now)) {
            return cached.reservation;
        }
        reservations.values().removeIf(reservation -> isOutdated(reservation, now));
        List<Machine> machines = cluster.machinesServing(queue);
        if (!reservedCapacity.isEligible(top, now)) {
            machines.removeIf(machine -> isReservedForAged(machine, queue, order.jobs(queue, now), now));
        }
        Reservation made = Reservation.of(top, machines, estimates, now);
        reservations.put(top.id(), new CachedReservation(made, now));
        return made;
    }

    private static boolean isOutdated(CachedReservation cached, Moment now) {
        return !now.isBefore(cached.made.plus(RESERVATION_LIFE));
    }

    /** Whether jobs without an objective that have waited long go first on the machine. */
    boolean isReservedForAged(Machine machine, FairShareQueue queue, List<Job> jobs, Moment now) {
        return reservedCapacity.isReserved(machine, queue, jobs, now);
    }

    /** The jobs that go first on the machines reserved for them, as counted by {@link #isReservedForAged}. */
    List<Job> agedJobs(FairShareQueue queue) {
        return reservedCapacity.eligibleJobs(queue);
    }
}
