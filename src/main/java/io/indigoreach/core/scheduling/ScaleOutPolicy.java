package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Computes how many machines of each type to rent, by the BestSize rule of the paper that the scheduler follows. If the
 * top job does not fit the present capacity, or its predicted wait exceeds the wait limit, the size covers all waiting
 * long jobs and the first short one, minus the machines that are idle or booting. Tasks shorter than the minimum paid
 * time run one after another on a machine within that time.
 *
 * <p>The rule is extended for a queue of many short jobs, each of which would start soon on its own. Counting only the
 * first short job rents a machine or two per boot time, however many jobs wait behind it. The part of the short jobs'
 * work that the busy machines cannot begin within the wait limit is therefore counted too, in units of the minimum paid
 * time.
 */
final class ScaleOutPolicy {
    /** Subtracted before rounding up, so that floating-point errors in sums do not add a machine. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Cluster cluster;
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SchedulerSettings settings;
    private final JobSizer jobSizer;
    private final ScaleOutTrigger scaleOutTrigger;
    private final BacklogEstimator backlogEstimator;
    private final SurplusMarker surplusMarker;
    private final AvailableMachineCounter availableMachineCounter;
    private final ZoneBalancer zoneBalancer;

    ScaleOutPolicy(
            Cluster cluster,
            DispatchRules rules,
            Estimates estimates,
            SchedulerSettings settings,
            FailureDetector failureDetector) {
        this.cluster = cluster;
        this.rules = rules;
        this.estimates = estimates;
        this.settings = settings;
        this.jobSizer = new JobSizer(cluster, estimates, settings.minimumPaidTime());
        this.scaleOutTrigger = new ScaleOutTrigger(rules, estimates, settings, jobSizer);
        this.backlogEstimator = new BacklogEstimator(cluster, rules.order(), estimates, settings, jobSizer);
        this.surplusMarker = new SurplusMarker(cluster);
        this.availableMachineCounter = new AvailableMachineCounter(cluster, settings.bootPatience());
        this.zoneBalancer = new ZoneBalancer(cluster, failureDetector, settings.refusalBackoff());
    }

    /** Records that the cloud refused a request because the pool had no capacity. */
    void recordRefusal(MachinePool pool, Moment now) {
        zoneBalancer.recordRefusal(pool, now);
    }

    /** Returns whether a request to the pool may succeed now. */
    boolean mayRequest(MachinePool pool, Moment now) {
        return zoneBalancer.mayRequest(pool, now);
    }

    /** Returns the requests to send to the cloud now, each within the maximum request size. */
    List<ScaleOutRequest> scaleOutRequests(Moment now) {
        Map<MachinePool, Integer> machinesByPool = new HashMap<>();
        for (FairShareQueue queue : cluster.queues()) {
            sizeQueue(queue, now, machinesByPool);
        }
        List<ScaleOutRequest> requests = new ArrayList<>();
        machinesByPool.forEach((pool, count) -> {
            for (int remaining = count; remaining > 0; remaining -= ZoneBalancer.MAXIMUM_REQUEST_SIZE) {
                requests.add(new ScaleOutRequest(pool, Math.min(remaining, ZoneBalancer.MAXIMUM_REQUEST_SIZE)));
            }
        });
        return requests;
    }

    private void sizeQueue(FairShareQueue queue, Moment now, Map<MachinePool, Integer> machinesByPool) {
        Map<String, Backlog> backlogs = backlogEstimator.backlogs(queue, now);
        QueueNeed need = new QueueNeed();
        Optional<Job> topJob = rules.reservations().topJob(queue, now);
        TeamLimitCounter counter = TeamLimitCounter.ofTasksThatMayStartNow(cluster);
        if (topJob.isPresent() && scaleOutTrigger.mustScaleOut(queue, topJob.get(), now)) {
            for (Job job : rules.order().sortedJobs(queue, now)) {
                if (needsMachines(job, now)) {
                    addNeed(job, counter.count(job, job.startableCount()), need, now);
                }
            }
        }
        surplusMarker.markSurplus(queue, backlogs, need.byType(), now);
        need.byType().forEach((name, typeNeed) -> {
            MachineType type = cluster.machineTypes.get(name);
            Backlog backlog = backlogs.get(name);
            addShortBacklog(typeNeed, need.shortWork(name), backlog);
            requestMachines(queue, type, typeNeed, backlog, now, machinesByPool);
        });
    }

