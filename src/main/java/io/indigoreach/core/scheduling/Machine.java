package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.TaskId;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The leader's state of a rented machine. The state changes only through the methods of this class. */
public final class Machine {
    /**
     * BOOTING: no heartbeat yet. UP: sends heartbeats. LOST: its lease expired without a heartbeat. RETURNING: being
     * returned to the cloud, never used again.
     */
    public enum Phase {
        BOOTING,
        UP,
        LOST,
        RETURNING
    }

    final MachineId id;
    final MachinePool pool;
    final MachineType type;
    Phase phase = Phase.BOOTING;
    /** When this machine was requested; its paid terms count from this moment. */
    Moment rentedAt;
    /**
     * Whether this machine is recorded in the state service. Only then may it get tasks, as a later leader then waits
     * for its heartbeat.
     */
    boolean hasRecord;

    HeartbeatNumber lastHeartbeat = HeartbeatNumber.NONE;
    /** When the machine's last answered heartbeat arrived; its lease ends at most the lease bound later. */
    Moment lastAnsweredAt;
    /**
     * Whether the machine's lease has expired since: its tasks have ended, and if the machine is alive it continues
     * with a new incarnation.
     */
    boolean leaseExpired;
    /** Whether the machine's task list was reconciled with a heartbeat that carries the current token. */
    boolean reconciled;
    /** When the cloud will preempt this machine, or null if no preemption is announced. */
    Moment preemptionAt;

    Moment idleSince;
    String queueName;
    final ImageCache imageCache;
    /** This machine's membership in a warm pool, or null. */
    PoolMembership poolMembership;

    final Set<JobId> failedJobs = new HashSet<>();
    boolean quarantined;
    final AsymmetricPartitionDetector partitionDetector = new AsymmetricPartitionDetector();
    /** Whether this machine exceeds the demand at its price; it gets no new tasks for now. */
    boolean surplus;
    /**
     * The queue for which this machine is cordoned, or null if it is not cordoned. A cordoned machine gets no new tasks
     * while the other machines of the queue have room for all waiting tasks.
     */
    FairShareQueue cordonedFor;
    /** Whether this machine's tasks are being moved to other machines. */
    boolean draining;
    /** Number of the machine's tasks of ended jobs, which have no placement but still count against their teams. */
    int orphanTasks;
    /** When this machine is known to have existed. If a listing of a later moment lacks it, it no longer exists. */
    Moment knownToExistAt;
    /** Number of consecutive listings in which this machine was missing. */
    int missedListings;

    Moment returningSince;
    private final MachinePlacements placements = new MachinePlacements();

    Machine(MachineId id, MachinePool pool, MachineType type, Moment knownToExistAt) {
        this.id = id;
        this.pool = pool;
        this.type = type;
        this.rentedAt = knownToExistAt;
        this.lastAnsweredAt = knownToExistAt;
        this.idleSince = knownToExistAt;
        this.knownToExistAt = knownToExistAt;
        this.imageCache = new ImageCache(type.imageCacheGb());
    }

    public MachineId id() {
        return id;
    }

    public MachinePool pool() {
        return pool;
    }

    public Phase phase() {
        return phase;
    }

    public Moment rentedAt() {
        return rentedAt;
    }

    public Moment knownToExistAt() {
        return knownToExistAt;
    }

    public boolean isRecorded() {
        return hasRecord;
    }

    public int taskCount() {
        return placements.count();
    }

    private void transition(Phase newPhase, Phase... allowedFrom) {
        for (Phase from : allowedFrom) {
            if (phase == from) {
                phase = newPhase;
                return;
            }
        }
        throw new IllegalStateException("machine " + id + " cannot become " + newPhase + " while it is " + phase);
    }

    /** Handles this machine's first heartbeat, or the first one after its lease expired. */
    void markUp(Moment now) {
        transition(Phase.UP, Phase.BOOTING, Phase.LOST);
        idleSince = now;
    }

