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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader knows it. */
public final class Machine {
    /** BOOTING: no report yet. LOST: its lease ran out unanswered. LEAVING: being returned, never used again. */
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
    /** When it was asked for: its paid terms count from here. */
    Moment rentedAt;
    /** Known in the state service; only then may it get tasks, so that a later leader knows to wait for its report. */
    boolean recorded;

    HeartbeatNumber lastHeartbeat = HeartbeatNumber.NONE;
    /** When its last answered report came; its lease cannot outlast this by more than the lease bound. */
    Moment lastHeardAt;
    /** Its lease has surely run out since: what it ran is over, and it reports under another session if it lives. */
    boolean leaseExpired;
    /** Its task list has been taken from a report under the present token. */
    boolean reconciled;
    /** When the cloud is to take it away, or null. */
    Moment preemptionAt;

    Moment idleSince;
    String queueName;
    final ImageCache imageCache;
    /** Its place in a warm pool, or null. */
    PoolMembership poolMembership;

    final Set<JobId> failedJobs = new HashSet<>();
    boolean quarantined;
    final AsymmetricPartition partition = new AsymmetricPartition();
    /** More than is needed at its price: it gets no new tasks for now. */
    boolean surplus;
    /** It takes no new tasks while the other machines of this share have room for all that waits; or null. */
    FairShareQueue cordonedFor;
    /** Its tasks are to be moved to others. */
    boolean draining;
    /** Tasks on it of jobs that are over, about which nothing else is known: they still count against their teams. */
    int orphanTasks;
    /** It surely existed at this moment: a list that describes a later one and lacks it shows that it is gone. */
    Moment knownToExistAt;
    /** In how many lists in a row it was missing. */
    int missedListings;

    Moment returningSince;
    private final Map<TaskId, Placement> placements = new HashMap<>();
    private int holders;
    private Demand used = Demand.NOTHING;

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
        return placements.size();
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

    /** It was found in the cloud's list: its lease may have been renewed up to now. */
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
    void takeHistoryOf(Machine other) {
        lastHeardAt = other.lastHeardAt;
        knownToExistAt = other.knownToExistAt;
    }

    /** The cloud has confirmed the rental that was requested at {@code asked}. */
    void rentalConfirmed(Moment asked) {
        rentedAt = asked;
    }

    void existsAt(Moment moment) {
        knownToExistAt = moment;
    }

    /** The cloud's list has it. */
    void listed() {
        missedListings = 0;
    }

    /** A list that should have it lacks it. */
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

    /** Draining lasts until the tasks that were told to save have left. */
    void endDrainingIfStopped() {
        draining &= placements.values().stream().anyMatch(placement -> placement.stopping);
    }

    Demand free() {
        return type.capacity().minus(used);
    }

    /**
     * What a job finds free. A holder gives way to what needs its image: stopped and started by one answer, in this order, so
     * that the worker never has both. One that still waits for the image stays: without it the fetch would be given up,
     * and no replica could run before it is done.
     */
    Demand freeFor(JobSpec spec) {
        Placement sits = poolMembership == null || !poolMembership.image().equals(spec.image()) ? null : holder();
        return sits == null || !sits.isRunning() ? free() : free().plus(sits.demand());
    }

    Demand used() {
        return used;
    }

    Map<TaskId, Placement> placements() {
        return placements;
    }

    List<Placement> placementsCopy() {
        return new ArrayList<>(placements.values());
    }

    void addPlacement(Placement placement) {
        placements.put(placement.task(), placement);
        holders += placement.job.spec.isHolder() ? 1 : 0;
        used = used.plus(placement.demand());
    }

    void removePlacement(Placement placement) {
        if (placements.remove(placement.task(), placement)) {
            holders -= placement.job.spec.isHolder() ? 1 : 0;
            used = placements.isEmpty() ? Demand.NOTHING : used.minus(placement.demand());
        }
    }

    /** Nothing works on it; holders do not work. */
    public boolean isIdle() {
        return placements.size() == holders;
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

    /** Whoever keeps machines takes it, or with null lets it go. */
    public void poolMembership(PoolMembership place) {
        poolMembership = place;
        surplus &= place == null;
    }

    /** The session of its last report; 0 before the first to this leader. */
    public long incarnation() {
        return lastHeartbeat.incarnation();
    }

    /** Rented and not to be given up: booting, up, or silent for less than its lease. */
    public boolean isExpectedToServe() {
        return (phase == Phase.BOOTING || phase == Phase.UP)
                && preemptionAt == null
                && !quarantined
                && !partition.isConfirmed();
    }

    /** Whether a task sits here only to keep an image. */
    public boolean hasHolder() {
        return holders > 0;
    }

    /** Cores that each team's tasks take; holders take none to speak of. */
    public Map<String, Double> coresByTeam() {
        Map<String, Double> cores = new HashMap<>();
        for (Placement placement : placements.values()) {
            if (!placement.job.spec.isHolder()) {
                cores.merge(placement.job.spec.team(), placement.demand().cores(), Double::sum);
            }
        }
        return cores;
    }

    /** The holder that sits here and is not told to go; or null. */
    Placement holder() {
        for (Placement placement : holders == 0 ? List.<Placement>of() : placements.values()) {
            if (placement.job.spec.isHolder() && !placement.stopping) {
                return placement;
            }
        }
        return null;
    }

    /** The job of the holder that sits here; or null. */
    public Job holderJob() {
        Placement sits = holder();
        return sits == null ? null : sits.job;
    }

    boolean hasTaskWith(String image) {
        for (Placement placement : placements.values()) {
            if (placement.job.spec.image().equals(image)) {
                return true;
            }
        }
        return false;
    }

    /** Up, not about to go, and not out of reach: counted on. */
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

    /** Being returned since it hears nothing: no answer may renew its lease, so that its work is not counted for longer. */
    boolean isReturnedAsUnreachable() {
        return phase == Phase.RETURNING && partition.isConfirmed();
    }

    /** Asked for and not up yet, but not overdue by so many of its type's boot times either. */
    boolean isBooting(Moment now, double bootTimes) {
        return phase == Phase.BOOTING && now.isBefore(rentedAt.plus(type.boot().times(bootTimes)));
    }

    boolean allows(JobSpec spec) {
        return matchesPool(spec) && (poolMembership == null || poolMembership.takes(spec, imageCache, free()));
    }

    /** The same whatever it is kept for. */
    boolean matchesPool(JobSpec spec) {
        return spec.allowsType(pool.type()) && spec.allowsZone(pool.zone()) && spec.allowsKind(pool.spot());
    }
}
