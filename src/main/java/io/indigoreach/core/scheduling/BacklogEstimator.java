package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates how many on-demand machines a queue needs because the available spot machines do not serve it in time. For
 * each job, the work up to and including the job must fit into the capacity until the latest start that still meets the
 * job's objective, and the work of the whole queue must fit into the backlog limit. On-demand machines beyond this need
 * get no new tasks, so that they are idle at the end of a paid term.
 */
final class BacklogEstimator {
    private final Cluster cluster;
    private final QueueOrder order;
    private final Estimates estimates;
    private final SchedulerSettings settings;
    private final JobSizing sizing;

    BacklogEstimator(
            Cluster cluster, QueueOrder order, Estimates estimates, SchedulerSettings settings, JobSizing sizing) {
        this.cluster = cluster;
        this.order = order;
        this.estimates = estimates;
        this.settings = settings;
        this.sizing = sizing;
    }

    /** Returns the backlog of each machine type, keyed by type name. */
    Map<String, Backlog> backlogs(FairShareQueue queue, Moment now) {
        Map<String, Backlog> backlogs = new HashMap<>();
        for (MachineType type : cluster.types.values()) {
            CapacityForecast spot = capacity(queue, type, true, now);
            CapacityForecast onDemand = capacity(queue, type, false, now);
            backlogs.put(type.name(), new Backlog(spot, onDemand, arrivalLoad(queue, type, now)));
        }
        for (Job job : order.jobs(queue, now)) {
            Optional<MachineType> type = sizing.cheapestType(job);
            if (type.isPresent() && job.hasWaiting() && !job.isSuspectedFaulty() && !job.spec.isService()) {
                add(job, type.get(), backlogs.get(type.get().name()), now);
            }
        }
        for (Backlog backlog : backlogs.values()) {
            backlog.mustBeServedWithin(settings.backlogLimit().seconds());
        }
        return backlogs;
    }

    private void add(Job job, MachineType type, Backlog backlog, Moment now) {
        backlog.add(job.waitingCount() * sizing.machineSeconds(job, type));
        Moment latestStart = order.latestStart(job, now.plus(order.shortestRentableObjective(type)));
        backlog.mustStartWithin(
                latestStart.since(now).seconds() * settings.objectiveShare(),
                type.boot().seconds(),
                settings.minimumPaidTime().seconds(),
                order.isObjectiveTooNearToRent(job, type) ? 0 : backlog.arrivalLoad);
    }

    private CapacityForecast capacity(FairShareQueue queue, MachineType type, boolean spot, Moment now) {
        return CapacityForecast.of(cluster, queue, type, spot, estimates, settings.bootPatience(), now);
    }

    /**
     * Returns how many machines arriving jobs keep busy whose objectives fall due before a rented machine would be up.
     */
    private double arrivalLoad(FairShareQueue queue, MachineType type, Moment now) {
        return queue.arrivalRate()
                .perSecond(
                        job -> sizing.cheapestType(job).filter(type::equals).isPresent()
                                && order.isObjectiveTooNearToRent(job, type),
                        job -> job.spec.tasks() * sizing.machineSeconds(job, type),
                        settings.minimumPaidTime(),
                        now);
    }
}
