package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.WorkerCommand;
import java.util.List;

/** The scheduler core's response to a heartbeat. */
public sealed interface HeartbeatResult {
    /** The heartbeat is answered with these commands; the list may be empty. */
    record Commands(List<WorkerCommand> commands) implements HeartbeatResult {}

    /**
     * The heartbeat carries a higher fencing token than this leader's: a newer leader exists, and no command may be
     * sent.
     */
    record Superseded() implements HeartbeatResult {
        @Override
        public List<WorkerCommand> commands() {
            return List.of();
        }
    }

    /** The commands for the worker; empty if a newer leader exists. */
    List<WorkerCommand> commands();

    /** Whether the heartbeat shows that a newer leader exists. */
    default boolean isSuperseded() {
        return this instanceof Superseded;
    }
}