    private boolean needsMachines(Job job, Moment now) {
        // The previous leader scaled out for inherited jobs. Until all machines have reported, it is unknown which of
        // them serve these jobs.
        boolean servedByPreviousLeader = job.inherited && !rules.placement().isFailoverComplete();
        return job.startableCount() > 0
                && !servedByPreviousLeader
                && !job.isSuspectedFaulty()
                && rules.placement().mayStart(job, now);
    }

    private void addNeed(Job job, int waitingTasks, QueueNeed queueNeed, Moment now) {
        boolean isShort = estimates.runTime(job).compareTo(settings.shortJob()) < 0;
        MachineType type = jobSizer.cheapestType(job).orElse(null);
        if (type == null || waitingTasks <= 0) {
            return;
        }
        if (isShort) {
            queueNeed.addShortWork(type.name(), waitingTasks * jobSizer.conservativeMachineSeconds(job, type));
            if (!queueNeed.registerShortJob()) {
                return;
            }
        }
        double machines = jobSizer.machinesFor(job, type, waitingTasks);
        MachineTypeNeed need = queueNeed.forType(type.name());
        boolean mayUseOnDemand = scaleOutTrigger.mayUseOnDemand(job, now);
        if (!zoneBalancer.canRentFor(job, type, now)) {
            // The job must not become the first of its type: machines for the whole queue are requested in the zones of
            // the first job, so a first job that is bound to an exhausted zone would block all requests.
            need.addRefused(machines, mayUseOnDemand);
            return;
        }
        need.add(job, machines, mayUseOnDemand);
        if (isShort) {
            need.addShort(machines, mayUseOnDemand);
        }
    }

    private void addShortBacklog(MachineTypeNeed need, double shortWork, Backlog backlog) {
        double shortJobMachines = backlog.machinesForShortWork(
                shortWork,
                settings.waitLimit().seconds(),
                settings.minimumPaidTime().seconds());
        need.addShortBacklog(Math.max(0, shortJobMachines - need.topShortMachines));
    }

    /**
     * Requests on-demand machines for jobs that cannot use spot machines, then spot machines for the rest, or on-demand
     * machines where no spot pool accepts requests.
     */
    private void requestMachines(
            FairShareQueue queue,
            MachineType type,
            MachineTypeNeed need,
            Backlog backlog,
            Moment now,
            Map<MachinePool, Integer> machinesByPool) {
        int available = availableMachineCounter.count(queue, type.name(), false, now);
        int missingOnDemandOnly = missingOnDemandOnly(queue, type, need, now);
        if (missingOnDemandOnly > 0) {
            zoneBalancer.distribute(need.firstOnDemandOnlyJob, type, false, missingOnDemandOnly, now, machinesByPool);
        }
        int missing = roundUp(need.machines) - available - missingOnDemandOnly;
        Job firstSpotJob = need.firstSpotJob;
        if (missing <= 0
                || firstSpotJob == null
                || (type.spotPrice() > 0
                        && zoneBalancer.distribute(firstSpotJob, type, true, missing, now, machinesByPool))) {
            return;
        }
        int onDemandForObjectives = (int) Math.floor(backlog.onDemandNeeded() - backlog.onDemandCapacity.machines());
        int missingOnDemand =
                Math.max(onDemandForObjectives, roundUp(need.onDemandMachines) - available) - missingOnDemandOnly;
        zoneBalancer.distribute(firstSpotJob, type, false, Math.min(missing, missingOnDemand), now, machinesByPool);
    }

    private int missingOnDemandOnly(FairShareQueue queue, MachineType type, MachineTypeNeed need, Moment now) {
        return need.firstOnDemandOnlyJob == null
                ? 0
                : Math.max(
                        0,
                        roundUp(need.onDemandOnlyMachines)
                                - availableMachineCounter.count(queue, type.name(), true, now));
    }

    private static int roundUp(double machines) {
        return (int) Math.ceil(machines - ROUNDING_TOLERANCE);
    }
}
