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
        LEAVING
    }

    final MachineId id;
    final MachinePool pool;
    final MachineType type;
    Phase phase = Phase.BOOTING;
    /** When it was asked for: its paid terms count from here. */
    Moment rented;
    /** Known in the state service; only then may it get tasks, so that a later leader knows to wait for its report. */
    boolean recorded;

    HeartbeatNumber last = HeartbeatNumber.NONE;
    /** When its last answered report came; its lease cannot outlast this by more than the lease bound. */
    Moment heard;
    /** Its lease has surely run out since: what it ran is over, and it reports under another session if it lives. */
    boolean expired;
    /** Its task list has been taken from a report under the present token. */
    boolean accounted;
    /** When the cloud is to take it away, or null. */
    Moment notice;

    Moment idleSince;
    String share;
    final ImageCache images;
    /** Its place in a warm pool, or null. */
    PoolMembership seat;

    final Set<JobId> failedJobs = new HashSet<>();
    boolean condemned;
    final AsymmetricPartition oneWay = new AsymmetricPartition();
    /** More than is needed at its price: it gets no new tasks for now. */
    boolean spare;
    /** It takes no new tasks while the other machines of this share have room for all that waits; or null. */
    FairShareQueue aside;
    /** Its tasks are to be moved to others. */
    boolean emptying;
    /** Tasks on it of jobs that are over, about which nothing else is known: they still count against their teams. */
    int strangers;
    /** It surely existed at this moment: a list that describes a later one and lacks it shows that it is gone. */
    Moment existed;
    /** In how many lists in a row it was missing. */
    int missing;

    Moment leavingSince;
    private final Map<TaskId, Placement> tasks = new HashMap<>();
    private int holders;
    private Demand used = Demand.NOTHING;

    Machine(MachineId id, MachinePool pool, MachineType type, Moment rented) {
        this.id = id;
        this.pool = pool;
        this.type = type;
        this.rented = rented;
        this.heard = rented;
        this.idleSince = rented;
        this.existed = rented;
        this.images = new ImageCache(type.cacheGb());
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

    public Moment rented() {
        return rented;
    }

    public Moment existed() {
        return existed;
    }

    public boolean isRecorded() {
        return recorded;
    }

    public int taskCount() {
        return tasks.size();
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
        Placement sits = seat == null || !seat.image().equals(spec.image()) ? null : holder();
        return sits == null || !sits.isRunning() ? free() : free().plus(sits.demand());
    }

    Demand used() {
        return used;
    }

    Map<TaskId, Placement> tasks() {
        return tasks;
    }

    List<Placement> tasksCopy() {
        return new ArrayList<>(tasks.values());
    }

    void put(Placement p) {
        tasks.put(p.task(), p);
        holders += p.job.spec.isHolder() ? 1 : 0;
        used = used.plus(p.demand());
    }

    void remove(Placement p) {
        if (tasks.remove(p.task(), p)) {
            holders -= p.job.spec.isHolder() ? 1 : 0;
            used = tasks.isEmpty() ? Demand.NOTHING : used.minus(p.demand());
        }
    }

    /** Nothing works on it; holders do not work. */
    public boolean isIdle() {
        return tasks.size() == holders;
    }

    public MachineType type() {
        return type;
    }

    public ImageCache images() {
        return images;
    }

    public PoolMembership seat() {
        return seat;
    }

    /** Whoever keeps machines takes it, or with null lets it go. */
    public void seat(PoolMembership place) {
        seat = place;
        spare &= place == null;
    }

    /** The session of its last report; 0 before the first to this leader. */
    public long session() {
        return last.session();
    }

    /** Rented and not to be given up: booting, up, or silent for less than its lease. */
    public boolean isCountedOn() {
        return (phase == Phase.BOOTING || phase == Phase.UP) && notice == null && !condemned && !oneWay.isTold();
    }

    /** Whether a task sits here only to keep an image. */
    public boolean hasHolder() {
        return holders > 0;
    }

    /** Cores that each team's tasks take; holders take none to speak of. */
    public Map<String, Double> coresByTeam() {
        Map<String, Double> cores = new HashMap<>();
        for (Placement p : tasks.values()) {
            if (!p.job.spec.isHolder()) {
                cores.merge(p.job.spec.team(), p.demand().cores(), Double::sum);
            }
        }
        return cores;
    }

    /** The holder that sits here and is not told to go; or null. */
    Placement holder() {
        for (Placement p : holders == 0 ? List.<Placement>of() : tasks.values()) {
            if (p.job.spec.isHolder() && !p.stopping) {
                return p;
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
        for (Placement p : tasks.values()) {
            if (p.job.spec.image().equals(image)) {
                return true;
            }
        }
        return false;
    }

    /** Up, not about to go, and not out of reach: counted on. */
    boolean isSound() {
        return phase == Phase.UP && notice == null && !condemned && !oneWay.isTold();
    }

    /** Takes new tasks, as later leaders know of it. */
    public boolean isUsable() {
        return recorded && isSound();
    }

    /** Being returned since it hears nothing: no answer may renew its lease, so that its work is not counted for longer. */
    boolean isGivenUp() {
        return phase == Phase.LEAVING && oneWay.isTold();
    }

    /** Asked for and not up yet, but not overdue by so many of its type's boot times either. */
    boolean isComing(Moment now, double bootTimes) {
        return phase == Phase.BOOTING && now.isBefore(rented.plus(type.boot().times(bootTimes)));
    }

    boolean allows(JobSpec spec) {
        return isOfKind(spec) && (seat == null || seat.takes(spec, images, free()));
    }

    /** The same whatever it is kept for. */
    boolean isOfKind(JobSpec spec) {
        return spec.allowsType(pool.type()) && spec.allowsZone(pool.zone()) && spec.allowsKind(pool.spot());
    }
}
