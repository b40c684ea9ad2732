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

/** The workers' words for reports and orders. */
public final class WorkerCodec {
    public static final String REPORT = "/checkin";
    public static final String DIRECT = "/do";
    public static final String INSPECT = "/inspect";

    /** The answer to a report that was taken: orders under a token. */
    public record Answer(FencingToken token, List<WorkerCommand> orders) {}

    /** Orders sent to a worker's own address, for one of its sessions. Without a token or session, these are null. */
    public record Direct(FencingToken token, Long session, List<WorkerCommand> orders) {}

    private WorkerCodec() {}

    public static Map<String, Object> write(Heartbeat heartbeat) {
        List<Object> tasks = new ArrayList<>(heartbeat.tasks().size());
        for (TaskStatus status : heartbeat.tasks()) {
            Map<String, Object> map = MessagePackFormat.map(
                    "piece", status.task().toString(), "try", status.attempt().value(), "status", word(status.state()));
            if (status.state() == TaskState.EXITED) {
                map.put("cause", status.cause().name().toLowerCase(Locale.ROOT));
                if (status.saved()) {
                    map.put("kept", true);
                }
            }
            tasks.add(map);
        }
        return MessagePackFormat.map(
                "box",
                heartbeat.machine().text(),
                "endpoint",
                heartbeat.address(),
                "boxkind",
                heartbeat.pool().type(),
                "hall",
                heartbeat.pool().zone(),
                "loaners",
                heartbeat.pool().spot(),
                "shift",
                heartbeat.number().incarnation(),
                "serial",
                heartbeat.number().sequence(),
                "baton",
                heartbeat.token().value(),
                "warning_s",
                heartbeat.preemptionNotice() == null
                        ? null
                        : heartbeat.preemptionNotice().seconds(),
                "pieces",
                tasks);
    }

    public static Heartbeat read(Fields f) {
        List<TaskStatus> tasks = new ArrayList<>();
        try {
            for (Fields t : f.children("pieces")) {
                TaskState state = state(t.text("status"));
                tasks.add(new TaskStatus(
                        TaskId.parse(t.text("piece")),
                        new Attempt(t.whole("try")),
                        state,
                        state == TaskState.EXITED ? cause(t.optionalText("cause")) : null,
                        t.flag("kept", false)));
            }
            return new Heartbeat(
                    new MachineId(f.text("box")),
                    f.text("endpoint"),
                    new MachinePool(f.text("boxkind"), f.text("hall"), f.flag("loaners", false)),
                    new HeartbeatNumber(f.whole("shift"), f.whole("serial")),
                    new FencingToken(f.whole("baton", 0)),
                    f.has("warning_s") ? Span.seconds(Math.max(0, f.number("warning_s"))) : null,
                    tasks);
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    /** A state that is not known counts as running: the task is there. */
    private static TaskState state(String word) {
        return switch (word) {
            case "pulling" -> TaskState.FETCHING;
            case "saving" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.RUNNING;
        };
    }

    private static String word(TaskState state) {
        return switch (state) {
            case FETCHING -> "pulling";
            case SAVING -> "saving";
            case EXITED -> "exited";
            case ORDERED, RUNNING -> "running";
        };
    }

    private static ExitCause cause(String word) {
        return switch (word == null ? "" : word) {
            case "done" -> ExitCause.DONE;
            case "stopped" -> ExitCause.STOPPED;
            case "error" -> ExitCause.ERROR;
            case "full" -> ExitCause.FULL;
            case "in_use" -> ExitCause.IN_USE;
            case "unknown" -> ExitCause.UNKNOWN;
            default -> ExitCause.OTHER;
        };
    }

    public static Map<String, Object> answer(FencingToken token, List<WorkerCommand> orders) {
        return MessagePackFormat.map(
                "baton",
                token.value(),
                "orders",
                orders.stream().map(WorkerCodec::write).toList());
    }

    /** An answer without a token is to be dropped: its token is lower than any. */
    public static Answer readAnswer(Fields f) {
        return new Answer(new FencingToken(f.whole("baton", -1)), orders(f));
    }

    public static Map<String, Object> direct(Direct d) {
        Map<String, Object> map = answer(d.token(), d.orders());
        map.put("shift", d.session());
        return map;
    }

    public static Direct readDirect(Fields f) {
        return new Direct(
                f.has("baton") ? new FencingToken(f.whole("baton")) : null,
                f.has("shift") ? (Long) f.whole("shift") : null,
                orders(f));
    }

    private static Map<String, Object> write(WorkerCommand command) {
        String verb = command instanceof WorkerCommand.Start
                ? "start"
                : command instanceof WorkerCommand.Stop ? "stop" : "reap";
        Map<String, Object> map = MessagePackFormat.map(
                "verb",
                verb,
                "piece",
                command.task().toString(),
                "try",
                command.attempt().value());
        if (command instanceof WorkerCommand.Stop stop) {
            map.put("wind_down_s", Math.max(0, stop.grace().seconds()));
        }
        return map;
    }

    private static List<WorkerCommand> orders(Fields f) {
        List<WorkerCommand> orders = new ArrayList<>();
        try {
            for (Fields o : f.children("orders")) {
                TaskId task = TaskId.parse(o.text("piece"));
                Attempt attempt = new Attempt(o.whole("try"));
                switch (o.text("verb")) {
                    case "start" -> orders.add(new WorkerCommand.Start(task, attempt));
                    case "stop" ->
                        orders.add(new WorkerCommand.Stop(task, attempt, Span.seconds(o.number("wind_down_s", 0))));
                    case "reap" -> orders.add(new WorkerCommand.Reap(task, attempt));
                    default -> throw Fields.invalid("verb");
                }
            }
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
        return orders;
    }

    /** Where to report instead; without a node, the worker tries the next one. */
    public static Map<String, Object> elsewhere(String leader) {
        return leader == null ? Map.of() : MessagePackFormat.map("foreman", leader);
    }

    /** The node that an answer of 421 names, or null. */
    public static String readElsewhere(Fields f) {
        return f.optionalText("foreman");
    }
}
