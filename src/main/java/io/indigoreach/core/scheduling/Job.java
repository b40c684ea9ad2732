package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An open job as the leader knows it: which tasks are done, which may be on a machine, which wait. */
public final class Job {
    /** As it was submitted; with its release once it waits for no other job. */
    JobSpec spec;
    /** When it was submitted, on this process's clock. */
    private final Moment submitted;
    /** Since when it could be served: its submission, or the moment when the last job that it needs was done. */
    Moment arrived;
    /** Submission by the time of day: the order in the queue, the same for every leader. */
    final long submittedMs;
    /** It was there before this leader took over: tasks below its bound may be on machines that have not reported yet. */
    final boolean inherited;

    private final BitSet done;
    private final BitSet durable;
    /** Done, on a machine, or withheld: all that nobody is to start. */
    private final BitSet busy;
    /** Tasks that wait for something else than machines: they are not there for whoever starts, reserves or rents. */
    private final BitSet withheld = new BitSet();

    private final Map<Integer, Placement> active = new HashMap<>();
    private final Map<String, Integer> byZone = new HashMap<>();
    private int doneCount;
    private int durableCount;
    /** Recorded: no leader has ever ordered a task from this one on. */
    private int bound;
    /** To be recorded: tasks up to here are about to be ordered. */
    private int boundWanted;
    /** Tasks below may be on a machine that this leader has not heard yet. */
    private int heldBelow;

    Revision stamp;
    boolean cancelled;
    /** Others have to be done before any task of it starts. */
    private boolean waitsForJobs;
    /** What the jobs that need it ask of it; null if none does. */
    JobTarget asked;
    /** Machines on which one of its tasks has failed since one last completed there. */
    final Set<MachineId> failedOn = new HashSet<>();

    int failures;
    Moment retryAt = Moment.NEVER;
    /** Until then its tasks wait for a machine that has their image: they were moved there. */
    Moment leftToHoldersUntil = Moment.NEVER;
    /** When one of its tasks last got a place, or lost one: what waits may have waited no longer. */
    Moment changedAt = Moment.NEVER;
    /** The longest aim of its class is lost to it. */
    boolean late;
    /** Its class is served too little, or it has waited too long: it goes first on a part of the machines. */
    boolean owed;
    /** One of its tasks has run, under this leader or, as far as it knows, an earlier one. */
    private boolean ran;
    /** Nothing of it has run for too long: one task of it goes before all else. */
    boolean toBegin;
    /** It began that way. */
    boolean begunFirst;

    private long observedMs;
    private int observed;

    /**
     * @param done tasks recorded as done
     * @param bound the job's recorded start bound: no task from this one on was ever ordered
     * @param inherited it was there before this leader took over
     */
    public Job(
            JobSpec spec, long submittedMs, Moment arrived, Revision stamp, BitSet done, int bound, boolean inherited) {
        this.spec = spec;
        this.submittedMs = submittedMs;
        this.submitted = arrived;
        this.arrived = arrived.plus(releasedAfter(spec, submittedMs));
        this.stamp = stamp;
        this.inherited = inherited;
        this.done = (BitSet) done.clone();
        this.durable = (BitSet) done.clone();
        this.busy = (BitSet) done.clone();
        if (spec.isGuarded()) {
            withheld.set(0, spec.tasks());
            busy.or(withheld);
        }
        this.doneCount = done.cardinality();
        this.ran = doneCount > 0;
        this.durableCount = doneCount;
        // A task that is done was started, and so the job was released.
        this.waitsForJobs = spec.chain().isWaiting() && !ran;
        this.bound = bound;
        this.boundWanted = bound;
        // Where the others of its tasks are decides where one may go, so nothing of it is started before all is known.
        boolean together = spec.oneZone() || spec.spread();
        this.heldBelow = !inherited ? 0 : together && bound > 0 ? spec.tasks() : bound;
    }

