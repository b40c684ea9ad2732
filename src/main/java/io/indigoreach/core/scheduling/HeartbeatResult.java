package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.WorkerCommand;
import java.util.List;

/** What the scheduler core makes of a heartbeat. */
public sealed interface HeartbeatResult {
    /** The heartbeat is answered with these commands, which may be none. */
    record Commands(List<WorkerCommand> commands) implements HeartbeatResult {}

    /** The heartbeat bears a higher fencing token than this leader's: a newer leader exists, and nothing may be commanded. */
    record Superseded() implements HeartbeatResult {
        @Override
        public List<WorkerCommand> commands() {
            return List.of();
        }
    }

    /** The commands for the worker; none if a newer leader exists. */
    List<WorkerCommand> commands();

    /** Whether the heartbeat shows that a newer leader exists. */
    default boolean isSuperseded() {
        return this instanceof Superseded;
    }
}
