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
final class BestSize {
    /** Subtracted before rounding up, so that floating-point errors in sums do not add a machine. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Cluster cluster;
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SchedulerSettings settings;
    private final JobSizing sizing;
    private final ScaleOutTrigger trigger;
    private final BacklogEstimator backlogEstimator;
    private final SurplusRetention surplusRetention;
    private final AvailableMachines availableMachines;
    private final ZoneSpreading zones;

    BestSize(
            Cluster cluster,
            DispatchRules rules,
            Estimates estimates,
            SchedulerSettings settings,
            FailureDetector failureDetector) {
        this.cluster = cluster;
        this.rules = rules;
        this.estimates = estimates;
        this.settings = settings;
        this.sizing = new JobSizing(cluster, estimates, settings.minimumPaidTime());
        this.trigger = new ScaleOutTrigger(rules, estimates, settings, sizing);
        this.backlogEstimator = new BacklogEstimator(cluster, rules.order(), estimates, settings, sizing);
        this.surplusRetention = new SurplusRetention(cluster);
        this.availableMachines = new AvailableMachines(cluster, settings.bootPatience());
        this.zones = new ZoneSpreading(cluster, failureDetector, settings.refusalBackoff());
    }

    /** Records that the cloud refused a request because the pool had no capacity. */
    void refused(MachinePool pool, Moment now) {
        zones.refused(pool, now);
    }

    /** Returns whether a request to the pool may succeed now. */
    boolean mayAsk(MachinePool pool, Moment now) {
        return zones.mayRequest(pool, now);
    }

    /** Returns the requests to send to the cloud now, each within the maximum request size. */
    List<ScaleOutRequest> scaleOutRequests(Moment now) {
        Map<MachinePool, Integer> wanted = new HashMap<>();
        for (FairShareQueue queue : cluster.queues()) {
            sizeQueue(queue, now, wanted);
        }
        List<ScaleOutRequest> requests = new ArrayList<>();
        wanted.forEach((pool, count) -> {
            for (int left = count; left > 0; left -= ZoneSpreading.MACHINES_PER_REQUEST) {
                requests.add(new ScaleOutRequest(pool, Math.min(left, ZoneSpreading.MACHINES_PER_REQUEST)));
            }
        });
        return requests;
    }

    private void sizeQueue(FairShareQueue queue, Moment now, Map<MachinePool, Integer> wanted) {
        Map<String, Backlog> backlogs = backlogEstimator.backlogs(queue, now);
        QueueNeed need = new QueueNeed();
        Optional<Job> top = rules.reservations().topJob(queue, now);
        if (top.isPresent() && trigger.mustScaleOut(queue, top.get(), now)) {
            for (Job job : rules.order().jobs(queue, now)) {
                if (isCounted(job, now)) {
                    count(job, need, now);
                }
            }
        }
        surplusRetention.markSurplus(queue, backlogs, need.byType(), now);
        need.byType().forEach((name, typeNeed) -> {
            MachineType type = cluster.types.get(name);
            Backlog backlog = backlogs.get(name);
            addShortBacklog(typeNeed, need.shortWork(name), backlog);
            request(queue, type, typeNeed, backlog, now, wanted);
        });
    }

    private boolean isCounted(Job job, Moment now) {
        // The previous leader scaled out for inherited jobs. Until all machines have reported, it is unknown which of
        // them serve these jobs.
        boolean servedByPreviousLeader = job.inherited && !rules.placement().isFailoverComplete();
        return job.startableCount() > 0
                && !servedByPreviousLeader
                && !job.isSuspectedFaulty()
                && rules.placement().mayStart(job, now);
    }

    private void count(Job job, QueueNeed queueNeed, Moment now) {
        boolean isShort = estimates.run(job).compareTo(settings.shortJob()) < 0;
        int waiting = queueNeed.withinTeamLimit(job, cluster.teamUsage(job));
        MachineType type = sizing.cheapestType(job).orElse(null);
        if (type == null || waiting <= 0) {
            return;
        }
        if (isShort) {
            queueNeed.addShortWork(type.name(), waiting * sizing.confidentMachineSeconds(job, type));
            if (!queueNeed.countTopShort()) {
                return;
            }
        }
        double more = sizing.machinesFor(job, type, waiting);
        TypeNeed need = queueNeed.ofType(type.name());
        boolean mayUseOnDemand = trigger.mayUseOnDemand(job, now);
        if (!zones.canBeRented(job, type, now)) {
            // The job must not become the first of its type: machines for the whole queue are requested in the zones of
            // the first job, so a first job that is bound to an exhausted zone would block all requests.
            need.addRefused(more, mayUseOnDemand);
            return;
        }
        need.add(job, more, mayUseOnDemand);
        if (isShort) {
            need.addShort(more, mayUseOnDemand);
        }
    }

    private void addShortBacklog(TypeNeed need, double shortWork, Backlog backlog) {
        double machines = backlog.machinesForShortWork(
                shortWork,
                settings.waitLimit().seconds(),
                settings.minimumPaidTime().seconds());
        need.addShortBacklog(Math.max(0, machines - need.topShort));
    }

    /**
     * Requests on-demand machines for jobs that cannot use spot machines, then spot machines for the rest, or on-demand
     * machines where no spot pool accepts requests.
     */
    private void request(
            FairShareQueue queue,
            MachineType type,
            TypeNeed need,
            Backlog backlog,
            Moment now,
            Map<MachinePool, Integer> wanted) {
        int available = availableMachines.count(queue, type.name(), false, now);
        int onDemandOnly = onDemandOnly(queue, type, need, now);
        if (onDemandOnly > 0) {
            zones.spread(need.firstOnDemand, type, false, onDemandOnly, now, wanted);
        }
        int rest = roundUp(need.machines) - available - onDemandOnly;
        Job job = need.firstSpot;
        if (rest <= 0 || job == null || (type.spotPrice() > 0 && zones.spread(job, type, true, rest, now, wanted))) {
            return;
        }
        int forObjectives = (int) Math.floor(backlog.onDemandNeeded() - backlog.onDemand.machines());
        int onDemand = Math.max(forObjectives, roundUp(need.onDemand) - available) - onDemandOnly;
        zones.spread(job, type, false, Math.min(rest, onDemand), now, wanted);
    }

    private int onDemandOnly(FairShareQueue queue, MachineType type, TypeNeed need, Moment now) {
        return need.firstOnDemand == null
                ? 0
                : Math.max(0, roundUp(need.onDemandOnly) - availableMachines.count(queue, type.name(), true, now));
    }

    private static int roundUp(double machines) {
        return (int) Math.ceil(machines - ROUNDING_TOLERANCE);
    }
}
