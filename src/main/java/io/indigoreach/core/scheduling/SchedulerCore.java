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
 * Makes the scheduling decisions of one leadership term. Its inputs are events; its outputs are worker commands,
 * scale-out requests and machine returns. It performs no I/O and has no clock: callers pass the current time.
 */
public final class SchedulerCore {
    private final Cluster cluster;
    private final Estimates estimates = new Estimates();
    private final FailoverTracker failover;
    private final InheritedTaskReleaser inheritedTaskReleaser;
    private final MachineRegistry registry;
    private final HeartbeatHandler heartbeatHandler;
    private final LeaseMonitor leaseMonitor;
    private final DependentJobs dependentJobs;
    private final ScaleOutPolicy bestSize;
    private final StartBounds startBounds;
    private final ConsolidationPolicy consolidation;
    private final ScaleInPolicy scaleInPolicy;
    private final WaitExplainer waitExplainer;
    private final LongestWaitFinder longestWaitFinder;
    private final SchedulerListener listener;

    /** Creates the core of one leadership term, without jobs, machines or machine types. */
    public SchedulerCore(
            FencingToken token,
            SafetyTimes safetyTimes,
            SchedulerSettings settings,
            ServiceLevelObjectives objectives,
            Collection<Team> teams,
            SchedulerListener listener) {
        this.listener = listener;
        this.cluster = new Cluster(teams);
        this.failover = new FailoverTracker();
        this.inheritedTaskReleaser = new InheritedTaskReleaser(cluster, failover);
        this.registry = new MachineRegistry(safetyTimes, cluster, failover, inheritedTaskReleaser, listener);
        this.leaseMonitor = new LeaseMonitor(safetyTimes, cluster, inheritedTaskReleaser, listener);
        this.dependentJobs = new DependentJobs(cluster, estimates);
        Dispatcher dispatcher =
                new Dispatcher(cluster, objectives, estimates, failover, token, settings.minimumPaidTime());
        this.waitExplainer = new WaitExplainer(cluster, dispatcher.rules());
        this.longestWaitFinder = new LongestWaitFinder(cluster, dispatcher.rules(), waitExplainer);
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
                inheritedTaskReleaser,
                new Reconciler(cluster, estimates, listener),
                dispatcher,
                consolidation,
                listener);
    }

    /** Adds machine types to the known ones. */
    public void addMachineTypes(Collection<MachineType> types) {
        for (MachineType type : types) {
            cluster.machineTypes.put(type.name(), type);
        }
    }

    /**
     * Adds a machine that an earlier leader recorded. It may run any inherited task. No earlier leader has led since
     * {@code now}.
     */
    public void inheritMachine(MachineId id, MachinePool pool, Moment rentedAt, Moment existedAt, Moment now) {
        registry.inherit(id, pool, rentedAt, existedAt, now);
    }

    /** Called once all records are read; from then on task lists are reconciled and commands are sent. */
    public void onRecordsLoaded() {
        inheritedTaskReleaser.markRecordsLoaded();
        heartbeatHandler.onRecordsLoaded();
        inheritedTaskReleaser.releaseIfFailoverComplete();
    }

    /** Registers the observer of the run time of each task that completes. */
    public void addRunTimeObserver(BiConsumer<Job, Span> observer) {
        estimates.setRunTimeListener(observer);
    }

    public boolean areRecordsLoaded() {
        return inheritedTaskReleaser.areRecordsLoaded();
    }

    /**
     * Adds an open job unless it is known. The tasks of an inherited job that is added late are held back until all of
     * its tasks on machines are known.
     */
    public void addJob(Job job) {
        if (!cluster.jobs.containsKey(job.id())) {
            cluster.addJob(job);
            dependentJobs.onJobAdded(job);
            inheritedTaskReleaser.onJobAdded(job);
        }
    }

    public Job job(JobId id) {
        return cluster.jobs.get(id);
    }

    public Collection<Job> jobs() {
        return cluster.jobs.values();
    }

    /** Why the open job's next task is waiting; empty if none of its tasks is waiting. */
    public Optional<WaitReason> waitReason(Job job, Moment now) {
        return waitExplainer.reason(job, now);
    }

    /** Cancels a job: none of its tasks start any more, and those on machines are stopped. */
    public void cancelJob(JobId id) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.cancel();
            cluster.removeJob(job);
            dependentJobs.onJobRemoved(job);
        }
    }

    /** Removes a job whose completion is recorded in the state service; workers may now reap its tasks. */
    public void closeJob(JobId id) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            cluster.removeJob(job);
            dependentJobs.onJobRemoved(job);
            dependentJobs.onJobDone(id);
        }
    }

    /** Forgets all jobs before the open jobs are read again. This does not mean that any of them has ended. */
    public void forgetJobs() {
        new ArrayList<>(cluster.jobs.values()).forEach(cluster::removeJob);
        dependentJobs.clear();
    }

    /** The jobs that wait for other jobs. */
    public DependentJobs dependentJobs() {
        return dependentJobs;
    }

    /** Sets which tasks of an open job wait for something other than machines. */
    public void setGatedTasks(JobId id, BitSet tasks) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.gate(tasks);
            cluster.recordChange();
        }
    }

    public void onRevisionSeen(Job job, Revision revision) {
        job.updateRevision(revision);
    }

    /** Processes a worker's heartbeat. The result contains the commands for the answer. */
    public HeartbeatResult onHeartbeat(Heartbeat heartbeat, Moment now) {
        return heartbeatHandler.handle(heartbeat, now);
    }

    /**
     * Whether this machine's heartbeats may be answered. They must not be answered while it is being returned because
     * answers do not reach it: an answer that did arrive would renew its lease.
     */
    public boolean mayAnswer(MachineId id) {
        Machine machine = cluster.machines.get(id);
        return machine == null || !machine.isReturnedAsUnreachable();
    }

    /** Adds machines that the cloud has just rented to this leader. */
    public void onMachinesRented(MachinePool pool, List<MachineId> ids, Moment requestedAt, Moment now) {
        registry.onRented(pool, ids, requestedAt, now);
    }

    /** Handles the cloud's rejection of a scale-out request because the pool has no capacity. */
    public void onScaleOutRejected(MachinePool pool, Moment now) {
        bestSize.recordRefusal(pool, now);
        cluster.warmCapacity.scaleOutRejected(pool);
    }

    /**
     * The machine with this id if it must be recorded before it gets tasks, otherwise empty. A machine that has never
     * sent a heartbeat cannot run tasks, so it needs no record: later leaders do not have to wait for it.
     */
    public Optional<Machine> machineToRecord(MachineId id) {
        return Optional.ofNullable(cluster.machines.get(id)).filter(Machine::needsRecord);
    }

    /**
     * Starts tasks on a machine that was recorded after its heartbeat arrived, if that heartbeat is still its newest.
     */
    public List<WorkerCommand> startTasks(MachineId id, HeartbeatNumber number, Moment now) {
        return heartbeatHandler.startTasks(id, number, now);
    }

    /** Marks a machine as recorded in the state service. */
    public void onMachineRecorded(MachineId id) {
        Machine machine = cluster.machines.get(id);
        if (machine != null) {
            machine.markRecorded();
        }
    }

    /** Processes a complete listing of machines from the cloud, requested at {@code requestedAt}. */
    public void onMachineListing(List<ListedMachine> listing, Moment requestedAt, Moment now) {
        registry.onListing(listing, requestedAt, now);
    }

    /** Removes the placements of machines whose lease has expired, so that their tasks can start elsewhere. */
    public void expireLeases(Moment now) {
        leaseMonitor.expireLeases(now);
    }

    /** Jobs whose start bounds must be recorded now because their tasks are about to start. */
    public List<Job> startBoundsToRaise(Moment now) {
        return areRecordsLoaded() ? startBounds.raiseBounds(now) : List.of();
    }

    /** The machines to rent now. Called once per check, so that one request covers several arrivals and completions. */
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

    /** Sets when this node's event loop last resumed after a pause; it may not have read heartbeats from before. */
    public void setEventLoopRunningSince(Moment since) {
        cluster.setEventLoopRunningSince(since);
    }

    /** Selects the machines to return; they get no more tasks. */
    public void planScaleIn(Moment now) {
        if (areRecordsLoaded()) {
            consolidation.planDraining(now);
            cluster.warmCapacity.plan(
                    cluster.machines.values(),
                    cluster.jobs.values(),
                    machine -> scaleInPolicy.termEndsBeforeNextCheck(machine, now),
                    now);
            for (ScaleInPolicy.PlannedReturn plannedReturn : scaleInPolicy.selectMachines(now, failover.isComplete())) {
                listener.log("machine return planned machine=" + plannedReturn.machine() + " reason="
                        + plannedReturn.reason());
            }
        }
    }

    /**
     * Takes over returns that an earlier leader recorded: no task starts on these machines, and their return is
     * completed.
     */
    public void inheritReturns(Collection<MachineId> ids, Moment now) {
        registry.inheritReturns(ids, now);
    }

    /** At most {@code limit} machines whose return the cloud has not confirmed yet. */
    public List<MachineId> machinesToReturn(int limit) {
        return registry.machinesToReturn(limit);
    }

    /** Removes machines whose return the cloud has confirmed. */
    public void onMachinesReturned(List<MachineId> ids, Moment now) {
        registry.onReturned(ids, now);
    }

    /** Number of machines visited by scheduling decisions so far. */
    long machineVisits() {
        return cluster.machineVisits();
    }

    /** Whether the machine's lease counts as expired, so that no task may be running on it. */
    boolean isLeaseExpired(MachineId id) {
        Machine machine = cluster.machines.get(id);
        return machine != null && machine.leaseExpired;
    }

    public boolean isKnownMachine(MachineId id) {
        return cluster.machines.containsKey(id);
    }

    /**
     * Whether heartbeats are missing from all machines, so that this node is more likely cut off than all of them
     * failed.
     */
    public boolean isPartitionedFromWorkers(Moment now) {
        return leaseMonitor.isPartitionedFromWorkers(now);
    }

    /** Sets the policy that decides which machines are kept warm. */
    public void setWarmCapacity(WarmCapacity warmCapacity) {
        cluster.setWarmCapacity(warmCapacity);
    }

    public Collection<Machine> machines() {
        return cluster.machines.values();
    }

    public int machineCount() {
        return cluster.machines.size();
    }

    /** Whether every task that an earlier leader may have started is known. */
    public boolean isFailoverComplete() {
        return failover.isComplete();
    }

    /** This leader's state of jobs and machines, from which lost records can be rebuilt. */
    public RememberedState rememberedState() {
        return RememberedStateBuilder.of(cluster);
    }

    /** The remembered state of one open job, whose completion may not be recorded yet. */
    public static RememberedState rememberedState(Job job) {
        return RememberedStateBuilder.of(job);
    }

    /** A log line with the numbers of jobs, tasks and machines, and the longest wait of a job for its first task. */
    public String summary(Moment now) {
        return SummaryFormatter.of(cluster, failover, longestWaitFinder.find(now));
    }
}
