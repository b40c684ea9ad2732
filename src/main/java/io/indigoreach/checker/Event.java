package io.indigoreach.checker;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.state.StateClient.Txn;
import java.util.List;

/** Something that was seen to happen; a history is made of these. */
public sealed interface Event {
    Moment at();

    /** A user submits a job, for the first time or again. */
    record Submitted(Moment at, JobSpec spec) implements Event {}

    /** A user asks to cancel a job. */
    record CancelAsked(Moment at, JobId job) implements Event {}

    /** What a user asked. */
    enum Question {
        SUBMIT,
        POLL,
        CANCEL
    }

    /**
     * A user got an answer.
     *
     * @param asked when the request was sent
     * @param http the status, or 0 if there was no answer
     * @param status what it says of the job; null if nothing
     */
    record Answered(Moment at, Moment asked, Question question, JobId job, String node, int http, JobStatus status)
            implements Event {}

    /** A machine is up. */
    record MachineUp(Moment at, MachineId machine, MachinePool pool) implements Event {}

    /** A machine is gone. */
    record MachineGone(Moment at, MachineId machine, String why) implements Event {}

    /** A worker executes a start order; the task may still be refused or wait for its image. */
    record Started(Moment at, MachineId machine, TaskId task, Attempt attempt, FencingToken token) implements Event {}

    /** A task has its image and is on its machine from now on. */
    record Running(Moment at, MachineId machine, TaskId task, Attempt attempt) implements Event {}

    /** A task is not on its machine any more; {@code why} is the cause of its exit, or what ended it. */
    record Off(Moment at, MachineId machine, TaskId task, Attempt attempt, String why) implements Event {}

    /** A worker has removed an exited task from its reports. */
    record Forgotten(Moment at, MachineId machine, TaskId task, Attempt attempt) implements Event {}

    /** A node's answer to a worker carried a token. */
    record TokenSeen(Moment at, String node, FencingToken token) implements Event {}

    /**
     * A worker accepted an answer to its heartbeat, which renewed its lease.
     *
     * @param sent when the heartbeat was sent: the lease counts from there
     * @param tokenKnown whether the heartbeat already had the token of the answer
     * @param notStopped tasks that the heartbeat reports alive and the answer does not stop at once
     */
    record LeaseRenewed(Moment at, MachineId machine, Moment sent, boolean tokenKnown, List<TaskId> notStopped)
            implements Event {}

    /** A transaction was done. */
    record Committed(Moment at, String node, Txn txn, long revision) implements Event {}

    /** A controller's process began, or ended. */
    record Process(Moment at, String node, boolean begins) implements Event {}

    /** Something was made to go wrong. */
    record Trouble(Moment at, String what) implements Event {}
}
