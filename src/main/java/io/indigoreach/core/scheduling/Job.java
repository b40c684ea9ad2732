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
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * An open job as the leader knows it: its specification, what the scheduler has found out about it, its tasks
 * ({@link TaskProgress}) and its placements ({@link JobPlacements}).
 */
public final class Job {
    /** A job that has failed on so many machines and completed nothing is suspected to be faulty. */
    private static final int SUSPECTED_AFTER_MACHINES = 3;

    /** As it was submitted; with its release once it waits for no other job. */
    JobSpec spec;
    /** Since when it could be served: its submission, or the moment when the last job that it needs was done. */
    Moment eligibleSince;
    /** Submission by the time of day: the order in the queue, the same for every leader. */
    final long submittedMs;
    /** It was submitted before this leadership term: tasks below its bound may be on machines that have not sent a heartbeat yet. */
    final boolean inherited;

    private final TaskProgress progress;
    private final JobPlacements placements = new JobPlacements();

    Revision revision;
    boolean cancelled;
    /** Whether other jobs have to be done before any task of it starts. */
    private boolean hasUnmetDependencies;

    private final JobTargets targets;
    /** Machines on which one of its tasks has failed since one last completed there. */
    final Set<MachineId> failedMachines = new HashSet<>();

    int failures;
    Moment retryNotBefore = Moment.NEVER;
    /** Until then its tasks wait for a machine that has their image: they were moved there. */
    Moment imageLocalityUntil = Moment.NEVER;
    /** When one of its tasks last got a place, or lost one: what waits may have waited no longer. */
    Moment placementsChangedAt = Moment.NEVER;
    /** It has missed the longest objective of its class. */
    boolean missedObjectives;
    /** Its class is served too little, or it has waited too long: it goes first on a part of the machines. */
    boolean underServed;
    /** Whether one of its tasks has run, under this leader or, as far as it knows, an earlier one. */
    private boolean hasRun;
    /** Nothing of it has run for too long: one task of it goes before all else. */
    boolean starved;
    /** One of its tasks was started while it was starved. */
    boolean startedAsStarved;

    final RunTimeMean runTimes = new RunTimeMean();

    /**
     * @param done tasks recorded as done
     * @param startBound the job's recorded start bound: no task from this one on was ever started
     * @param inherited it was submitted before this leadership term
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
        this.targets = new JobTargets(new JobTarget(
                spec.urgency(), spec.relativeDeadline() == null ? null : submitted.plus(spec.relativeDeadline())));
        this.eligibleSince = submitted.plus(releasedAfter(spec, submittedMs));
        this.revision = revision;
        this.inherited = inherited;
        this.hasRun = !done.isEmpty();
        // A task that is done was started, and so the job was released.
        this.hasUnmetDependencies = spec.dependencies().isWaiting() && !hasRun;
        this.progress = TaskProgress.of(spec, done, startBound, inherited);
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
        spec = spec.with(spec.dependencies().releasedAt(timeOfDayMs));
    }

    /** Its priority: its own, or the higher one of a job that needs it. */
    Urgency urgency() {
        return targets.urgency();
    }

    /** By when it should be done, for its own deadline or that of a job that needs it; null if nothing says so. */
    Moment dueAt() {
        return targets.due();
    }

    /** By when it should be done for its own deadline, which counts from its submission; null if it has none. */
    Moment ownDueAt() {
        return targets.own().deadline();
    }

    /** What its own user asks of it. */
    JobTarget ownTarget() {
        return targets.own();
    }

    /** The start bound to be written with the job: at least the one that is recorded. */
    public int startBoundToWrite() {
        return progress.requestedStartBound();
    }

    /** Tasks wait to be started until the start bound is raised. */
    public boolean needsHigherStartBound() {
        return progress.needsHigherStartBound();
    }

    /** The start bound is in the state service: tasks below it may be started. */
    public void startBoundRecorded(int recorded) {
        progress.startBoundRecorded(recorded);
    }

    /** Asks for a start bound below which {@code count} startable tasks lie. */
    void requestStartBoundFor(int count) {
        progress.requestStartBoundFor(count);
    }

