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
 * An open job in the leader's memory: its specification, its scheduling state, the progress of its tasks
 * ({@link TaskProgress}) and its placements ({@link JobPlacements}).
 */
public final class Job {
    /** A job that has failed on this many machines without completing a task is suspected to be faulty. */
    private static final int FAILED_MACHINES_UNTIL_SUSPECTED = 3;

    /** The specification as submitted, plus the release time once all required jobs are done. */
    JobSpec spec;
    /** When the job became eligible to start: at its submission, or when the last job that it requires was done. */
    Moment eligibleSince;
    /** Submission in epoch milliseconds. It decides the order in the queue and is the same for every leader. */
    final long submittedMs;
    /** Whether the job was submitted before this term, so that tasks below its start bound may be on machines. */
    final boolean inherited;

    private final TaskProgress progress;
    private final JobPlacements placements = new JobPlacements();

    Revision revision;
    boolean cancelled;
    /** Whether other jobs must be done before any task of this job may start. */
    private boolean hasUnmetDependencies;

    private final JobTargets targets;
    /** Machines on which a task of this job has failed and none has completed since. */
    final Set<MachineId> failedMachines = new HashSet<>();

    int failures;
    Moment retryNotBefore = Moment.NEVER;
    /** Until this moment, tasks preempted to drain their machine restart only on machines with the image cached. */
    Moment imageLocalityUntil = Moment.NEVER;
    /** When a placement was last added or removed. The waiting tasks may have been waiting only since then. */
    Moment placementsChangedAt = Moment.NEVER;
    /** Whether the job has missed the longest objective of its class. */
    boolean missedObjectives;
    /** Whether the job's class is under-served or the job has aged. Such jobs take precedence on some machines. */
    boolean underServed;
    /** Whether a task of the job is known to have run, under this leader or an earlier one. */
    private boolean hasRun;
    /** Whether the job has waited too long without any task running. One of its tasks goes before all other jobs. */
    boolean starved;
    /** Whether a task was started while the job was starved. */
    boolean startedWhileStarved;

    final RunTimeMean runTimes = new RunTimeMean();

    /**
     * @param done tasks recorded as done
     * @param startBound the job's recorded start bound: no task with this index or a higher one was ever started
     * @param inherited whether the job was submitted before this leadership term
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
        this.eligibleSince = submitted.plus(timeToRelease(spec, submittedMs));
        this.revision = revision;
        this.inherited = inherited;
        this.hasRun = !done.isEmpty();
        // A job with a completed task must have been released earlier.
        this.hasUnmetDependencies = spec.dependencies().isWaiting() && !hasRun;
        this.progress = TaskProgress.of(spec, done, startBound, inherited);
    }

    /** The time from submission to the recorded release. */
    private static Span timeToRelease(JobSpec spec, long submittedMs) {
        // The two times come from the clocks of two nodes, whose skew may make the difference negative.
        return spec.dependencies().isReleased()
                ? new Span(Math.max(0, spec.dependencies().releasedAtMs() - submittedMs))
                : Span.ZERO;
    }

    /** Whether a required job is not known to be done. Such a job is in no queue and none of its tasks may start. */
    boolean hasUnmetDependencies() {
        return hasUnmetDependencies;
    }

    /** Releases the job: its waiting time counts from now, and its next record has the release time. */
    void releaseFromDependencies(Moment now, long timeOfDayMs) {
        hasUnmetDependencies = false;
        eligibleSince = now;
        spec = spec.with(spec.dependencies().releasedAt(timeOfDayMs));
    }

    /** The job's effective urgency: its own, or the higher one of a job that depends on it. */
    Urgency urgency() {
        return targets.urgency();
    }

    /** The earliest deadline derived from the job itself and from the jobs that depend on it; null if there is none. */
    Moment dueAt() {
        return targets.earliestDeadline();
    }

    /** The job's own deadline, which counts from its submission; null if it has none. */
    Moment ownDueAt() {
        return targets.own().deadline();
    }

    /** The urgency and deadline that the user submitted. */
    JobTarget ownTarget() {
        return targets.own();
    }

    /** The start bound to write with the job's record. It is never below the recorded one. */
    public int startBoundToWrite() {
        return progress.requestedStartBound();
    }

    /** Whether tasks cannot start until a higher start bound is recorded. */
    public boolean needsHigherStartBound() {
        return progress.needsHigherStartBound();
    }

    /** Notes that the state service holds this start bound. Tasks below it may be started. */
    public void startBoundRecorded(int recorded) {
        progress.startBoundRecorded(recorded);
    }

    /** Requests a start bound that covers {@code count} startable tasks. */
    void requestStartBoundFor(int count) {
        progress.requestStartBoundFor(count);
    }

    /** Gates exactly these tasks. Tasks that are on a machine stay there. */
    void gate(BitSet tasks) {
        progress.gate(tasks, placements.taskIndexes());
    }

