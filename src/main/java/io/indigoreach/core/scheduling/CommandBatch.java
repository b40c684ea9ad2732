package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** The commands for one machine, collected for the response to its heartbeat {@code number}. */
record CommandBatch(Machine machine, HeartbeatNumber number, Moment now, List<WorkerCommand> commands) {
    CommandBatch(Machine machine, HeartbeatNumber number, Moment now) {
        this(machine, number, now, new ArrayList<>());
    }

    /** Adds a start command for a task that was placed on the machine. */
    void addStart(Placement placement) {
        commands.add(new WorkerCommand.Start(placement.task(), placement.attempt));
    }

    /** Adds a stop command that gives the task no time to save its progress. */
    void addStop(Placement placement) {
        placement.stopRequested();
        commands.add(new WorkerCommand.Stop(placement.task(), placement.attempt, Span.ZERO));
    }

    /** Creates a stop command with a grace period of twice the time that the task takes to save its progress. */
    static WorkerCommand stopWithCheckpoint(Placement placement) {
        placement.stopRequested();
        return new WorkerCommand.Stop(
                placement.task(),
                placement.attempt,
                placement.job.spec.checkpointDuration().times(2));
    }
}
