package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.TaskId;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader knows it. Its state is changed only by its own transitions. */
public final class Machine {
    /** BOOTING: no heartbeat yet. LOST: its lease expired without a heartbeat. RETURNING: being returned, never used again. */
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
    /** When it was requested: its paid terms count from here. */
    Moment rentedAt;
    /** Recorded in the state service; only then may it get tasks, so that a later leader knows to wait for its heartbeat. */
    boolean recorded;

    HeartbeatNumber lastHeartbeat = HeartbeatNumber.NONE;
    /** When its last answered heartbeat arrived; its lease cannot outlast this by more than the lease bound. */
    Moment lastHeardAt;
    /** Its lease has surely expired since: what it ran is over, and if it lives it continues under a new incarnation. */
    boolean leaseExpired;
    /** Its task list has been taken from a heartbeat under the present token. */
    boolean reconciled;
    /** When the cloud is to take it away, or null. */
    Moment preemptionAt;

    Moment idleSince;
    String queueName;
    final ImageCache imageCache;
    /** Its membership of a warm pool, or null. */
    PoolMembership poolMembership;

    final Set<JobId> failedJobs = new HashSet<>();
    boolean quarantined;
    final AsymmetricPartition partition = new AsymmetricPartition();
    /** More than is needed at its price: it gets no new tasks for now. */
    boolean surplus;
    /** It takes no new tasks while the other machines of this queue have room for all that waits; or null. */
    FairShareQueue cordonedFor;
    /** Its tasks are to be moved to others. */
    boolean draining;
    /** Tasks on it of jobs that are over, about which nothing else is known: they still count against their teams. */
    int orphanTasks;
    /** It surely existed at this moment: a listing that describes a later one and lacks it shows that it is gone. */
    Moment knownToExistAt;
    /** In how many listings in a row it was missing. */
    int missedListings;

    Moment returningSince;
    private final MachinePlacements placements = new MachinePlacements();

    Machine(MachineId id, MachinePool pool, MachineType type, Moment knownToExistAt) {
        this.id = id;
        this.pool = pool;
        this.type = type;
        this.rentedAt = knownToExistAt;
        this.lastHeardAt = knownToExistAt;
        this.idleSince = knownToExistAt;
        this.knownToExistAt = knownToExistAt;
        this.imageCache = new ImageCache(type.cacheGb());
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
        return recorded;
    }

    public int taskCount() {
        return placements.count();
    }

    private void transition(Phase to, Phase... allowedFrom) {
        for (Phase from : allowedFrom) {
            if (phase == from) {
                phase = to;
                return;
            }
        }
        throw new IllegalStateException("machine " + id + " cannot become " + to + " while it is " + phase);
    }

    /** Its first heartbeat, or the first after its lease had expired. */
    void becameUp(Moment now) {
        transition(Phase.UP, Phase.BOOTING, Phase.LOST);
        idleSince = now;
    }

    /** Its lease has expired without a heartbeat. */
    void lose() {
        transition(Phase.LOST, Phase.BOOTING, Phase.UP);
    }

    /** It is to be returned to the cloud and never used again. */
    void beginReturn(Moment now) {
        transition(Phase.RETURNING, Phase.BOOTING, Phase.UP, Phase.LOST);
        returningSince = now;
    }

    /** A machine that an earlier leader recorded; no earlier leader leads since {@code now}. */
    void inheritedFromRecord(Moment existed, Moment now) {
        recorded = true;
        lastHeardAt = now;
        knownToExistAt = existed;
    }

    /** A heartbeat of it was answered, which renewed its lease, before the records had been read. */
    void answeredBeforeLoading(HeartbeatNumber number, Moment answeredAt) {
        lastHeardAt = answeredAt;
        lastHeartbeat = number;
    }

    /** The machine stands in the state service. */
    void markRecorded() {
        recorded = true;
    }

    void heartbeatReceived(HeartbeatNumber number) {
        lastHeartbeat = number;
    }

    /** A heartbeat of it is answered now. */
    void renewLease(Moment now) {
        lastHeardAt = now;
        leaseExpired = false;
    }

    /** Its lease has surely expired. */
    void expireLease() {
        leaseExpired = true;
    }

    /** It was found in the cloud's listing: its lease may have been renewed up to now. */
    void adoptedAt(Moment now) {
        lastHeardAt = now;
    }

    /** Its task list was taken from a heartbeat under the present fencing token. */
    void markReconciled() {
        reconciled = true;
    }

    /** When the cloud takes it away, as its last heartbeat says; null if it does not. */
    void preemptionAnnounced(Moment at) {
        preemptionAt = at;
    }

    /** The same machine under its real pool: what was learned of it stays. */
    void copyHistoryOf(Machine other) {
        lastHeardAt = other.lastHeardAt;
        knownToExistAt = other.knownToExistAt;
    }

