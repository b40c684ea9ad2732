package io.indigoreach.worker;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes and reads the messages between controllers and workers: heartbeats and commands. */
public final class WorkerCodec {
    /** Path at a controller that receives heartbeats. */
    public static final String HEARTBEAT_PATH = "/checkin";
    /** Path at a worker that receives direct commands. */
    public static final String DIRECT_COMMANDS_PATH = "/do";
    /** Path at a worker that returns its status. */
    public static final String INSPECT_PATH = "/inspect";

    /** The response to an accepted heartbeat: commands with the leader's fencing token. */
    public record HeartbeatResponse(FencingToken token, List<WorkerCommand> commands) {}

    /**
     * Commands that the leader sends to a worker's address outside heartbeat responses, for one incarnation of the
     * worker. The token and the incarnation are null if absent.
     */
    public record DirectCommands(FencingToken token, Long incarnation, List<WorkerCommand> commands) {}

    private WorkerCodec() {}

    /** Writes a heartbeat. */
    public static Map<String, Object> write(Heartbeat heartbeat) {
        return MessagePackFormat.map(
                "box", heartbeat.machine().text(),
                "endpoint", heartbeat.address(),
                "boxkind", heartbeat.pool().type(),
                "hall", heartbeat.pool().zone(),
                "loaners", heartbeat.pool().spot(),
                "shift", heartbeat.number().incarnation(),
                "serial", heartbeat.number().sequence(),
                "baton", heartbeat.token().value(),
                "warning_s", secondsOrNull(heartbeat.preemptionNotice()),
                "pieces", heartbeat.tasks().stream().map(WorkerCodec::write).toList());
    }

    private static Double secondsOrNull(Span time) {
        return time == null ? null : time.seconds();
    }

    private static Map<String, Object> write(TaskStatus status) {
        Map<String, Object> fields = MessagePackFormat.map(
                "piece",
                status.task().toString(),
                "try",
                status.attempt().value(),
                "status",
                stateName(status.state()));
        if (status.state() == TaskState.EXITED) {
            fields.put("cause", status.exitCause().name().toLowerCase(Locale.ROOT));
            if (status.checkpointSaved()) {
                fields.put("kept", true);
            }
        }
        return fields;
    }

    /** Reads a heartbeat. Throws a {@link WireException} if it is malformed. */
    public static Heartbeat read(Fields fields) {
        try {
            List<TaskStatus> tasks = new ArrayList<>();
            for (Fields task : fields.children("pieces")) {
                tasks.add(readStatus(task));
            }
            return new Heartbeat(
                    new MachineId(fields.text("box")),
                    fields.text("endpoint"),
                    new MachinePool(fields.text("boxkind"), fields.text("hall"), fields.flag("loaners", false)),
                    new HeartbeatNumber(fields.wholeNumber("shift"), fields.wholeNumber("serial")),
                    new FencingToken(fields.wholeNumber("baton", 0)),
                    fields.has("warning_s") ? Span.seconds(Math.max(0, fields.number("warning_s"))) : null,
                    tasks);
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    private static TaskStatus readStatus(Fields fields) {
        TaskState state = parseState(fields.text("status"));
        return new TaskStatus(
                TaskId.parse(fields.text("piece")),
                new Attempt(fields.wholeNumber("try")),
                state,
                state == TaskState.EXITED ? parseCause(fields.optionalText("cause")) : null,
                fields.flag("kept", false));
    }

    /** Parses a task state. An unknown state is read as running, because the worker has reported that the task exists. */
    private static TaskState parseState(String text) {
        return switch (text) {
            case "pulling" -> TaskState.FETCHING;
            case "saving" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.RUNNING;
        };
    }

    private static String stateName(TaskState state) {
        return switch (state) {
            case FETCHING -> "pulling";
            case SAVING -> "saving";
            case EXITED -> "exited";
            case START_SENT, RUNNING -> "running";
        };
    }

    private static ExitCause parseCause(String text) {
        return switch (text == null ? "" : text) {
            case "done" -> ExitCause.DONE;
            case "stopped" -> ExitCause.STOPPED;
            case "error" -> ExitCause.ERROR;
            case "full" -> ExitCause.FULL;
            case "in_use" -> ExitCause.IN_USE;
            case "unknown" -> ExitCause.UNKNOWN;
            default -> ExitCause.OTHER;
        };
    }

    /** Writes the response to an accepted heartbeat. */
    public static Map<String, Object> writeResponse(FencingToken token, List<WorkerCommand> commands) {
        return MessagePackFormat.map(
                "baton",
                token.value(),
                "orders",
                commands.stream().map(WorkerCodec::write).toList());
    }

    /**
     * Reads the response to an accepted heartbeat. A missing token is read as -1, below every valid token, so that the worker
     * discards the response.
     */
    public static HeartbeatResponse readResponse(Fields fields) {
        return new HeartbeatResponse(new FencingToken(fields.wholeNumber("baton", -1)), readCommands(fields));
    }

    /** Writes direct commands. */
    public static Map<String, Object> writeDirectCommands(DirectCommands direct) {
        Map<String, Object> fields = writeResponse(direct.token(), direct.commands());
        fields.put("shift", direct.incarnation());
        return fields;
    }

    /** Reads direct commands. */
    public static DirectCommands readDirectCommands(Fields fields) {
        return new DirectCommands(
                fields.has("baton") ? new FencingToken(fields.wholeNumber("baton")) : null,
                fields.has("shift") ? (Long) fields.wholeNumber("shift") : null,
                readCommands(fields));
    }

    private static Map<String, Object> write(WorkerCommand command) {
        String verb = command instanceof WorkerCommand.Start
                ? "start"
                : command instanceof WorkerCommand.Stop ? "stop" : "reap";
        Map<String, Object> fields = MessagePackFormat.map(
                "verb",
                verb,
                "piece",
                command.task().toString(),
                "try",
                command.attempt().value());
        if (command instanceof WorkerCommand.Stop stop) {
            fields.put("wind_down_s", Math.max(0, stop.gracePeriod().seconds()));
        }
        return fields;
    }

    private static List<WorkerCommand> readCommands(Fields fields) {
        List<WorkerCommand> commands = new ArrayList<>();
        try {
            for (Fields command : fields.children("orders")) {
                commands.add(readCommand(command));
            }
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
        return commands;
    }

    private static WorkerCommand readCommand(Fields fields) {
        TaskId task = TaskId.parse(fields.text("piece"));
        Attempt attempt = new Attempt(fields.wholeNumber("try"));
        return switch (fields.text("verb")) {
            case "start" -> new WorkerCommand.Start(task, attempt);
            case "stop" -> new WorkerCommand.Stop(task, attempt, Span.seconds(fields.number("wind_down_s", 0)));
            case "reap" -> new WorkerCommand.Reap(task, attempt);
            default -> throw Fields.invalid("verb");
        };
    }

    /** Writes the response of a node that is not the leader. If {@code leader} is null, the worker tries the next node. */
    public static Map<String, Object> writeLeader(String leader) {
        return leader == null ? Map.of() : MessagePackFormat.map("foreman", leader);
    }

    /** Returns the leader's address from a response with status 421, or null if the leader is unknown. */
    public static String readLeaderAddress(Fields fields) {
        return fields.optionalText("foreman");
    }
}