    /** Whether tasks that are neither done nor on a machine are gated. */
    boolean hasGatedTasks() {
        return !cancelled && progress.hasGatedTasks(placements.taskIndexes());
    }

    /** Makes inherited tasks startable, as every task that an earlier leader may have started is known. */
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

    boolean isCompletionRecorded(int index) {
        return progress.isCompletionRecorded(index);
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

    /** Notes that the state service holds the completion of the tasks in {@code recorded}. */
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

    /** The status that the API reports to users. */
    public JobStatus status() {
        if (cancelled) {
            return JobStatus.CANCELLED;
        }
        if (isComplete()) {
            return JobStatus.DONE;
        }
        return placements.isAnyRunning() ? JobStatus.RUNNING : JobStatus.PENDING;
    }

    /** Whether no task of the job may start. */
    private boolean isBlocked() {
        return cancelled || hasUnmetDependencies;
    }

    int waitingCount() {
        return isBlocked() ? 0 : progress.waitingCount();
    }

    boolean hasWaiting() {
        return !isBlocked() && progress.hasWaiting();
    }

    /** The number of waiting tasks that are known to be on no machine. */
    int startableCount() {
        return isBlocked() ? 0 : progress.startableCount();
    }

    boolean hasStartable() {
        return !isBlocked() && progress.hasStartable();
    }

    int nextStartable() {
        return progress.nextStartable();
    }

    /** Whether the recorded or requested start bound covers {@code count} startable tasks. */
    boolean isWithinStartBound(int count) {
        return progress.isWithinRequestedStartBound(count);
    }

    /** Whether the next task lies below the recorded start bound. */
    boolean isWithinStartBound() {
        return !isBlocked() && progress.isWithinStartBound();
    }

    Collection<Placement> placements() {
        return placements.all();
    }

    List<Placement> placementsCopy() {
        return placements.copy();
    }

    /** Whether a task of the job runs, has run, or was sent to a machine. */
    boolean hasStarted() {
        return hasRun || !placements.isEmpty();
    }

    /** Whether the prioritised task of a starved job has started; the others wait until the queue is sorted again. */
    boolean isStarvationRelieved() {
        return starved && hasStarted();
    }

    /** Notes that a task of the job was reported as running. */
    void markHasRun() {
        hasRun = true;
    }

    /** Notes that a start command for one of the job's tasks was issued. */
    void taskStarted() {
        startedWhileStarved |= starved;
    }

    /** Marks the job as cancelled by its user. No further task may start. */
    void cancel() {
        cancelled = true;
    }

    /** Notes the revision at which the job's record was written or read. Older revisions are ignored. */
    void updateRevision(Revision observedRevision) {
        if (observedRevision.isAfter(revision)) {
            revision = observedRevision;
        }
    }

    /** Notes that a placement of the job was added or removed at {@code moment}. */
    void placementsChanged(Moment moment) {
        placementsChangedAt = moment;
    }

    /** Sets the urgency and deadline required by the jobs that depend on this one; null if there are none. */
    void setDependentsTarget(JobTarget target) {
        targets.setDependentsTarget(target);
    }

    /** Counts a task failure on the machine. */
    void recordFailure(Machine machine) {
        failures++;
        failedMachines.add(machine.id);
    }

    /** Delays the next start of a task until {@code moment}. */
    void retryNotBefore(Moment moment) {
        retryNotBefore = moment;
    }

    /** Restricts starts to machines that have the job's image until {@code moment}. */
    void awaitImageLocality(Moment moment) {
        imageLocalityUntil = moment;
    }

    /** Sets whether the longest objective of the job's class can no longer be met. */
    void markMissedObjectives(boolean missed) {
        missedObjectives = missed;
    }

    /** Sets whether the job goes first on a part of the machines, because its class is under-served or it has aged. */
    void markUnderServed(boolean isUnderServed) {
        underServed = isUnderServed;
    }

    /** Sets whether one task of the job goes before all other jobs, because none has run for too long. */
    void markStarved(boolean isStarved) {
        starved = isStarved;
    }

    Placement placements(int index) {
        return placements.get(index);
    }

    int placementsInZone(String zone) {
        return placements.countInZone(zone);
    }

    /** The zone of the job's placements, to which a one-zone job is bound; null if it has no placements. */
    String zoneOfPlacements() {
        return placements.anyZone().orElse(null);
    }

    void addPlacement(Placement placement) {
        placements.add(placement);
        progress.placementAdded(placement.index);
    }

    void removePlacement(Placement placement) {
        if (placements.remove(placement)) {
            progress.placementRemoved(placement.index);
        }
    }

    /** Marks the task as done; returns false if it was done already. */
    boolean complete(int index) {
        boolean isNew = progress.complete(index);
        hasRun |= isNew;
        return isNew;
    }

    /** Whether the job failed on several machines without completing a task, so that the job is the likely cause. */
    boolean isSuspectedFaulty() {
        return progress.doneCount() == 0 && failedMachines.size() >= FAILED_MACHINES_UNTIL_SUSPECTED;
    }
}
