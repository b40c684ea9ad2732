package io.indigoreach.core.scheduling;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The decisions of one leadership: events go in, orders, rents and returns come out. It does no input or output and
 * has no clock; every call says what time it is.
 */
public final class SchedulerCore {
    private static final int MIN_SILENT_MACHINES = 3;
    private static final int RETURNED_MACHINES_KEPT = 1000;
    private static final int RETURNED_KEPT_PER_MACHINE = 8;
    /** One list would do by the cloud's word; a second one costs little. */
    private static final int LISTINGS_TO_PRESUME_GONE = 2;

    private final FencingToken token;
    private final SafetyTimes safetyTimes;
    private final Cluster cluster;
    private final Estimates estimates = new Estimates();
    private final Failover failover;
    /** Inherited jobs that were read after the records are not released yet. */
    private boolean inheritedLate;

    private final DependentJobs dependentJobs;
    private final Dispatcher dispatcher;
    private final Reconciler reconciler;
    private final BestSize bestSize;
    private final StartBounds startBounds;
    private final Consolidation consolidation;
    private final ScaleInPolicy scaleInPolicy;
    private final SchedulerListener listener;
    private final MachineAdoption adoption;
    private final WaitExplainer waitExplainer;
    /** Returned machines still appear in lists and late reports for a while; they are not taken on again. */
    private final Map<MachineId, Boolean> returnedMachines = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineId, Boolean> eldest) {
            return size() > Math.max(RETURNED_MACHINES_KEPT, RETURNED_KEPT_PER_MACHINE * cluster.machines.size());
        }
    };
    /** Machines that an earlier leader was about to return: the request may still be executed, so they are of no use. */
    private final Set<MachineId> returnsInProgress = new HashSet<>();
    /** What was answered before the records were read, whether its machine was known by then or not. */
    private final Map<MachineId, EarlyHeartbeat> earlyHeartbeats = new HashMap<>();

    private boolean recordsLoaded;

    private record EarlyHeartbeat(HeartbeatNumber number, Moment heard) {}

    public SchedulerCore(
            FencingToken token,
            SafetyTimes safetyTimes,
            SchedulerSettings tuning,
            ServiceLevelObjectives aims,
            Collection<Team> teams,
            SchedulerListener listener) {
        this.token = token;
        this.safetyTimes = safetyTimes;
        this.listener = listener;
        this.adoption = new MachineAdoption(safetyTimes);
        this.cluster = new Cluster(teams);
        this.failover = new Failover();
        this.dependentJobs = new DependentJobs(cluster, estimates);
        this.dispatcher = new Dispatcher(cluster, aims, estimates, failover, token, tuning.minimumPaidTime());
        this.waitExplainer = new WaitExplainer(cluster, dispatcher.rules());
        this.reconciler = new Reconciler(cluster, estimates, listener);
        this.consolidation = new Consolidation(cluster, dispatcher.rules(), estimates, safetyTimes);
        FailureDetector silence = new FailureDetector(cluster, safetyTimes);
        this.bestSize = new BestSize(cluster, dispatcher.rules(), estimates, tuning, silence);
        this.startBounds = new StartBounds(cluster, dispatcher.rules().order(), tuning);
        this.scaleInPolicy = new ScaleInPolicy(cluster, dispatcher, safetyTimes, tuning, silence);
    }

    public void setTypes(Collection<MachineType> types) {
        for (MachineType type : types) {
            cluster.types.put(type.name(), type);
        }
    }

    /** A machine that an earlier leader recorded: it may hold any inherited task. No earlier leader leads since {@code now}. */
    public void inheritMachine(MachineId id, MachinePool pool, Moment rented, Moment existed, Moment now) {
        MachineType type = cluster.types.get(pool.type());
        if (type == null) {
            return;
        }
        Machine machine = new Machine(id, pool, type, rented);
        machine.inheritedFromRecord(existed, now);
        cluster.machines.put(id, machine);
        failover.expect(id, now);
    }

    /** Every record has been read: from now on task lists are taken and orders given. */
    public void recordsLoaded() {
        recordsLoaded = true;
        earlyHeartbeats.forEach((id, answered) -> {
            Machine machine = cluster.machines.get(id);
            if (machine != null) {
                // Against a lease that counts as over while the answer has renewed it, and against a report that comes
                // after it.
                machine.answeredBeforeLoading(answered.number, answered.heard);
            } else {
                adoption.answered(id, answered.number);
            }
        });
        earlyHeartbeats.clear();
        if (failover.isComplete()) {
            cluster.releaseInheritedTasks();
        }
    }

    /** Who is told of the run time of each task that ends well. */
    public void onTaskCompleted(BiConsumer<Job, Span> told) {
        estimates.onRun(told);
    }

    public boolean areRecordsLoaded() {
        return recordsLoaded;
    }

    /**
     * An inherited job that comes after the take-over, as its record could not be read before, waits until no report shows a task
     * of a job that is not known: what it had on machines is then gone, or counted as its own.
     */
    public void addJob(Job job) {
        if (!cluster.jobs.containsKey(job.id())) {
            cluster.add(job);
            dependentJobs.added(job);
            inheritedLate |= recordsLoaded && job.isInherited();
            releaseInheritedLate();
        }
    }

    private void releaseInheritedLate() {
        if (inheritedLate && failover.isComplete() && !cluster.hasOrphanTasks()) {
            inheritedLate = false;
            cluster.releaseInheritedTasks();
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

    public void revisionSeen(Job job, Revision stamp) {
        job.revisionSeen(stamp);
    }

    /** The answer's orders; null if this report shows that a newer leader exists. */
    public List<WorkerCommand> onHeartbeat(Heartbeat heartbeat, Moment now) {
        if (heartbeat.token().value() > token.value()) {
            return null;
        }
        if (!recordsLoaded) {
            // It is answered all the same, and that renews its lease; a copy of an older one renews nothing.
            earlyHeartbeats.merge(
                    heartbeat.machine(),
                    new EarlyHeartbeat(heartbeat.number(), now),
                    (a, b) -> b.number.compareTo(a.number) > 0 ? b : a);
            return List.of();
        }
        Machine machine = cluster.machines.get(heartbeat.machine());
        if (returnedMachines.containsKey(heartbeat.machine()) || returnsInProgress.contains(heartbeat.machine())) {
            return List.of();
        }
        if (machine == null && adoption.isAliveUnderToken(heartbeat, token)) {
            machine = adopt(heartbeat, now);
        }
        if (machine == null || isOld(machine, heartbeat.number())) {
            return List.of();
        }
        if (!machine.pool.equals(heartbeat.pool())
                && cluster.types.containsKey(heartbeat.pool().type())) {
            machine = replace(machine, heartbeat.pool(), now);
        }
        HeartbeatNumber before = machine.lastHeartbeat;
        machine.heartbeatReceived(heartbeat.number());
        if (!machine.isReturnedAsUnreachable()) {
            machine.renewLease(now);
            observeAnswers(machine, heartbeat, before, now);
        }
        if (heartbeat.token().value() < token.value()) {
            if (failover.isLeaseOver(machine.id, now.minus(safetyTimes.leaseBound()))) {
                machineReconciled(machine.id);
            }
            machine.partition.answerSent(List.of(), now);
            return List.of();
        }
        if (before.incarnation() != 0 && machine.lastHeartbeat.incarnation() > before.incarnation()) {
            cluster.removeAllPlacements(machine, now);
            machine.imageCache.doubt();
        }
        if (machine.phase == Machine.Phase.BOOTING || machine.phase == Machine.Phase.LOST) {
            machine.becameUp(now);
            cluster.changed();
        }
        machine.preemptionAnnounced(
                heartbeat.preemptionNotice() == null ? null : now.plus(heartbeat.preemptionNotice()));
        machine.markReconciled();
        List<WorkerCommand> orders = reconciler.reconcile(machine, heartbeat, now);
        machineReconciled(machine.id);
        releaseInheritedLate();
        if (machine.phase == Machine.Phase.UP && !machine.partition.isConfirmed()) {
            orders.addAll(dispatcher.startTasks(machine, heartbeat.number(), now));
            orders.addAll(dispatcher.preempt(machine, now));
            orders.addAll(consolidation.drainCommands(machine, now));
        }
        if (!needsRecord(machine) && !machine.isReturnedAsUnreachable()) {
            machine.partition.answerSent(orders, now);
        }
        return orders;
    }

    /**
     * Not newer than the last one, or of a session that is over: without an answered report for the lease bound the machine
     * has killed its tasks and begun another session, so what comes then under the old one was sent before.
     */
    private static boolean isOld(Machine machine, HeartbeatNumber number) {
        return number.compareTo(machine.lastHeartbeat) <= 0
                || (number.incarnation() == machine.lastHeartbeat.incarnation() && machine.leaseExpired);
    }

    private void observeAnswers(Machine machine, Heartbeat heartbeat, HeartbeatNumber before, Moment now) {
        boolean told = machine.partition.isConfirmed();
        machine.partition.observe(heartbeat, before, token, cluster.awakeSince, safetyTimes, now);
        if (machine.partition.isConfirmed() != told) {
            listener.log("machine " + machine.id
                    + (told ? " takes answers again" : " reports, but answers do not reach it"));
            cluster.changed();
        }
    }

    /**
     * Whether this machine's report is answered: not while it is returned since it hears nothing. Its lease, if it does hear,
     * runs from the last report that was answered.
     */
    public boolean mayAnswer(MachineId id) {
        Machine machine = cluster.machines.get(id);
        return machine == null || !machine.isReturnedAsUnreachable();
    }

    /** Nothing unknown is on this machine any more; after the last one, every job's tasks may be started. */
    private void machineReconciled(MachineId id) {
        if (!failover.isComplete()) {
            failover.reconciled(id);
            if (recordsLoaded && failover.isComplete()) {
                cluster.releaseInheritedTasks();
            }
        }
    }

    /**
     * A machine is what it says it is. The answer to a request to rent can be that to an older one of the same name, of
     * another leader: an ordinary machine was taken for a spot one then, and could have got what may not run there.
     */
    private Machine replace(Machine machine, MachinePool pool, Moment now) {
        listener.log("machine " + machine.id + " is of " + pool + ", not of " + machine.pool);
        Machine real = new Machine(machine.id, pool, cluster.types.get(pool.type()), machine.rentedAt);
        real.takeHistoryOf(machine);
        cluster.removeMachine(machine, now);
        cluster.machines.put(real.id, real);
        return real;
    }

    private Machine adopt(Heartbeat heartbeat, Moment now) {
        MachineType type = cluster.types.get(heartbeat.pool().type());
        if (type == null) {
            return null;
        }
        listener.log("machine " + heartbeat.machine() + " reports and is not known: taken on");
        Machine machine = new Machine(heartbeat.machine(), heartbeat.pool(), type, now);
        cluster.machines.put(machine.id, machine);
        return machine;
    }

    /** Machines that the cloud has just rented to this leader. */
    public void rented(MachinePool pool, List<MachineId> ids, Moment asked, Moment now) {
        for (MachineId id : ids) {
            if (returnedMachines.containsKey(id) || returnsInProgress.contains(id)) {
                continue;
            }
            Machine known = cluster.machines.get(id);
            if (known != null) {
                known.rentalConfirmed(asked);
                continue;
            }
            MachineType type = cluster.types.get(pool.type());
            if (type != null) {
                Machine machine = new Machine(id, pool, type, asked);
                machine.existsAt(now);
                cluster.machines.put(id, machine);
            }
        }
        cluster.changed();
    }

    public void refused(MachinePool pool, Moment now) {
        bestSize.refused(pool, now);
        cluster.warmCapacity.refused(pool);
    }

    private static boolean needsRecord(Machine machine) {
        return !machine.recorded && machine.phase == Machine.Phase.UP;
    }

    /**
     * The machine, if it must be recorded before it can get tasks; else null. One that never reported can hold no
     * task, so a later leader need not wait for it and it needs no record.
     */
    public Machine unrecorded(MachineId id) {
        Machine machine = cluster.machines.get(id);
        return machine != null && needsRecord(machine) ? machine : null;
    }

    /** Starts for a machine that was recorded after its report came, if that is still its newest. */
    public List<WorkerCommand> startTasks(MachineId id, HeartbeatNumber number, Moment now) {
        Machine machine = cluster.machines.get(id);
        if (machine == null || !machine.lastHeartbeat.equals(number)) {
            return List.of();
        }
        List<WorkerCommand> orders = dispatcher.startTasks(machine, number, now);
        if (now.since(machine.lastHeardAt)
                        .compareTo(safetyTimes.responseTimeout().times(0.5))
                < 0) {
            machine.partition.answerSent(orders, now);
        }
        return orders;
    }

    public void recorded(MachineId id) {
        Machine machine = cluster.machines.get(id);
        if (machine != null) {
            machine.markRecorded();
        }
    }

    /**
     * A whole list from the cloud, asked for at {@code asked}. Lists lag, so absence shows nothing by itself. But once
     * listed, a machine stays listed until it is gone, and the lag is bounded: a machine that surely existed before
     * the oldest moment this list can describe, and is not in it, is gone with everything on it.
     */
    public void onMachineListing(List<ListedMachine> list, Moment asked, Moment now) {
        Set<MachineId> present = new HashSet<>();
        for (ListedMachine listed : list) {
            if (returnedMachines.containsKey(listed.id()) || returnsInProgress.contains(listed.id())) {
                continue;
            }
            present.add(listed.id());
            Machine machine = cluster.machines.get(listed.id());
            if (listed.status() == ListedMachine.Status.FAILED) {
                if (machine == null || machine.phase != Machine.Phase.RETURNING) {
                    failed(machine, listed, now);
                }
                continue;
            }
            if (machine == null && cluster.types.containsKey(listed.pool().type())) {
                listener.log("machine " + listed.id() + " is listed and not known: taken on");
                machine = new Machine(
                        listed.id(),
                        listed.pool(),
                        cluster.types.get(listed.pool().type()),
                        now.minus(listed.held()));
                machine.adoptedAt(now);
                cluster.machines.put(machine.id, machine);
            }
            if (machine != null) {
                machine.listed();
            }
        }
        adoption.listed(present, asked, now);
        for (Machine machine : new ArrayList<>(cluster.machines.values())) {
            if (present.contains(machine.id)) {
                continue;
            }
            if (machine.knownToExistAt.isBefore(asked.minus(safetyTimes.oldestListing()))) {
                machine.missingFromListing();
            }
            if (machine.missedListings >= LISTINGS_TO_PRESUME_GONE) {
                listener.log("machine " + machine.id + " is gone with " + machine.taskCount()
                        + " tasks: the cloud lists it no more");
                cluster.removeMachine(machine, now);
                machineReconciled(machine.id);
                returnedMachines.put(machine.id, true);
            }
        }
    }

    private void failed(Machine known, ListedMachine listed, Moment now) {
        Machine machine = known;
        if (machine == null) {
            MachineType type = cluster.types.get(listed.pool().type());
            if (type == null) {
                return;
            }
            machine = new Machine(listed.id(), listed.pool(), type, now);
            cluster.machines.put(machine.id, machine);
        }
        listener.log("machine " + machine.id + " stopped by itself with " + machine.taskCount() + " tasks");
        cluster.removeAllPlacements(machine, now);
        machineReconciled(machine.id);
        machine.beginReturn(now);
    }

    /** Machines whose lease ran out: their tasks are free again. */
    public void expireLeases(Moment now) {
        for (Machine machine : cluster.machines.values()) {
            if (now.since(machine.lastHeardAt).compareTo(safetyTimes.leaseBound()) <= 0) {
                continue;
            }
            machineReconciled(machine.id);
            machine.expireLease();
            if (machine.phase == Machine.Phase.UP || (machine.phase == Machine.Phase.RETURNING && !machine.isIdle())) {
                listener.log("machine " + machine.id + " is silent: its lease has run out with " + machine.taskCount()
                        + " tasks");
                cluster.removeAllPlacements(machine, now);
            }
            if (FailureDetector.mayHoldTasks(machine)) {
                machine.lose();
                cluster.changed();
            }
        }
    }

    /** Jobs whose start bounds are to be recorded now, as their tasks are about to be ordered. */
    public List<Job> startBoundsToRaise(Moment now) {
        return recordsLoaded ? startBounds.toRaise(now) : List.of();
    }

    /** What to rent now: asked once each check, so that the wishes of several arrivals and completions are one. */
    public List<ScaleOutRequest> scaleOutRequests(Moment now) {
        if (!recordsLoaded) {
            return List.of();
        }
        List<ScaleOutRequest> wishes = new ArrayList<>(bestSize.scaleOutRequests(now));
        for (ScaleOutRequest request : cluster.warmCapacity.scaleOutRequests(now)) {
            if (bestSize.mayAsk(request.pool(), now)) {
                wishes.add(request);
            } else {
                cluster.warmCapacity.refused(request.pool());
            }
        }
        return wishes;
    }

    /** Since when this node has not stood still: silence before that may be its own. */
    public void setAwakeSince(Moment since) {
        cluster.setAwakeSince(since);
    }

    /** Marks what is to be returned. */
    public void planScaleIn(Moment now) {
        if (recordsLoaded) {
            consolidation.plan(now);
            cluster.warmCapacity.plan(
                    cluster.machines.values(),
                    cluster.jobs.values(),
                    machine -> scaleInPolicy.termEnds(machine, now),
                    now);
            for (String reason : scaleInPolicy.selectMachines(now, failover.isComplete())) {
                listener.log("returning machine " + reason);
            }
        }
    }

    /** An earlier leader has recorded that it returns these: nothing is started there, and the return is finished. */
    public void inheritReturns(Collection<MachineId> ids, Moment now) {
        for (MachineId id : ids) {
            Machine machine = cluster.machines.get(id);
            if (machine == null) {
                returnsInProgress.add(id);
            } else if (machine.phase != Machine.Phase.RETURNING) {
                machine.beginReturn(now);
            }
        }
    }

    /** Machines to ask the cloud to take back, until it has said that they are gone. */
    public List<MachineId> machinesToReturn(int most) {
        List<MachineId> out =
                new ArrayList<>(returnsInProgress.stream().limit(most).toList());
        for (Machine machine : cluster.machines.values()) {
            if (machine.phase == Machine.Phase.RETURNING && out.size() < most) {
                out.add(machine.id);
            }
        }
        return out;
    }

    /** The cloud has answered that these machines are gone. */
    public void returned(List<MachineId> ids, Moment now) {
        for (MachineId id : ids) {
            Machine machine = cluster.machines.get(id);
            if (machine != null) {
                cluster.removeMachine(machine, now);
            }
            machineReconciled(id);
            returnsInProgress.remove(id);
            returnedMachines.put(id, true);
        }
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

    /**
     * Nothing is heard of any of several machines for as long as would be said of one that it hangs: more likely this node
     * is cut off from them than that all have ended at once. Half a lease was too long: workers that had given this node up
     * were sent back to it by the others, and their leases ended. Those of an earlier leader need their time to find this one: a
     * leader that gave up 4.7 s after it had taken over, as all 447 were still with one that stood still, cost 557 tasks.
     */
    public boolean isCutOffFromWorkers(Moment now) {
        Moment since = now.minus(safetyTimes.suspicionTimeout());
        if (cluster.awakeSince.isAfter(since)) {
            return false;
        }
        Moment sinceTakeOver = now.minus(Span.longer(safetyTimes.suspicionTimeout(), safetyTimes.leaderDiscovery()));
        int silent = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.recorded && machine.phase != Machine.Phase.RETURNING) {
                if (machine.lastHeardAt.isAfter(machine.reconciled ? since : sinceTakeOver)) {
                    return false;
                }
                silent++;
            }
        }
        return silent >= MIN_SILENT_MACHINES;
    }

    /** From now on machines are kept ahead of their work by what this says. */
    public void useWarmCapacity(WarmCapacity keeper) {
        cluster.useWarmCapacity(keeper);
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
        RememberedState rememberedState = new RememberedState();
        for (Job job : cluster.jobs.values()) {
            rememberedState.add(rememberedState(job));
        }
        for (Machine machine : cluster.machines.values()) {
            if (machine.recorded) {
                rememberedState.add(new RememberedState.RentedMachine(
                        machine.id, machine.pool, machine.rentedAt, machine.knownToExistAt));
            }
        }
        return rememberedState;
    }

    /** What is known of one open job, whose end may be on its way into the records. */
    public static RememberedState rememberedState(Job job) {
        RememberedState rememberedState = new RememberedState();
        if (job.isComplete()) {
            rememberedState.add(job.id(), new RememberedState.FinishedJob(JobStatus.DONE, job.spec.tasks()));
        } else {
            rememberedState.add(new RememberedState.OpenJob(
                    job.spec, job.submittedMs, job.completedTasks(), job.startBoundToWrite()));
        }
        return rememberedState;
    }

    /** One line for the log: what there is and what waits. */
    public String summary(Moment now) {
        int up = 0;
        int idle = 0;
        int booting = 0;
        int active = 0;
        for (Machine machine : cluster.machines.values()) {
            up += machine.phase == Machine.Phase.UP ? 1 : 0;
            idle += machine.phase == Machine.Phase.UP && machine.isIdle() ? 1 : 0;
            booting += machine.phase == Machine.Phase.BOOTING ? 1 : 0;
            active += machine.taskCount();
        }
        int waiting = 0;
        for (Job job : cluster.jobs.values()) {
            waiting += job.waitingCount();
        }
        return cluster.jobs.size() + " jobs, " + waiting + " tasks waiting, " + active + " placed; machines: " + up
                + " up (" + idle + " idle), " + booting + " booting, " + (cluster.machines.size() - up - booting)
                + " other"
                + (failover.isComplete() ? "" : "; take-over: " + failover.unreconciledCount() + " to report");
    }
}
