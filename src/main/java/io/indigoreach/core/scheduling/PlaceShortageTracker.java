package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import java.util.HashMap;
import java.util.Map;

/** Counts the places that top jobs lack beyond those that come free soon, so that only as many tasks are stopped. */
final class PlaceShortageTracker {
    /** No task is stopped for a place that comes free by itself within this time. */
    private static final Span WAIT_FOR_FREE_PLACE = Span.seconds(6);
    /** How long a counted shortage is reused: the count visits all machines, which is too slow for every heartbeat. */
    private static final Span SHORTAGE_LIFE = Span.seconds(0.5);

    /** Places that the top job lacked at the count, minus those for which tasks have been stopped since. */
    private record Shortage(Job topJob, Moment countedAt, int missingPlaces) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final PlacementRules placementRules;
    /** The shortage of the top job that preempts less urgent work. */
    private Shortage preemptionShortage;
    /** Per queue, the shortage of the top job that claims its team's guarantee. */
    private final Map<FairShareQueue, Shortage> guaranteeShortages = new HashMap<>();

    PlaceShortageTracker(
            Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, PlacementRules placementRules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.placementRules = placementRules;
    }

    /** Returns how many places the top job lacks on the machines that serve its queue. */
    int missingPlaces(FairShareQueue queue, Job topJob, Moment now) {
        if (preemptionShortage == null || isOutdated(preemptionShortage, topJob, now)) {
            preemptionShortage = countShortage(cluster.machinesServing(queue), topJob, now);
        }
        return preemptionShortage.missingPlaces;
    }

    /** Sets how many places the top job still lacks after tasks have been stopped for it. */
    void setMissingPlaces(Job topJob, int places) {
        preemptionShortage = new Shortage(topJob, preemptionShortage.countedAt, places);
    }

    /** Returns whether enough places for a job within its team's guarantee come free without stopping more tasks. */
    boolean hasEnoughPlacesSoon(FairShareQueue queue, Job topJob, Moment now) {
        Shortage current = guaranteeShortages.get(queue);
        if (current == null || isOutdated(current, topJob, now)) {
            current = countShortage(cluster.allMachines(), topJob, now);
            guaranteeShortages.put(queue, current);
        }
        return current.missingPlaces <= 0;
    }

    /** Records that a task has been stopped to make room for one task of the queue's top job. */
    void recordGuaranteedPlace(FairShareQueue queue, Job topJob) {
        guaranteeShortages.computeIfPresent(
                queue, (key, current) -> new Shortage(topJob, current.countedAt, current.missingPlaces - 1));
    }

    private Shortage countShortage(Iterable<Machine> machines, Job topJob, Moment now) {
        return new Shortage(
                topJob, now, placementRules.countWithinTeamLimit(topJob) - placesFreeSoon(machines, topJob, now));
    }

    private static boolean isOutdated(Shortage shortage, Job topJob, Moment now) {
        return shortage.topJob != topJob || !now.isBefore(shortage.countedAt.plus(SHORTAGE_LIFE));
    }

    /** Returns the time until the job misses an objective on its start, or zero if that is not soon or has passed. */
    Span timeToObjective(Job topJob, Moment now) {
        Moment latestStart = objectives.latestStartForStartObjective(topJob);
        Span remaining = latestStart == null ? Span.ZERO : latestStart.since(now);
        return remaining.ms() < 0 || remaining.compareTo(WAIT_FOR_FREE_PLACE) > 0 ? Span.ZERO : remaining;
    }

    /** Counts the places for the top job that are free, or come free soon because tasks end or are being stopped. */
    private int placesFreeSoon(Iterable<Machine> machines, Job topJob, Moment now) {
        Map<String, Integer> placesByZone = new HashMap<>();
        Span timeToObjective = timeToObjective(topJob, now);
        Span horizon = timeToObjective.ms() > 0 ? timeToObjective : WAIT_FOR_FREE_PLACE;
        for (Machine machine : machines) {
            if (!machine.isUsable()
                    || !machine.allows(topJob.spec)
                    || placementRules.awaitsImageLocality(topJob, machine, now)) {
                continue;
            }
            Resources free = machine.freeResourcesFor(topJob.spec);
            for (Placement placement : machine.placements().values()) {
                if (endsWithin(horizon, placement, now)) {
                    free = free.plus(placement.demand());
                }
            }
            placesByZone.merge(machine.pool.zone(), topJob.spec.demand().countFittingIn(free), Integer::sum);
        }
        int places = 0;
        for (Map.Entry<String, Integer> zone : placesByZone.entrySet()) {
            places += Math.min(zone.getValue(), PlacementRules.remainingInZone(topJob, zone.getKey()));
        }
        return places;
    }

    private boolean endsWithin(Span horizon, Placement placement, Moment now) {
        return placement.stopping
                || placement.state == TaskState.SAVING
                || estimates.expectedEnd(placement, now).since(now).compareTo(horizon) <= 0;
    }
}
