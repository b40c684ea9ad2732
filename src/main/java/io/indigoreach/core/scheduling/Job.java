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
    Moment eligibleSince;
    /** Submission by the time of day: the order in the queue, the same for every leader. */
    final long submittedMs;
    /** It was there before this leader took over: tasks below its bound may be on machines that have not reported yet. */
    final boolean inherited;

    private final BitSet done;
    private final BitSet durable;
    /** Done, on a machine, or withheld: all that nobody is to start. */
    private final BitSet notStartable;
    /** Tasks that wait for something else than machines: they are not there for whoever starts, reserves or rents. */
    private final BitSet gated = new BitSet();

    private final Map<Integer, Placement> placements = new HashMap<>();
    private final Map<String, Integer> placementsByZone = new HashMap<>();
    private int doneCount;
    private int durableCount;
    /** Recorded: no leader has ever ordered a task from this one on. */
    private int startBound;
    /** To be recorded: tasks up to here are about to be ordered. */
    private int requestedStartBound;
    /** Tasks below may be on a machine that this leader has not heard yet. */
    private int possiblyRunningBelow;

    Revision revision;
    boolean cancelled;
    /** Others have to be done before any task of it starts. */
    private boolean hasUnmetDependencies;
    /** What the jobs that need it ask of it; null if none does. */
    JobTarget dependentsTarget;
    /** Machines on which one of its tasks has failed since one last completed there. */
    final Set<MachineId> failedMachines = new HashSet<>();

    int failures;
    Moment retryNotBefore = Moment.NEVER;
    /** Until then its tasks wait for a machine that has their image: they were moved there. */
    Moment imageLocalityUntil = Moment.NEVER;
    /** When one of its tasks last got a place, or lost one: what waits may have waited no longer. */
    Moment placementsChangedAt = Moment.NEVER;
    /** The longest aim of its class is lost to it. */
    boolean missedObjectives;
    /** Its class is served too little, or it has waited too long: it goes first on a part of the machines. */
    boolean underServed;
    /** One of its tasks has run, under this leader or, as far as it knows, an earlier one. */
    private boolean hasRun;
    /** Nothing of it has run for too long: one task of it goes before all else. */
    boolean starved;
    /** It began that way. */
    boolean startedAsStarved;

    private long observedMs;
    private int observedRuns;

    /**
     * @param done tasks recorded as done
     * @param startBound the job's recorded start bound: no task from this one on was ever ordered
     * @param inherited it was there before this leader took over
     */
    public Job(
            JobSpec spec,
            long submittedMs,
            Moment submitted,
            Revision revision,
            BitSet done,
            int startBound,
            boolean inherited) {
        this.spec = spec;
        this.submittedMs = submittedMs;
        this.submitted = submitted;
        this.eligibleSince = submitted.plus(releasedAfter(spec, submittedMs));
        this.revision = revision;
        this.inherited = inherited;
        this.done = (BitSet) done.clone();
        this.durable = (BitSet) done.clone();
        this.notStartable = (BitSet) done.clone();
        if (spec.isGuarded()) {
            gated.set(0, spec.tasks());
            notStartable.or(gated);
        }
        this.doneCount = done.cardinality();
        this.hasRun = doneCount > 0;
        this.durableCount = doneCount;
        // A task that is done was started, and so the job was released.
        this.hasUnmetDependencies = spec.dependencies().isWaiting() && !hasRun;
        this.startBound = startBound;
        this.requestedStartBound = startBound;
        // Where the others of its tasks are decides where one may go, so nothing of it is started before all is known.
        boolean together = spec.oneZone() || spec.spread();
        this.possiblyRunningBelow = !inherited ? 0 : together && startBound > 0 ? spec.tasks() : startBound;
    }

    /** From its submission to the release that its record tells of. */
    private static Span releasedAfter(JobSpec spec, long submittedMs) {
        // By the clocks of two nodes, which may differ by more than that.
        return spec.dependencies().isReleased()
                ? new Span(Math.max(0, spec.dependencies().releasedAtMs() - submittedMs))
                : Span.ZERO;
    }

    /** Jobs that it needs are not known to be done: it is in no queue, and nothing of it may start. */
    boolean hasUnmetDependencies() {
        return hasUnmetDependencies;
    }

    /** All that it needs is done: its times count from now, and its next record says so. */
    void releaseFromDependencies(Moment now, long timeOfDayMs) {
        hasUnmetDependencies = false;
        eligibleSince = now;
        spec = spec.with(spec.dependencies().released(timeOfDayMs));
    }

    /** Its priority: its own, or the higher one of a job that needs it. */
    Urgency urgency() {
        return dependentsTarget == null
                ? spec.urgency()
                : ownTarget().strictest(dependentsTarget).urgency();
    }

    /** By when it should be done, for its own deadline or that of a job that needs it; null if nothing says so. */
    Moment dueAt() {
        return dependentsTarget == null
                ? ownDueAt()
                : ownTarget().strictest(dependentsTarget).due();
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
    public int startBoundToWrite() {
        return requestedStartBound;
    }

    /** Tasks wait to be ordered until the start bound is raised. */
    public boolean needsHigherStartBound() {
        return requestedStartBound > startBound;
    }

    /** The start bound is in the state service: tasks below it may be ordered. */
    public void startBoundRecorded(int recorded) {
        startBound = Math.max(startBound, recorded);
    }

    /** Asks for {@code n} waiting tasks to be orderable. */
    void requestStartBoundFor(int n) {
        requestedStartBound = Math.max(requestedStartBound, Math.min(spec.tasks(), nthStartable(n) + 1));
    }

    /** The number of the {@code n}-th task that waits and surely is on no machine; beyond the last if there are fewer. */
    private int nthStartable(int n) {
        int index = possiblyRunningBelow - 1;
        for (int left = n; left > 0 && index < spec.tasks(); left--) {
            index = notStartable.nextClearBit(index + 1);
        }
        return index;
    }

    /** These tasks wait for something else than machines, and no others; what is on a machine stays there. */
    void gate(BitSet tasks) {
        gated.clear();
        gated.or(tasks);
        notStartable.clear();
        notStartable.or(done);
        notStartable.or(gated);
        placements.keySet().forEach(notStartable::set);
    }

    /** Tasks that are neither done nor on a machine wait for something else than machines. */
    boolean hasGatedTasks() {
        BitSet left = (BitSet) gated.clone();
        left.andNot(done);
        placements.keySet().forEach(left::clear);
        return !cancelled && !left.isEmpty();
    }

    /** Every task that an earlier leader may have started is known. */
    void releaseInheritedTasks() {
        possiblyRunningBelow = 0;
    }

    public JobId id() {
        return spec.id();
    }

    public JobSpec spec() {
        return spec;
    }

    public Revision revision() {
        return revision;
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
        return doneCount == spec.tasks() && spec.kind() == JobKind.ARRAY;
    }

    public boolean hasUnrecordedCompletions() {
        return doneCount > durableCount;
    }

    /** Tasks that have completed without being recorded yet. */
    public BitSet unrecordedCompletions() {
        BitSet out = completedTasks();
        out.andNot(durable);
        return out;
    }

    public BitSet completedTasks() {
        return (BitSet) done.clone();
    }

    /** The tasks in {@code recorded} are in the state service. */
    public void completionsRecorded(BitSet recorded) {
        durable.or(recorded);
        durableCount = durable.cardinality();
    }

    /** There before this leader took over. */
    public boolean isInherited() {
        return inherited;
    }

    public int runningCount() {
        int n = 0;
        for (Placement placement : placements.values()) {
            n += placement.isRunning() ? 1 : 0;
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
        for (Placement placement : placements.values()) {
            if (placement.isRunning()) {
                return JobStatus.RUNNING;
            }
        }
        return JobStatus.PENDING;
    }

    /** Nothing of it may start. */
    private boolean isBlocked() {
        return cancelled || hasUnmetDependencies;
    }

    int waitingCount() {
        return isBlocked() ? 0 : spec.tasks() - notStartable.cardinality();
    }

    boolean hasWaiting() {
        return !isBlocked() && notStartable.nextClearBit(0) < spec.tasks();
    }

    /** Waiting tasks that surely are on no machine. */
    int startableCount() {
        int taken = possiblyRunningBelow == 0
                ? notStartable.cardinality()
                : possiblyRunningBelow
                        + notStartable.get(possiblyRunningBelow, spec.tasks()).cardinality();
        return isBlocked() ? 0 : spec.tasks() - taken;
    }

    boolean hasStartable() {
        return !isBlocked() && nextStartable() < spec.tasks();
    }

    int nextStartable() {
        return notStartable.nextClearBit(possiblyRunningBelow);
    }

    /** Whether {@code n} waiting tasks lie below the start bound that is recorded or being recorded. */
    boolean isWithinStartBound(int n) {
        return nthStartable(n) < requestedStartBound;
    }

    /** Whether its next task lies below the recorded start bound. */
    boolean isWithinStartBound() {
        return !isBlocked() && nextStartable() < startBound;
    }

    Collection<Placement> placements() {
        return placements.values();
    }

    List<Placement> placementsCopy() {
        return new ArrayList<>(placements.values());
    }

    /** A task of it runs, has run, or is on its way to a machine. */
    boolean hasBegun() {
        return hasRun || !placements.isEmpty();
    }

    /** Put first with one task, it has had its turn until the queue is ordered anew. */
    boolean isStarvationRelieved() {
        return starved && hasBegun();
    }

    /** One of its tasks was seen to run. */
    void markRun() {
        hasRun = true;
    }

    /** A task of it is ordered to start. */
    void taskStarted() {
        startedAsStarved |= starved;
    }

    /** Its user has cancelled it: nothing of it may start. */
    void cancel() {
        cancelled = true;
    }

    /** Its record was written or read at {@code seen}; an older revision changes nothing. */
    void revisionSeen(Revision seen) {
        if (seen.isAfter(revision)) {
            revision = seen;
        }
    }

    /** One of its tasks got a place, or lost one, at {@code moment}. */
    void placementsChanged(Moment moment) {
        placementsChangedAt = moment;
    }

    /** What the jobs that depend on it ask of it; null if none does. */
    void dependentsAsk(JobTarget target) {
        dependentsTarget = target;
    }

    /** One of its tasks has failed on the machine. */
    void failedOn(Machine machine) {
        failures++;
        failedMachines.add(machine.id);
    }

    /** None of its tasks is tried before {@code moment}. */
    void retryNotBefore(Moment moment) {
        retryNotBefore = moment;
    }

    /** Its tasks wait for a machine that has their image until {@code moment}. */
    void awaitImageLocality(Moment moment) {
        imageLocalityUntil = moment;
    }

    /** Whether the longest objective of its class can no longer be met. */
    void objectivesMissed(boolean missed) {
        missedObjectives = missed;
    }

    /** Whether it goes first on a part of the machines, as its class is served too little or it has aged. */
    void markUnderServed(boolean isUnderServed) {
        underServed = isUnderServed;
    }

    /** Whether one task of it goes before all else, as none has run for too long. */
    void markStarved(boolean isStarved) {
        starved = isStarved;
    }

    Placement placements(int index) {
        return placements.get(index);
    }

    int placementsInZone(String zone) {
        return placementsByZone.getOrDefault(zone, 0);
    }

    /** The zone that a one-zone job is bound to by tasks that may be on machines, or null. */
    String boundZone() {
        for (Map.Entry<String, Integer> e : placementsByZone.entrySet()) {
            if (e.getValue() > 0) {
                return e.getKey();
            }
        }
        return null;
    }

    void addPlacement(Placement placement) {
        placements.put(placement.index, placement);
        notStartable.set(placement.index);
        placementsByZone.merge(placement.machine.pool.zone(), 1, Integer::sum);
    }

    void removePlacement(Placement placement) {
        if (placements.remove(placement.index, placement)) {
            placementsByZone.merge(placement.machine.pool.zone(), -1, Integer::sum);
            if (!done.get(placement.index)) {
                notStartable.set(placement.index, gated.get(placement.index));
            }
        }
    }

    /** Returns false if the task was known to be done already. */
    boolean complete(int index) {
        if (done.get(index)) {
            return false;
        }
        done.set(index);
        notStartable.set(index);
        hasRun = true;
        doneCount++;
        return true;
    }

    void observeRunTime(Span run) {
        observedMs += Math.max(1, run.ms());
        observedRuns++;
    }

    int observedRuns() {
        return observedRuns;
    }

    Span meanObservedRunTime() {
        return new Span(observedMs / Math.max(1, observedRuns));
    }

    /** It failed on several machines and never completed a task: most likely submitted with a mistake. */
    boolean isSuspectedFaulty() {
        return doneCount == 0 && failedMachines.size() >= 3;
    }
}