    /** The cloud has confirmed the rental that was requested at {@code requestedAt}. */
    void rentalConfirmed(Moment requestedAt) {
        rentedAt = requestedAt;
    }

    void existsAt(Moment moment) {
        knownToExistAt = moment;
    }

    /** The cloud's listing has it. */
    void listed() {
        missedListings = 0;
    }

    /** A listing that should have it lacks it. */
    void missingFromListing() {
        missedListings++;
    }

    void becameIdle(Moment now) {
        idleSince = now;
    }

    void countOrphanTasks(int count) {
        orphanTasks = count;
    }

    /** It fails what it is given: no new tasks, and it is returned once it is idle. */
    void quarantine() {
        quarantined = true;
    }

    /** From now on it serves this queue. */
    void serve(FairShareQueue queue) {
        queueName = queue.name;
    }

    /** Whether it is more than is needed at its price. */
    void markSurplus(boolean isSurplus) {
        surplus = isSurplus;
    }

    /** It takes no new tasks while the queue's other machines have room for all that waits. */
    void cordonFor(FairShareQueue queue) {
        cordonedFor = queue;
    }

    void uncordon() {
        cordonedFor = null;
    }

    /** Its tasks are to be moved to other machines. */
    void startDraining() {
        draining = true;
    }

    /** Draining lasts until the tasks that are being stopped have exited. */
    void endDrainingIfStopped() {
        draining &= placements.isAnyStopping();
    }

    Demand free() {
        return type.capacity().minus(placements.used());
    }

    /**
     * The resources available to a job. A holder yields to a task that needs its image: stopped and started by one answer, in
     * this order, so that the worker never has both. One that still waits for the image stays: without it the fetch would be
     * abandoned, and no replica could run before it is done.
     */
    Demand freeFor(JobSpec spec) {
        Placement holder = poolMembership == null || !poolMembership.image().equals(spec.image()) ? null : holder();
        return holder == null || !holder.isRunning() ? free() : free().plus(holder.demand());
    }

    Demand used() {
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

    /** No task runs on it except holders. */
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

    /** Makes it a member of a warm pool, or with null ends its membership. */
    public void poolMembership(PoolMembership membership) {
        poolMembership = membership;
        surplus &= membership == null;
    }

    /** The incarnation of its last heartbeat; 0 before the first to this leader. */
    public long incarnation() {
        return lastHeartbeat.incarnation();
    }

    /** Rented and to be kept: booting, up, or silent for less than its lease. */
    public boolean isExpectedToServe() {
        return (phase == Phase.BOOTING || phase == Phase.UP)
                && preemptionAt == null
                && !quarantined
                && !partition.isConfirmed();
    }

    /** Whether a task runs on it only to keep an image. */
    public boolean hasHolder() {
        return placements.hasHolder();
    }

    /** Cores that each team's tasks use; holders use next to none. */
    public Map<String, Double> coresByTeam() {
        return placements.coresByTeam();
    }

    /** The holder on it that is not being stopped; or null. */
    Placement holder() {
        return placements.holder().orElse(null);
    }

    /** The job of the holder on it; or null. */
    public Job holderJob() {
        Placement holder = holder();
        return holder == null ? null : holder.job;
    }

    boolean hasTaskWith(String image) {
        return placements.hasTaskWithImage(image);
    }

    /** Up, not about to be preempted, and reachable: counted on. */
    boolean isHealthy() {
        return phase == Phase.UP && preemptionAt == null && !quarantined && !partition.isConfirmed();
    }

    /** Must be recorded before it can get tasks: it is up, and a later leader would not know of it. */
    boolean needsRecord() {
        return !recorded && phase == Phase.UP;
    }

    /** Takes new tasks, as later leaders know of it. */
    public boolean isUsable() {
        return recorded && isHealthy();
    }

    /** Being returned as answers do not reach it: no answer may renew its lease, so that its work is not counted for longer. */
    boolean isReturnedAsUnreachable() {
        return phase == Phase.RETURNING && partition.isConfirmed();
    }

    /** Requested and not up yet, but not overdue by so many of its type's boot times either. */
    boolean isBooting(Moment now, double bootTimes) {
        return phase == Phase.BOOTING && now.isBefore(rentedAt.plus(type.boot().times(bootTimes)));
    }

    /** Whether the job may use it, its pool membership included. */
    boolean allows(JobSpec spec) {
        return matchesPool(spec) && (poolMembership == null || poolMembership.admits(spec, imageCache, free()));
    }

    /** Whether the job may use its type, zone and price kind. */
    boolean matchesPool(JobSpec spec) {
        return spec.allowsType(pool.type()) && spec.allowsZone(pool.zone()) && spec.allowsKind(pool.spot());
    }
}
