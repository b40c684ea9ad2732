package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import java.util.HashMap;
import java.util.Map;

/** Counts the places that top jobs lack beyond those that come free soon, so that only as many tasks are stopped. */
final class PlaceShortages {
    /** No task is stopped for a place that comes free by itself within this time. */
    private static final Span WAIT_FOR_FREE_PLACE = Span.seconds(6);
    /** How long a counted shortage is reused: the count visits all machines, which is too slow for every heartbeat. */
    private static final Span SHORTAGE_LIFE = Span.seconds(0.5);

    /** Places that the top job lacked at the count, minus those for which tasks have been stopped since. */
    private record Shortage(Job top, Moment counted, int places) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final PlacementRules rules;
    /** The shortage of the top job that preempts less urgent work. */
    private Shortage shortage;
    /** Per queue, the shortage of the top job that claims its team's guarantee. */
    private final Map<FairShareQueue, Shortage> guaranteeShortages = new HashMap<>();

    PlaceShortages(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, PlacementRules rules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.rules = rules;
    }

    /** Returns how many places the top job lacks on the machines that serve its queue. */
    int missingPlaces(FairShareQueue queue, Job top, Moment now) {
        if (shortage == null || isOutdated(shortage, top, now)) {
            shortage = new Shortage(
                    top, now, top.startableCount() - comingPlaces(cluster.machinesServing(queue), top, now));
        }
        return shortage.places;
    }

    /** Sets how many places the top job still lacks after tasks have been stopped for it. */
    void setMissingPlaces(Job top, int places) {
        shortage = new Shortage(top, shortage.counted, places);
    }

    /** Returns whether enough places for a job within its team's guarantee come free without stopping more tasks. */
    boolean hasEnoughComingPlaces(FairShareQueue queue, Job top, Moment now) {
        Shortage counted = guaranteeShortages.get(queue);
        if (counted == null || isOutdated(counted, top, now)) {
            counted = new Shortage(top, now, top.startableCount() - comingPlaces(cluster.allMachines(), top, now));
            guaranteeShortages.put(queue, counted);
        }
        return counted.places <= 0;
    }

    /** Records that a task has been stopped to make room for one task of the queue's top job. */
    void guaranteedPlaceComes(FairShareQueue queue, Job top) {
        guaranteeShortages.computeIfPresent(
                queue, (key, counted) -> new Shortage(top, counted.counted, counted.places - 1));
    }

    private static boolean isOutdated(Shortage shortage, Job top, Moment now) {
        return shortage.top != top || !now.isBefore(shortage.counted.plus(SHORTAGE_LIFE));
    }

    /** Returns the time until the job misses an objective on its start, or zero if that is not soon or has passed. */
    Span timeToStart(Job top, Moment now) {
        Moment due = objectives.latestStartForWait(top);
        Span left = due == null ? Span.ZERO : due.since(now);
        return left.ms() < 0 || left.compareTo(WAIT_FOR_FREE_PLACE) > 0 ? Span.ZERO : left;
    }

    /** Counts the places for the top job that are free, or come free soon because tasks end or are being stopped. */
    private int comingPlaces(Iterable<Machine> machines, Job top, Moment now) {
        int places = 0;
        Span left = timeToStart(top, now);
        Span soon = left.ms() > 0 ? left : WAIT_FOR_FREE_PLACE;
        for (Machine machine : machines) {
            if (!machine.isUsable() || !machine.allows(top.spec) || rules.awaitsImageLocality(top, machine, now)) {
                continue;
            }
            Demand room = machine.freeFor(top.spec);
            for (Placement placement : machine.placements().values()) {
                if (endsWithin(soon, placement, now)) {
                    room = room.plus(placement.demand());
                }
            }
            places += top.spec.demand().timesIn(room);
        }
        return places;
    }

    private boolean endsWithin(Span soon, Placement placement, Moment now) {
        return placement.stopping
                || placement.state == TaskState.SAVING
                || estimates.end(placement, now).since(now).compareTo(soon) <= 0;
    }
}
