package io.indigoreach.core.scheduling;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The scheduling decisions of one leadership term: events go in; worker commands, scale-out requests and returns come out.
 * It does no input or output and has no clock; every call states the time.
 */
public final class SchedulerCore {
    private final Cluster cluster;
    private final Estimates estimates = new Estimates();
    private final Failover failover;
    private final InheritedTaskRelease inheritedTaskRelease;
    private final MachineRegistry registry;
    private final HeartbeatHandler heartbeatHandler;
    private final LeaseExpiry leaseExpiry;
    private final DependentJobs dependentJobs;
    private final ScaleOutPolicy bestSize;
    private final StartBounds startBounds;
    private final ConsolidationPolicy consolidation;
    private final ScaleInPolicy scaleInPolicy;
    private final WaitExplainer waitExplainer;
    private final SchedulerListener listener;

    /** The core of one leadership term, without any job, machine or machine type yet. */
    public SchedulerCore(
            FencingToken token,
            SafetyTimes safetyTimes,
            SchedulerSettings settings,
            ServiceLevelObjectives objectives,
            Collection<Team> teams,
            SchedulerListener listener) {
        this.listener = listener;
        this.cluster = new Cluster(teams);
        this.failover = new Failover();
        this.inheritedTaskRelease = new InheritedTaskRelease(cluster, failover);
        this.registry = new MachineRegistry(safetyTimes, cluster, failover, inheritedTaskRelease, listener);
        this.leaseExpiry = new LeaseExpiry(safetyTimes, cluster, inheritedTaskRelease, listener);
        this.dependentJobs = new DependentJobs(cluster, estimates);
        Dispatcher dispatcher =
                new Dispatcher(cluster, objectives, estimates, failover, token, settings.minimumPaidTime());
        this.waitExplainer = new WaitExplainer(cluster, dispatcher.rules());
        this.consolidation = new ConsolidationPolicy(cluster, dispatcher.rules(), estimates, safetyTimes);
        FailureDetector failureDetector = new FailureDetector(cluster, safetyTimes);
        this.bestSize = new ScaleOutPolicy(cluster, dispatcher.rules(), estimates, settings, failureDetector);
        this.startBounds = new StartBounds(cluster, dispatcher.rules().order(), settings);
        this.scaleInPolicy = new ScaleInPolicy(cluster, dispatcher, safetyTimes, settings, failureDetector);
        this.heartbeatHandler = new HeartbeatHandler(
                token,
                safetyTimes,
                cluster,
                registry,
                failover,
                inheritedTaskRelease,
                new Reconciler(cluster, estimates, listener),
                dispatcher,
                consolidation,
                listener);
    }

    /** Makes machine types known, beside those that are. */
    public void setTypes(Collection<MachineType> types) {
        for (MachineType type : types) {
            cluster.types.put(type.name(), type);
        }
    }

    /** A machine that an earlier leader recorded: it may hold any inherited task. No earlier leader leads since {@code now}. */
    public void inheritMachine(MachineId id, MachinePool pool, Moment rentedAt, Moment existedAt, Moment now) {
        registry.inherit(id, pool, rentedAt, existedAt, now);
    }

    /** Every record has been read: from now on task lists are reconciled and commands given. */
    public void recordsLoaded() {
        inheritedTaskRelease.markRecordsLoaded();
        heartbeatHandler.recordsLoaded();
        inheritedTaskRelease.releaseIfFailoverComplete();
    }

    /** Registers the observer of the run time of each task that completes. */
    public void onTaskCompleted(BiConsumer<Job, Span> observer) {
        estimates.onRun(observer);
    }

    public boolean areRecordsLoaded() {
        return inheritedTaskRelease.areRecordsLoaded();
    }

    /** Adds an open job, unless it is known; an inherited one that is added late is held until nothing of it can be unknown. */
    public void addJob(Job job) {
        if (!cluster.jobs.containsKey(job.id())) {
            cluster.add(job);
            dependentJobs.added(job);
            inheritedTaskRelease.jobAdded(job);
        }
    }

    public Job job(JobId id) {
        return cluster.jobs.get(id);
    }

    public Collection<Job> jobs() {
        return cluster.jobs.values();
    }

    /** What the open job's next task waits for; empty if none of its tasks waits. */
    public Optional<WaitReason> waitReason(Job job, Moment now) {
        return waitExplainer.reason(job, now);
    }