    /** Gates these tasks and no others; what is on a machine stays there. */
    void gate(BitSet tasks) {
        progress.gate(tasks, placements.indexes());
    }

    /** Whether tasks that are neither done nor on a machine are gated. */
    boolean hasGatedTasks() {
        return !cancelled && progress.hasGatedTasks(placements.indexes());
    }

    /** Every task that an earlier leader may have started is known. */
    void releaseInheritedTasks() {
        progress.releaseInheritedTasks();
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
        return progress.doneCount();
    }

    public boolean isDone(int index) {
        return progress.isDone(index);
    }

    boolean isDurable(int index) {
        return progress.isDurable(index);
    }

    /** Whether every task has completed; a service never does. */
    public boolean isComplete() {
        return progress.isComplete() && spec.kind() == JobKind.ARRAY;
    }

    public boolean hasUnrecordedCompletions() {
        return progress.hasUnrecordedCompletions();
    }

    /** Tasks that have completed without being recorded yet. */
    public BitSet unrecordedCompletions() {
        return progress.unrecordedCompletions();
    }

    public BitSet completedTasks() {
        return progress.completedTasks();
    }

    /** The tasks in {@code recorded} are in the state service. */
    public void completionsRecorded(BitSet recorded) {
        progress.completionsRecorded(recorded);
    }

    /** Whether it was submitted before this leadership term. */
    public boolean isInherited() {
        return inherited;
    }

    public int runningCount() {
        return placements.runningCount();
    }

    /** What its user is told of it now. */
    public JobStatus status() {
        if (cancelled) {
            return JobStatus.CANCELLED;
        }
        if (isComplete()) {
            return JobStatus.DONE;
        }
        return placements.anyRunning() ? JobStatus.RUNNING : JobStatus.PENDING;
    }

    /** Whether nothing of it may start. */
    private boolean isBlocked() {
        return cancelled || hasUnmetDependencies;
    }

    int waitingCount() {
        return isBlocked() ? 0 : progress.waitingCount();
    }

    boolean hasWaiting() {
        return !isBlocked() && progress.hasWaiting();
    }

    /** Waiting tasks that surely are on no machine. */
    int startableCount() {
        return isBlocked() ? 0 : progress.startableCount();
    }

    boolean hasStartable() {
        return !isBlocked() && progress.hasStartable();
    }

    int nextStartable() {
        return progress.nextStartable();
    }

    /** Whether {@code count} startable tasks lie below the start bound that is recorded or being recorded. */
    boolean isWithinStartBound(int count) {
        return progress.isWithinRequestedStartBound(count);
    }

    /** Whether its next task lies below the recorded start bound. */
    boolean isWithinStartBound() {
        return !isBlocked() && progress.isWithinStartBound();
    }

    Collection<Placement> placements() {
        return placements.all();
    }

    List<Placement> placementsCopy() {
        return placements.copy();
    }

    /** Whether a task of it runs, has run, or is on its way to a machine. */
    boolean hasBegun() {
        return hasRun || !placements.isEmpty();
    }

    /** Whether it was put first with one task and that task has begun: it has had its turn until the queue is ordered anew. */
    boolean isStarvationRelieved() {
        return starved && hasBegun();
    }

    /** One of its tasks was seen to run. */
    void markRun() {
        hasRun = true;
    }

    /** A start command for one of its tasks is sent. */
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
        targets.dependentsAsk(target);
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
        return placements.inZone(zone);
    }

    /** The zone that a one-zone job is bound to by tasks that may be on machines, or null. */
    String boundZone() {
        return placements.anyZone().orElse(null);
    }

    void addPlacement(Placement placement) {
        placements.add(placement);
        progress.placed(placement.index);
    }

    void removePlacement(Placement placement) {
        if (placements.remove(placement)) {
            progress.removed(placement.index);
        }
    }

    /** Returns false if the task was known to be done already. */
    boolean complete(int index) {
        boolean isNew = progress.complete(index);
        hasRun |= isNew;
        return isNew;
    }

    /** Whether it failed on several machines and never completed a task: most likely it was submitted with a mistake. */
    boolean isSuspectedFaulty() {
        return progress.doneCount() == 0 && failedMachines.size() >= SUSPECTED_AFTER_MACHINES;
    }
}
