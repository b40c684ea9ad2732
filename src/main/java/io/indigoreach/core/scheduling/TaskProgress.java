package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobSpec;
import java.util.BitSet;
import java.util.Set;

/**
 * Tracks which tasks of a job are done, durably recorded as done, gated or on a machine, and below which index tasks
 * may be started. Tasks start in index order.
 */
final class TaskProgress {
    private final int taskCount;
    private final BitSet done;
    private final BitSet recordedDone;
    /** Tasks that must not be started: done, on a machine, or gated. */
    private final BitSet notStartable;
    /**
     * Tasks held back for a reason other than machine capacity. The scheduler neither starts, reserves nor scales out
     * for them.
     */
    private final BitSet gated = new BitSet();

    private int doneCount;
    private int recordedCount;
    /** The recorded bound: no leader has ever started a task with this index or a higher one. */
    private int startBound;
    /** The bound to record next: tasks below this index are about to be started. */
    private int requestedStartBound;
    /** Tasks below this index may be on a machine that has not sent a heartbeat to this leader yet. */
    private int possiblyRunningBelow;

    /**
     * The progress of a job when a leader loads or accepts it.
     *
     * @param inherited whether the job was submitted before this leadership term
     */
    static TaskProgress of(JobSpec spec, BitSet done, int startBound, boolean inherited) {
        // Zone constraints depend on where the other tasks are, so no task starts before all placements are known.
        boolean hasZoneConstraint = spec.singleZone() || spec.spreadOverZones();
        int possiblyRunningBelow = !inherited ? 0 : hasZoneConstraint && startBound > 0 ? spec.taskCount() : startBound;
        return new TaskProgress(
                spec.taskCount(), done, spec.requiresRecordOwnership(), startBound, possiblyRunningBelow);
    }

    private TaskProgress(int taskCount, BitSet done, boolean isGated, int startBound, int possiblyRunningBelow) {
        this.taskCount = taskCount;
        this.done = (BitSet) done.clone();
        this.recordedDone = (BitSet) done.clone();
        this.notStartable = (BitSet) done.clone();
        if (isGated) {
            gated.set(0, taskCount);
            notStartable.or(gated);
        }
        this.doneCount = done.cardinality();
        this.recordedCount = doneCount;
        this.startBound = startBound;
        this.requestedStartBound = startBound;
        this.possiblyRunningBelow = possiblyRunningBelow;
    }

    int requestedStartBound() {
        return requestedStartBound;
    }

    /** Whether tasks cannot start until a higher start bound is recorded. */
    boolean needsHigherStartBound() {
        return requestedStartBound > startBound;
    }

    /** Notes that the state service holds this start bound. Tasks below it may be started. */
    void startBoundRecorded(int recorded) {
        startBound = Math.max(startBound, recorded);
    }

    /** Requests a start bound that covers {@code count} startable tasks. */
    void requestStartBoundFor(int count) {
        requestedStartBound = Math.max(requestedStartBound, Math.min(taskCount, nthStartable(count) + 1));
    }

    /** Whether the recorded or requested start bound covers {@code count} startable tasks. */
    boolean isWithinRequestedStartBound(int count) {
        return nthStartable(count) < requestedStartBound;
    }

    /** Whether the next startable task lies below the recorded start bound. */
    boolean isWithinStartBound() {
        return nextStartable() < startBound;
    }

    /** The index of the {@code count}-th startable task; the number of tasks if there are fewer. */
    private int nthStartable(int count) {
        int index = possiblyRunningBelow - 1;
        for (int remaining = count; remaining > 0 && index < taskCount; remaining--) {
            index = notStartable.nextClearBit(index + 1);
        }
        return index;
    }

    /** Makes inherited tasks startable, as every task that an earlier leader may have started is known. */
    void releaseInheritedTasks() {
        possiblyRunningBelow = 0;
    }

    /** Gates exactly these tasks. Tasks that are on a machine stay there. */
    void gate(BitSet gatedTasks, Set<Integer> placedIndexes) {
        gated.clear();
        gated.or(gatedTasks);
        notStartable.clear();
        notStartable.or(done);
        notStartable.or(gated);
        placedIndexes.forEach(notStartable::set);
    }

    /** Whether tasks that are neither done nor on a machine are gated. */
    boolean hasGatedTasks(Set<Integer> placedIndexes) {
        BitSet waitingGated = (BitSet) gated.clone();
        waitingGated.andNot(done);
        placedIndexes.forEach(waitingGated::clear);
        return !waitingGated.isEmpty();
    }

    int doneCount() {
        return doneCount;
    }

    boolean isDone(int index) {
        return done.get(index);
    }

    boolean isCompletionRecorded(int index) {
        return recordedDone.get(index);
    }

    boolean isComplete() {
        return doneCount == taskCount;
    }

    boolean hasUnrecordedCompletions() {
        return doneCount > recordedCount;
    }

    BitSet unrecordedCompletions() {
        BitSet unrecorded = completedTasks();
        unrecorded.andNot(recordedDone);
        return unrecorded;
    }

    BitSet completedTasks() {
        return (BitSet) done.clone();
    }

    void completionsRecorded(BitSet recorded) {
        recordedDone.or(recorded);
        recordedCount = recordedDone.cardinality();
    }

    /** Marks the task as done; returns false if it was done already. */
    boolean complete(int index) {
        if (done.get(index)) {
            return false;
        }
        done.set(index);
        notStartable.set(index);
        doneCount++;
        return true;
    }

    void placementAdded(int index) {
        notStartable.set(index);
    }

    /** Notes that the task is on no machine any more. It waits again unless it is done or gated. */
    void placementRemoved(int index) {
        if (!done.get(index)) {
            notStartable.set(index, gated.get(index));
        }
    }

    int waitingCount() {
        return taskCount - notStartable.cardinality();
    }

    boolean hasWaiting() {
        return notStartable.nextClearBit(0) < taskCount;
    }

    /** The number of waiting tasks that are known to be on no machine. */
    int startableCount() {
        int excluded = possiblyRunningBelow == 0
                ? notStartable.cardinality()
                : possiblyRunningBelow
                        + notStartable.get(possiblyRunningBelow, taskCount).cardinality();
        return taskCount - excluded;
    }

    boolean hasStartable() {
        return nextStartable() < taskCount;
    }

    int nextStartable() {
        return notStartable.nextClearBit(possiblyRunningBelow);
    }
}