    /** The job's user has cancelled it: nothing of it may start, and what is on machines is stopped. */
    public void cancelJob(JobId id) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.cancel();
            cluster.remove(job);
            dependentJobs.removed(job);
        }
    }

    /** The job's end as done is in the state service: its workers may forget its tasks. */
    public void closeJob(JobId id) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            cluster.remove(job);
            dependentJobs.removed(job);
            dependentJobs.done(id);
        }
    }

    /** Before the open jobs are read anew: that a job is not known any more says nothing of its end. */
    public void forgetJobs() {
        new ArrayList<>(cluster.jobs.values()).forEach(cluster::remove);
        dependentJobs.clear();
    }

    /** The jobs that wait for others. */
    public DependentJobs dependentJobs() {
        return dependentJobs;
    }

    /** Only these tasks of an open job wait for something else than machines. */
    public void gateTasks(JobId id, BitSet tasks) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.gate(tasks);
            cluster.changed();
        }
    }

    public void revisionSeen(Job job, Revision revision) {
        job.revisionSeen(revision);
    }

    /** Processes a worker's heartbeat; the result has the commands for the answer. */
    public HeartbeatResult onHeartbeat(Heartbeat heartbeat, Moment now) {
        return heartbeatHandler.handle(heartbeat, now);
    }

    /**
     * Whether this machine's heartbeat may be answered: not while it is returned because answers do not reach it. Its lease, if
     * they do, runs from the last heartbeat that was answered.
     */
    public boolean mayAnswer(MachineId id) {
        Machine machine = cluster.machines.get(id);
        return machine == null || !machine.isReturnedAsUnreachable();
    }

    /** Machines that the cloud has just rented to this leader. */
    public void rented(MachinePool pool, List<MachineId> ids, Moment requestedAt, Moment now) {
        registry.rented(pool, ids, requestedAt, now);
    }

    /** The cloud has no capacity in this pool. */
    public void scaleOutRejected(MachinePool pool, Moment now) {
        bestSize.recordRefusal(pool, now);
        cluster.warmCapacity.scaleOutRejected(pool);
    }

    /**
     * The machine, if it must be recorded before it can get tasks. One that never sent a heartbeat can hold no task, so a
     * later leader need not wait for it and it needs no record.
     */
    public Optional<Machine> unrecorded(MachineId id) {
        return Optional.ofNullable(cluster.machines.get(id)).filter(Machine::needsRecord);
    }

    /** Starts for a machine that was recorded after its heartbeat arrived, if that is still its newest. */
    public List<WorkerCommand> startTasks(MachineId id, HeartbeatNumber number, Moment now) {
        return heartbeatHandler.startTasks(id, number, now);
    }

    /** The machine's record is in the state service. */
    public void recorded(MachineId id) {
        Machine machine = cluster.machines.get(id);
        if (machine != null) {
            machine.markRecorded();
        }
    }

    /** A whole listing of machines from the cloud, requested at {@code requestedAt}. */
    public void onMachineListing(List<ListedMachine> listing, Moment requestedAt, Moment now) {
        registry.onListing(listing, requestedAt, now);
    }

    /** Frees the tasks of machines whose lease has expired. */
    public void expireLeases(Moment now) {
        leaseExpiry.expireLeases(now);
    }

    /** Jobs whose start bounds are to be recorded now, as their tasks are about to be started. */
    public List<Job> startBoundsToRaise(Moment now) {
        return areRecordsLoaded() ? startBounds.toRaise(now) : List.of();
    }

    /** What to rent now; called once each check, so that the needs of several arrivals and completions are one request. */
    public List<ScaleOutRequest> scaleOutRequests(Moment now) {
        if (!areRecordsLoaded()) {
            return List.of();
        }
        List<ScaleOutRequest> requests = new ArrayList<>(bestSize.scaleOutRequests(now));
        for (ScaleOutRequest request : cluster.warmCapacity.scaleOutRequests(now)) {
            if (bestSize.mayRequest(request.pool(), now)) {
                requests.add(request);
            } else {
                cluster.warmCapacity.scaleOutRejected(request.pool());
            }
        }
        return requests;
    }

    /** Since when this node's event loop has run without a pause: missing heartbeats before that may be its own fault. */
    public void setAwakeSince(Moment since) {
        cluster.setAwakeSince(since);
    }

    /** Chooses the machines to return, which get no more tasks. */
    public void planScaleIn(Moment now) {
        if (areRecordsLoaded()) {
            consolidation.planDraining(now);
            cluster.warmCapacity.plan(
                    cluster.machines.values(),
                    cluster.jobs.values(),
                    machine -> scaleInPolicy.termEndsBeforeNextCheck(machine, now),
                    now);
            for (ScaleInPolicy.PlannedReturn planned : scaleInPolicy.selectMachines(now, failover.isComplete())) {
                listener.log("machine return planned machine=" + planned.machine() + " reason=" + planned.reason());
            }
        }
    }

    /** An earlier leader has recorded that it returns these: nothing is started there, and the return is finished. */
    public void inheritReturns(Collection<MachineId> ids, Moment now) {
        registry.inheritReturns(ids, now);
    }

    /** At most {@code limit} machines to be returned to the cloud, until it has confirmed that they are gone. */
    public List<MachineId> machinesToReturn(int limit) {
        return registry.machinesToReturn(limit);
    }

    /** The cloud has confirmed that these machines are gone. */
    public void returned(List<MachineId> ids, Moment now) {
        registry.returned(ids, now);
    }

    /** How many machines decisions have looked at so far. */
    long machineVisits() {
        return cluster.machineVisits();
    }

    /** Whether the machine's lease counts as over: nothing may run there. */
    boolean isLeaseExpired(MachineId id) {
        Machine machine = cluster.machines.get(id);
        return machine != null && machine.leaseExpired;
    }

    public boolean knows(MachineId id) {
        return cluster.machines.containsKey(id);
    }

    /** No heartbeat reaches this node: it is more likely cut off from the workers than that all of them have failed. */
    public boolean isCutOffFromWorkers(Moment now) {
        return leaseExpiry.isCutOffFromWorkers(now);
    }

    /** From now on this decides which machines are kept warm. */
    public void useWarmCapacity(WarmCapacity warmCapacity) {
        cluster.useWarmCapacity(warmCapacity);
    }

    public Collection<Machine> machines() {
        return cluster.machines.values();
    }

    public int machineCount() {
        return cluster.machines.size();
    }

    /** Every task that an earlier leader may have started is known. */
    public boolean isFailoverComplete() {
        return failover.isComplete();
    }

    /** What this leader knows of jobs and machines, should the records of them be lost. */
    public RememberedState rememberedState() {
        return RememberedStateView.of(cluster);
    }

    /** What is known of one open job, whose end may be on its way into the records. */
    public static RememberedState rememberedState(Job job) {
        return RememberedStateView.of(job);
    }

    /** One line for the log: what there is and what waits. */
    public String summary() {
        return SchedulerSummary.of(cluster, failover);
    }
}
