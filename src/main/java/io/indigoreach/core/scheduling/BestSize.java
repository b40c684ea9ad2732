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
 * How many machines to rent: the paper's BestSize, per machine type. When the top job exceeds the capacity, or its wait
 * is predicted to pass the limit, the size is that of all waiting long jobs plus the top short one, less the machines
 * idle or on order. Tasks much shorter than the paid term follow each other on a machine within that term.
 *
 * <p>One exception: a queue of many short jobs, each of which would be served soon by itself. Counting the top one only
 * rents a machine or two per boot, however many wait behind it. Of the short jobs' work, what the machines that are up
 * cannot begin within the wait limit is counted too, by the paid term that it fills.
 */
final class BestSize {
    /** Subtracted before rounding up, so that rounding errors of sums add no machine. */
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

    /** The cloud had no machine of the pool. */
    void refused(MachinePool pool, Moment now) {
        zones.refused(pool, now);
    }

    /** Whether requesting machines of the pool is of use now. */
    boolean mayAsk(MachinePool pool, Moment now) {
        return zones.mayRequest(pool, now);
    }

    /** The machines to rent now. */
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
            MachineType type = cluster.machineTypes.get(name);
            Backlog backlog = backlogs.get(name);
            addShortBacklog(typeNeed, need.shortWork(name), backlog);
            request(queue, type, typeNeed, backlog, now, wanted);
        });
    }

    private boolean isCounted(Job job, Moment now) {
        // The previous leader has scaled out for its own; what is there for them is not known before all have reported.
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
            // Not as the first, whose zones the others' machines are requested in: bound to an empty zone, it stopped
            // all.
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

    /** On-demand machines for jobs that may use no others; then spot machines, and on-demand ones where none are to be had. */
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
