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
    private final QueueOrder queueOrder;
    private final Estimates estimates;
    private final SchedulerSettings settings;
    private final JobSizer jobSizer;

    BacklogEstimator(
            Cluster cluster,
            QueueOrder queueOrder,
            Estimates estimates,
            SchedulerSettings settings,
            JobSizer jobSizer) {
        this.cluster = cluster;
        this.queueOrder = queueOrder;
        this.estimates = estimates;
        this.settings = settings;
        this.jobSizer = jobSizer;
    }

    /** Returns the backlog of each machine type, keyed by type name. */
    Map<String, Backlog> backlogs(FairShareQueue queue, Moment now) {
        Map<String, Backlog> backlogs = new HashMap<>();
        for (MachineType type : cluster.machineTypes.values()) {
            CapacityForecast spot = capacityForecast(queue, type, true, now);
            CapacityForecast onDemand = capacityForecast(queue, type, false, now);
            backlogs.put(type.name(), new Backlog(spot, onDemand, arrivalLoad(queue, type, now)));
        }
        TeamLimitCounter counter = TeamLimitCounter.ofTasksThatMayRunAtOnce(cluster);
        for (Job job : queueOrder.sortedJobs(queue, now)) {
            Optional<MachineType> type = jobSizer.cheapestType(job);
            if (type.isPresent() && job.hasWaiting() && !job.isSuspectedFaulty() && !job.spec.isService()) {
                int waitingTasks = counter.count(job, job.waitingCount());
                if (waitingTasks > 0) {
                    addJob(
                            job,
                            waitingTasks,
                            type.get(),
                            backlogs.get(type.get().name()),
                            now);
                }
            }
        }
        for (Backlog backlog : backlogs.values()) {
            backlog.requireServedWithin(settings.backlogLimit().seconds());
        }
        return backlogs;
    }

    private void addJob(Job job, int waitingTasks, MachineType type, Backlog backlog, Moment now) {
        backlog.addWork(waitingTasks * jobSizer.machineSeconds(job, type));
        Moment latestStart = queueOrder.latestStart(job, now.plus(queueOrder.shortestRentableObjective(type)));
        backlog.requireStartWithin(
                latestStart.since(now).seconds() * settings.objectiveFraction(),
                type.bootTime().seconds(),
                settings.minimumPaidTime().seconds(),
                queueOrder.isObjectiveTooNearToRent(job, type) ? 0 : backlog.arrivalLoad);
    }

    private CapacityForecast capacityForecast(FairShareQueue queue, MachineType type, boolean spot, Moment now) {
        return CapacityForecast.of(cluster, queue, type, spot, estimates, settings.bootPatience(), now);
    }

    /**
     * Returns how many machines arriving jobs keep busy whose objectives fall due before a rented machine would be up.
     */
    private double arrivalLoad(FairShareQueue queue, MachineType type, Moment now) {
        return queue.arrivalRate()
                .workPerSecond(
                        job -> jobSizer.cheapestType(job).filter(type::equals).isPresent()
                                && queueOrder.isObjectiveTooNearToRent(job, type),
                        job -> job.spec.taskCount() * jobSizer.machineSeconds(job, type),
                        settings.minimumPaidTime(),
                        now);
    }
}