    /** Marks this machine as lost, as its lease expired without a heartbeat. */
    void markLost() {
        transition(Phase.LOST, Phase.BOOTING, Phase.UP);
    }

    /** Starts returning this machine to the cloud; it is never used again. */
    void beginReturn(Moment now) {
        transition(Phase.RETURNING, Phase.BOOTING, Phase.UP, Phase.LOST);
        returningSince = now;
    }

    /** Marks this machine as recorded by an earlier leader, which may have renewed its lease until {@code now}. */
    void markInherited(Moment existedAt, Moment now) {
        hasRecord = true;
        lastAnsweredAt = now;
        knownToExistAt = existedAt;
    }

    /** Applies a heartbeat that was answered, which renewed the lease, before the records were loaded. */
    void applyAnswerBeforeLoading(HeartbeatNumber number, Moment answeredAt) {
        lastAnsweredAt = answeredAt;
        lastHeartbeat = number;
    }

    /** Marks this machine as recorded in the state service. */
    void markRecorded() {
        hasRecord = true;
    }

    void setLastHeartbeat(HeartbeatNumber number) {
        lastHeartbeat = number;
    }

    /** Renews this machine's lease, as one of its heartbeats is answered now. */
    void renewLease(Moment now) {
        lastAnsweredAt = now;
        leaseExpired = false;
    }

    /** Marks this machine's lease as expired. */
    void expireLease() {
        leaseExpired = true;
    }

    /** Handles the adoption of this machine from the cloud's listing: its lease may have been renewed up to now. */
    void markAdopted(Moment now) {
        lastAnsweredAt = now;
    }

    /** Marks this machine's task list as reconciled with a heartbeat that carries the current fencing token. */
    void markReconciled() {
        reconciled = true;
    }

    /** Sets when the cloud will preempt this machine, as its last heartbeat reported; null if not announced. */
    void setPreemptionAt(Moment at) {
        preemptionAt = at;
    }

    /** Copies what is known about the same machine under a wrong pool. */
    void copyHistoryFrom(Machine other) {
        lastAnsweredAt = other.lastAnsweredAt;
        knownToExistAt = other.knownToExistAt;
    }

    /** Handles the cloud's confirmation of the rental that was requested at {@code requestedAt}. */
    void confirmRental(Moment requestedAt) {
        rentedAt = requestedAt;
    }

    void setKnownToExistAt(Moment moment) {
        knownToExistAt = moment;
    }

    /** Handles a listing that contains this machine. */
    void resetMissedListings() {
        missedListings = 0;
    }

    /** Handles a listing that should contain this machine but does not. */
    void countMissedListing() {
        missedListings++;
    }

    void markIdle(Moment now) {
        idleSince = now;
    }

    void setOrphanTasks(int count) {
        orphanTasks = count;
    }

    /** Quarantines this machine because tasks fail on it: it gets no new tasks and is returned once it is idle. */
    void quarantine() {
        quarantined = true;
    }

    /** Assigns this machine to a queue. */
    void assignTo(FairShareQueue queue) {
        queueName = queue.name;
    }

    /** Sets whether this machine exceeds the demand at its price. */
    void setSurplus(boolean isSurplus) {
        surplus = isSurplus;
    }

    /** Cordons this machine: it gets no tasks while the queue's other machines have room for all waiting tasks. */
    void cordonFor(FairShareQueue queue) {
        cordonedFor = queue;
    }

    void uncordon() {
        cordonedFor = null;
    }

    /** Starts moving this machine's tasks to other machines. */
    void beginDraining() {
        draining = true;
    }

    /** Ends draining once no task is being stopped any more. */
    void endDrainingIfNoneStopping() {
        draining &= placements.isAnyStopping();
    }

    Resources freeResources() {
        return type.capacity().minus(placements.used());
    }

