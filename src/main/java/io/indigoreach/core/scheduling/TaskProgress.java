package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobSpec;
import java.util.BitSet;
import java.util.Set;

/**
 * Which tasks of a job are done, recorded as done, gated or on a machine, and up to which number they may be started.
 * Tasks start in the order of their numbers.
 */
final class TaskProgress {
    private final int tasks;
    private final BitSet done;
    private final BitSet durable;
    /** Done, on a machine, or gated: all that must not be started. */
    private final BitSet notStartable;
    /** Tasks that wait for something else than machines: nothing starts, reserves or rents for them. */
    private final BitSet gated = new BitSet();

    private int doneCount;
    private int durableCount;
    /** Recorded: no leader has ever started a task from this number on. */
    private int startBound;
    /** To be recorded: tasks below this number are about to be started. */
    private int requestedStartBound;
    /** Tasks below this number may be on a machine that this leader has not heard from yet. */
    private int possiblyRunningBelow;

    /**
     * The progress of a job as this leader finds it.
     *
     * @param inherited the job was submitted before this leadership term
     */
    static TaskProgress of(JobSpec spec, BitSet done, int startBound, boolean inherited) {
        // Where the others of its tasks are decides where one may go, so nothing of it is started before all is known.
        boolean together = spec.singleZone() || spec.spreadOverZones();
        int possiblyRunningBelow = !inherited ? 0 : together && startBound > 0 ? spec.taskCount() : startBound;
        return new TaskProgress(
                spec.taskCount(), done, spec.requiresRecordOwnership(), startBound, possiblyRunningBelow);
    }

    private TaskProgress(int tasks, BitSet done, boolean isGated, int startBound, int possiblyRunningBelow) {
        this.tasks = tasks;
        this.done = (BitSet) done.clone();
        this.durable = (BitSet) done.clone();
        this.notStartable = (BitSet) done.clone();
        if (isGated) {
            gated.set(0, tasks);
            notStartable.or(gated);
        }
        this.doneCount = done.cardinality();
        this.durableCount = doneCount;
        this.startBound = startBound;
        this.requestedStartBound = startBound;
        this.possiblyRunningBelow = possiblyRunningBelow;
    }

    int requestedStartBound() {
        return requestedStartBound;
    }

    /** Tasks wait to be started until the start bound is raised. */
    boolean needsHigherStartBound() {
        return requestedStartBound > startBound;
    }

    /** The start bound is in the state service: tasks below it may be started. */
    void startBoundRecorded(int recorded) {
        startBound = Math.max(startBound, recorded);
    }

    /** Asks for a start bound below which {@code count} startable tasks lie. */
    void requestStartBoundFor(int count) {
        requestedStartBound = Math.max(requestedStartBound, Math.min(tasks, nthStartable(count) + 1));
    }

    /** Whether {@code count} startable tasks lie below the start bound that is recorded or being recorded. */
    boolean isWithinRequestedStartBound(int count) {
        return nthStartable(count) < requestedStartBound;
    }

    /** Whether the next startable task lies below the recorded start bound. */
    boolean isWithinStartBound() {
        return nextStartable() < startBound;
    }

    /** The number of the {@code count}-th task that waits and surely is on no machine; beyond the last if there are fewer. */
    private int nthStartable(int count) {
        int index = possiblyRunningBelow - 1;
        for (int left = count; left > 0 && index < tasks; left--) {
            index = notStartable.nextClearBit(index + 1);
        }
        return index;
    }

    /** Every task that an earlier leader may have started is known. */
    void releaseInheritedTasks() {
        possiblyRunningBelow = 0;
    }

    /** Gates these tasks and no others; what is on a machine stays there. */
    void gate(BitSet gatedTasks, Set<Integer> placed) {
        gated.clear();
        gated.or(gatedTasks);
        notStartable.clear();
        notStartable.or(done);
        notStartable.or(gated);
        placed.forEach(notStartable::set);
    }

    /** Whether tasks that are neither done nor on a machine are gated. */
    boolean hasGatedTasks(Set<Integer> placed) {
        BitSet left = (BitSet) gated.clone();
        left.andNot(done);
        placed.forEach(left::clear);
        return !left.isEmpty();
    }

    int doneCount() {
        return doneCount;
    }

    boolean isDone(int index) {
        return done.get(index);
    }

    boolean isDurable(int index) {
        return durable.get(index);
    }

    boolean isComplete() {
        return doneCount == tasks;
    }

    boolean hasUnrecordedCompletions() {
        return doneCount > durableCount;
    }

    BitSet unrecordedCompletions() {
        BitSet unrecorded = completedTasks();
        unrecorded.andNot(durable);
        return unrecorded;
    }

    BitSet completedTasks() {
        return (BitSet) done.clone();
    }

    void completionsRecorded(BitSet recorded) {
        durable.or(recorded);
        durableCount = durable.cardinality();
    }

    /** Returns false if the task was known to be done already. */
    boolean complete(int index) {
        if (done.get(index)) {
            return false;
        }
        done.set(index);
        notStartable.set(index);
        doneCount++;
        return true;
    }

    void placed(int index) {
        notStartable.set(index);
    }

    /** The task is on no machine any more: unless it is done or gated, it waits again. */
    void removed(int index) {
        if (!done.get(index)) {
            notStartable.set(index, gated.get(index));
        }
    }

    int waitingCount() {
        return tasks - notStartable.cardinality();
    }

    boolean hasWaiting() {
        return notStartable.nextClearBit(0) < tasks;
    }

    /** Waiting tasks that surely are on no machine. */
    int startableCount() {
        int taken = possiblyRunningBelow == 0
                ? notStartable.cardinality()
                : possiblyRunningBelow
                        + notStartable.get(possiblyRunningBelow, tasks).cardinality();
        return tasks - taken;
    }

    boolean hasStartable() {
        return nextStartable() < tasks;
    }

    int nextStartable() {
        return notStartable.nextClearBit(possiblyRunningBelow);
    }
}
