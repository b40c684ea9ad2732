package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import java.util.HashMap;
import java.util.Map;

/** How many places top jobs lack beyond those that come free soon, so that no more tasks are stopped than needed. */
final class PlaceShortages {
    /** A place that comes free within this time is waited for. */
    private static final Span WAIT_FOR_FREE_PLACE = Span.seconds(6);
    /** How long a shortage is kept: it is counted over all machines, and not for every heartbeat. */
    private static final Span SHORTAGE_LIFE = Span.seconds(0.5);

    /** Places that the top job lacks, less those for which room is being made since they were counted. */
    private record Shortage(Job top, Moment counted, int places) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final PlacementRules rules;
    /** Of the top job that preempts less urgent work. */
    private Shortage shortage;
    /** Of the top jobs that claim their teams' guarantees. */
    private final Map<FairShareQueue, Shortage> guaranteeShortages = new HashMap<>();

    PlaceShortages(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, PlacementRules rules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.rules = rules;
    }

    /** How many places the top job lacks on the machines that serve its queue. */
    int missingPlaces(FairShareQueue queue, Job top, Moment now) {
        if (shortage == null || isOutdated(shortage, top, now)) {
            shortage = new Shortage(
                    top, now, top.startableCount() - comingPlaces(cluster.machinesServing(queue), top, now));
        }
        return shortage.places;
    }

    /** Room is being made for the top job: it lacks {@code places} from now on. */
    void setMissingPlaces(Job top, int places) {
        shortage = new Shortage(top, shortage.counted, places);
    }

    /** Whether places for a job within its team's guarantee come free without stopping more. */
    boolean hasEnoughComingPlaces(FairShareQueue queue, Job top, Moment now) {
        Shortage counted = guaranteeShortages.get(queue);
        if (counted == null || isOutdated(counted, top, now)) {
            counted = new Shortage(top, now, top.startableCount() - comingPlaces(cluster.allMachines(), top, now));
            guaranteeShortages.put(queue, counted);
        }
        return counted.places <= 0;
    }

    /** Room for one task of the queue's top job is being made. */
    void guaranteedPlaceComes(FairShareQueue queue, Job top) {
        guaranteeShortages.computeIfPresent(
                queue, (key, counted) -> new Shortage(top, counted.counted, counted.places - 1));
    }

    private static boolean isOutdated(Shortage shortage, Job top, Moment now) {
        return shortage.top != top || !now.isBefore(shortage.counted.plus(SHORTAGE_LIFE));
    }

    /** What is left until an objective on the job's starts is missed, if that is soon; else zero. */
    Span timeToStart(Job top, Moment now) {
        Moment due = objectives.latestStartForWait(top);
        Span left = due == null ? Span.ZERO : due.since(now);
        return left.ms() < 0 || left.compareTo(WAIT_FOR_FREE_PLACE) > 0 ? Span.ZERO : left;
    }

    /** Places for the top job that come free soon by themselves, or because room is being made already. */
    private int comingPlaces(Iterable<Machine> machines, Job top, Moment now) {
        int places = 0;
        Span left = timeToStart(top, now);
        Span soon = left.ms() > 0 ? left : WAIT_FOR_FREE_PLACE;
        for (Machine machine : machines) {
            if (!machine.isUsable() || !machine.allows(top.spec) || rules.awaitsImageLocality(top, machine, now)) {
                continue;
            }
            Demand room = machine.freeResourcesFor(top.spec);
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
