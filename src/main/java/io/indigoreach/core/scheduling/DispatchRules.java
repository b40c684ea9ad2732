package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/** The rules that decide which waiting task may start where, shared by all that start, stop, rent or explain. */
record DispatchRules(
        QueueOrder order,
        PlacementRules placement,
        ObjectiveBudget objectiveBudget,
        ReservationTable reservations,
        CordonRules cordons) {
    /** Builds the rules of one leadership term. */
    static DispatchRules of(
            Cluster cluster,
            ServiceLevelObjectives objectives,
            Estimates estimates,
            FailoverTracker failover,
            Span minimumPaidTime) {
        QueueOrder order = new QueueOrder(cluster, objectives, estimates, minimumPaidTime);
        PlacementRules placement = new PlacementRules(cluster, objectives, failover);
        return new DispatchRules(
                order,
                placement,
                new ObjectiveBudget(cluster, objectives, estimates, minimumPaidTime),
                new ReservationTable(
                        cluster, order, placement, new ReservedCapacity(cluster, objectives, estimates), estimates),
                new CordonRules(cluster, objectives, placement));
    }
}
