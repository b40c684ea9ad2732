package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * On-demand machines for a queue that the spot machines which can be had do not serve in time: for each job, the work
 * before and including it must fit into what the machines that serve can do until the job's latest start that still
 * meets an objective, and all of it into the time that the settings allow for any queue. Those that are more than that
 * get no new tasks, and so come to be idle at the end of a term.
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

    /** The backlog of each machine type, by its name. */
    Map<String, Backlog> backlogs(FairShareQueue queue, Moment now) {
        Map<String, Backlog> backlogs = new HashMap<>();
        for (MachineType type : cluster.machineTypes.values()) {
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
                latestStart.since(now).seconds() * settings.objectiveFraction(),
                type.boot().seconds(),
                settings.minimumPaidTime().seconds(),
                order.isObjectiveTooNearToRent(job, type) ? 0 : backlog.arrivalLoad);
    }

    private CapacityForecast capacity(FairShareQueue queue, MachineType type, boolean spot, Moment now) {
        return CapacityForecast.of(cluster, queue, type, spot, estimates, settings.bootPatience(), now);
    }

    /** Machines kept busy by arriving jobs whose objectives are too near to scale out for them. */
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