    /** From its submission to the release that its record tells of. */
    private static Span releasedAfter(JobSpec spec, long submittedMs) {
        // By the clocks of two nodes, which may differ by more than that.
        return spec.chain().isReleased() ? new Span(Math.max(0, spec.chain().releasedMs() - submittedMs)) : Span.ZERO;
    }

    /** Jobs that it needs are not known to be done: it is in no queue, and nothing of it may start. */
    boolean waitsForJobs() {
        return waitsForJobs;
    }

    /** All that it needs is done: its times count from now, and its next record says so. */
    void releaseFromNeeds(Moment now, long timeOfDayMs) {
        waitsForJobs = false;
        arrived = now;
        spec = spec.with(spec.chain().released(timeOfDayMs));
    }

    /** Its priority: its own, or the higher one of a job that needs it. */
    Urgency urgency() {
        return asked == null ? spec.urgency() : ownTarget().and(asked).urgency();
    }

    /** By when it should be done, for its own deadline or that of a job that needs it; null if nothing says so. */
    Moment dueAt() {
        return asked == null ? ownDueAt() : ownTarget().and(asked).due();
    }

    /** By when it should be done for its own deadline, which counts from its submission; null if it has none. */
    Moment ownDueAt() {
        return spec.due() == null ? null : submitted.plus(spec.due());
    }

    /** What its own user asks of it. */
    JobTarget ownTarget() {
        return new JobTarget(spec.urgency(), ownDueAt());
    }

    /** The start bound to be written with the job: at least the one that is recorded. */
    public int boundToWrite() {
        return boundWanted;
    }

    /** Tasks wait to be ordered until the start bound is raised. */
    public boolean wantsBound() {
        return boundWanted > bound;
    }

    /** The start bound is in the state service: tasks below it may be ordered. */
    public void boundRecorded(int recorded) {
        bound = Math.max(bound, recorded);
    }

    /** Asks for {@code n} waiting tasks to be orderable. */
    void wantOrderable(int n) {
        boundWanted = Math.max(boundWanted, Math.min(spec.tasks(), nthStartable(n) + 1));
    }

    /** The number of the {@code n}-th task that waits and surely is on no machine; beyond the last if there are fewer. */
    private int nthStartable(int n) {
        int index = heldBelow - 1;
        for (int left = n; left > 0 && index < spec.tasks(); left--) {
            index = busy.nextClearBit(index + 1);
        }
        return index;
    }

    /** These tasks wait for something else than machines, and no others; what is on a machine stays there. */
    void withhold(BitSet tasks) {
        withheld.clear();
        withheld.or(tasks);
        busy.clear();
        busy.or(done);
        busy.or(withheld);
        active.keySet().forEach(busy::set);
    }

    /** Tasks that are neither done nor on a machine wait for something else than machines. */
    boolean hasWithheld() {
        BitSet left = (BitSet) withheld.clone();
        left.andNot(done);
        active.keySet().forEach(left::clear);
        return !cancelled && !left.isEmpty();
    }

    /** Every task that an earlier leader may have started is known. */
    void release() {
        heldBelow = 0;
    }

    public JobId id() {
        return spec.id();
    }

    public JobSpec spec() {
        return spec;
    }

    public Revision stamp() {
        return stamp;
    }

    public long submittedMs() {
        return submittedMs;
    }

    /** Failures of its tasks that this leader has seen. */
    public int failures() {
        return failures;
    }

    public boolean isCancelled() {
        return cancelled;
    }

    public int doneCount() {
        return doneCount;
    }

    public boolean isDone(int index) {
        return done.get(index);
    }

    boolean isDurable(int index) {
        return durable.get(index);
    }

    /** Every task has completed; a service never does. */
    public boolean isComplete() {
        return doneCount == spec.tasks() && spec.shape() == JobKind.ARRAY;
    }

    public boolean hasUnrecorded() {
        return doneCount > durableCount;
    }

    /** Tasks that have completed without being recorded yet. */
    public BitSet unrecorded() {
        BitSet out = doneTasks();
        out.andNot(durable);
        return out;
    }