    /**
     * The resources available to a job. A holder gives up its resources to a task that needs its image: one answer
     * stops the holder and then starts the task, so that the worker never runs both. A holder that still waits for the
     * image stays, because the fetch would be abandoned without it, and no replica can run before the fetch is done.
     */
    Resources freeResourcesFor(JobSpec spec) {
        Placement holder = poolMembership == null || !poolMembership.image().equals(spec.image()) ? null : holder();
        return holder == null || !holder.isRunning()
                ? freeResources()
                : freeResources().plus(holder.demand());
    }

    Resources usedResources() {
        return placements.used();
    }

    Map<TaskId, Placement> placements() {
        return placements.byTask();
    }

    List<Placement> placementsCopy() {
        return placements.copy();
    }

    void addPlacement(Placement placement) {
        placements.add(placement);
    }

    void removePlacement(Placement placement) {
        placements.remove(placement);
    }

    /** Whether no task except holders is placed on this machine. */
    public boolean isIdle() {
        return placements.isIdle();
    }

    public MachineType type() {
        return type;
    }

    public ImageCache imageCache() {
        return imageCache;
    }

    public PoolMembership poolMembership() {
        return poolMembership;
    }

    /** Sets this machine's membership in a warm pool; null ends the membership. */
    public void poolMembership(PoolMembership membership) {
        poolMembership = membership;
        surplus &= membership == null;
    }

    /** The incarnation of this machine's last heartbeat; 0 before its first heartbeat to this leader. */
    public long incarnation() {
        return lastHeartbeat.incarnation();
    }

    /** Whether this machine is booting or up, and not about to be preempted, quarantined or partitioned. */
    public boolean isExpectedToServe() {
        return (phase == Phase.BOOTING || phase == Phase.UP)
                && preemptionAt == null
                && !quarantined
                && !partitionDetector.isConfirmed();
    }

    /** Whether a holder, a task that only keeps an image cached, is placed on this machine. */
    public boolean hasHolder() {
        return placements.hasHolder();
    }

    /** Cores used by each team's tasks; holders use almost none. */
    public Map<String, Double> coresByTeam() {
        return placements.coresByTeam();
    }

    /** The holder on this machine that is not being stopped, or null. */
    Placement holder() {
        return placements.holder().orElse(null);
    }

    /** The job of the holder on this machine, or null. */
    public Job holderJob() {
        Placement holder = holder();
        return holder == null ? null : holder.job;
    }

    boolean hasTaskWithImage(String image) {
        return placements.hasTaskWithImage(image);
    }

    /** Whether this machine is up, and not about to be preempted, quarantined or partitioned. */
    boolean isHealthy() {
        return phase == Phase.UP && preemptionAt == null && !quarantined && !partitionDetector.isConfirmed();
    }

    /** Whether this machine must be recorded before it gets tasks: it is up, but a later leader would not know it. */
    boolean needsRecord() {
        return !hasRecord && phase == Phase.UP;
    }

    /** Whether this machine can get new tasks: it is healthy, and a later leader will know it. */
    public boolean isUsable() {
        return hasRecord && isHealthy();
    }

    /**
     * Whether this machine is being returned because answers do not reach it. No answer may renew its lease, so that
     * its tasks end when the lease expires.
     */
    boolean isReturnedAsUnreachable() {
        return phase == Phase.RETURNING && partitionDetector.isConfirmed();
    }

    /** Whether this machine is booting, and was requested less than {@code bootTimes} of its type's boot times ago. */
    boolean isBooting(Moment now, double bootTimes) {
        return phase == Phase.BOOTING
                && now.isBefore(rentedAt.plus(type.bootTime().times(bootTimes)));
    }

    /** Whether the job may use this machine, considering its type, zone, price kind and warm pool membership. */
    boolean allows(JobSpec spec) {
        return matchesPool(spec)
                && (poolMembership == null || poolMembership.admits(spec, imageCache, freeResources()));
    }

    /** Whether the job may use this machine's type, zone and price kind. */
    boolean matchesPool(JobSpec spec) {
        return spec.allowsType(pool.type()) && spec.allowsZone(pool.zone()) && spec.allowsPurchaseType(pool.spot());
    }
}