    public BitSet doneTasks() {
        return (BitSet) done.clone();
    }

    /** The tasks in {@code recorded} are in the state service. */
    public void recorded(BitSet recorded) {
        durable.or(recorded);
        durableCount = durable.cardinality();
    }

    /** There before this leader took over. */
    public boolean isInherited() {
        return inherited;
    }

    public int running() {
        int n = 0;
        for (Placement p : active.values()) {
            n += p.isRunning() ? 1 : 0;
        }
        return n;
    }

    public JobStatus status() {
        if (cancelled) {
            return JobStatus.CANCELLED;
        }
        if (isComplete()) {
            return JobStatus.DONE;
        }
        for (Placement p : active.values()) {
            if (p.isRunning()) {
                return JobStatus.RUNNING;
            }
        }
        return JobStatus.PENDING;
    }

    /** Nothing of it may start. */
    private boolean isHeld() {
        return cancelled || waitsForJobs;
    }

    int waiting() {
        return isHeld() ? 0 : spec.tasks() - busy.cardinality();
    }

    boolean hasWaiting() {
        return !isHeld() && busy.nextClearBit(0) < spec.tasks();
    }

    /** Waiting tasks that surely are on no machine. */
    int startable() {
        int taken = heldBelow == 0
                ? busy.cardinality()
                : heldBelow + busy.get(heldBelow, spec.tasks()).cardinality();
        return isHeld() ? 0 : spec.tasks() - taken;
    }

    boolean hasStartable() {
        return !isHeld() && nextStartable() < spec.tasks();
    }

    int nextStartable() {
        return busy.nextClearBit(heldBelow);
    }

    /** Whether {@code n} waiting tasks lie below the start bound that is recorded or being recorded. */
    boolean hasOrderable(int n) {
        return nthStartable(n) < boundWanted;
    }

    /** Whether its next task lies below the recorded start bound. */
    boolean hasOrderable() {
        return !isHeld() && nextStartable() < bound;
    }

    Collection<Placement> active() {
        return active.values();
    }

    List<Placement> activeCopy() {
        return new ArrayList<>(active.values());
    }

    /** A task of it runs, has run, or is on its way to a machine. */
    boolean hasBegun() {
        return ran || !active.isEmpty();
    }

    /** Put first with one task, it has had its turn until the queue is ordered anew. */
    boolean hadItsTurn() {
        return toBegin && hasBegun();
    }

    /** One of its tasks was seen to run. */
    void ran() {
        ran = true;
    }

    Placement active(int index) {
        return active.get(index);
    }

    int activeIn(String zone) {
        return byZone.getOrDefault(zone, 0);
    }

    /** The zone that a one-zone job is bound to by tasks that may be on machines, or null. */
    String boundZone() {
        for (Map.Entry<String, Integer> e : byZone.entrySet()) {
            if (e.getValue() > 0) {
                return e.getKey();
            }
        }
        return null;
    }

    void place(Placement p) {
        active.put(p.index, p);
        busy.set(p.index);
        byZone.merge(p.machine.pool.zone(), 1, Integer::sum);
    }

    void remove(Placement p) {
        if (active.remove(p.index, p)) {
            byZone.merge(p.machine.pool.zone(), -1, Integer::sum);
            if (!done.get(p.index)) {
                busy.set(p.index, withheld.get(p.index));
            }
        }
    }

    /** Returns false if the task was known to be done already. */
    boolean complete(int index) {
        if (done.get(index)) {
            return false;
        }
        done.set(index);
        busy.set(index);
        ran = true;
        doneCount++;
        return true;
    }

    void observe(Span run) {
        observedMs += Math.max(1, run.ms());
        observed++;
    }

    int observed() {
        return observed;
    }

    Span observedMean() {
        return new Span(observedMs / Math.max(1, observed));
    }

    /** It failed on several machines and never completed a task: most likely submitted with a mistake. */
    boolean isSuspect() {
        return doneCount == 0 && failedOn.size() >= 3;
    }
}
