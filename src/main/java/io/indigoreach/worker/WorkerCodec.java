package io.indigoreach.worker;

import io.indigoreach.core.Attempt;
import io.indigoreach.core.ExitCause;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.Order;
import io.indigoreach.core.Pool;
import io.indigoreach.core.ReportNumber;
import io.indigoreach.core.Span;
import io.indigoreach.core.TaskId;
import io.indigoreach.core.TaskReport;
import io.indigoreach.core.TaskState;
import io.indigoreach.core.Token;
import io.indigoreach.core.WorkerReport;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Wire;
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
    public record Answer(Token token, List<Order> orders) {}

    /** Orders sent to a worker's own address, for one of its sessions. Without a token or session, these are null. */
    public record Direct(Token token, Long session, List<Order> orders) {}

    private WorkerCodec() {}

    public static Map<String, Object> write(WorkerReport r) {
        List<Object> tasks = new ArrayList<>(r.tasks().size());
        for (TaskReport t : r.tasks()) {
            Map<String, Object> map =
                    Wire.map("piece", t.task().toString(), "try", t.attempt().value(), "status", word(t.state()));
            if (t.state() == TaskState.EXITED) {
                map.put("cause", t.cause().name().toLowerCase(Locale.ROOT));
                if (t.saved()) {
                    map.put("kept", true);
                }
            }
            tasks.add(map);
        }
        return Wire.map(
                "box",
                r.machine().text(),
                "endpoint",
                r.address(),
                "boxkind",
                r.pool().type(),
                "hall",
                r.pool().zone(),
                "loaners",
                r.pool().spot(),
                "shift",
                r.number().session(),
                "serial",
                r.number().serial(),
                "baton",
                r.token().value(),
                "warning_s",
                r.notice() == null ? null : r.notice().seconds(),
                "pieces",
                tasks);
    }

    public static WorkerReport read(Fields f) {
        List<TaskReport> tasks = new ArrayList<>();
        try {
            for (Fields t : f.children("pieces")) {
                TaskState state = state(t.text("status"));
                tasks.add(new TaskReport(
                        TaskId.parse(t.text("piece")),
                        new Attempt(t.whole("try")),
                        state,
                        state == TaskState.EXITED ? cause(t.optionalText("cause")) : null,
                        t.flag("kept", false)));
            }
            return new WorkerReport(
                    new MachineId(f.text("box")),
                    f.text("endpoint"),
                    new Pool(f.text("boxkind"), f.text("hall"), f.flag("loaners", false)),
                    new ReportNumber(f.whole("shift"), f.whole("serial")),
                    new Token(f.whole("baton", 0)),
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

    public static Map<String, Object> answer(Token token, List<Order> orders) {
        return Wire.map(
                "baton",
                token.value(),
                "orders",
                orders.stream().map(WorkerCodec::write).toList());
    }

    /** An answer without a token is to be dropped: its token is lower than any. */
    public static Answer readAnswer(Fields f) {
        return new Answer(new Token(f.whole("baton", -1)), orders(f));
    }

    public static Map<String, Object> direct(Direct d) {
        Map<String, Object> map = answer(d.token(), d.orders());
        map.put("shift", d.session());
        return map;
    }

    public static Direct readDirect(Fields f) {
        return new Direct(
                f.has("baton") ? new Token(f.whole("baton")) : null,
                f.has("shift") ? (Long) f.whole("shift") : null,
                orders(f));
    }

    private static Map<String, Object> write(Order order) {
        String verb = order instanceof Order.Start ? "start" : order instanceof Order.Stop ? "stop" : "reap";
        Map<String, Object> map = Wire.map(
                "verb",
                verb,
                "piece",
                order.task().toString(),
                "try",
                order.attempt().value());
        if (order instanceof Order.Stop stop) {
            map.put("wind_down_s", Math.max(0, stop.grace().seconds()));
        }
        return map;
    }

    private static List<Order> orders(Fields f) {
        List<Order> orders = new ArrayList<>();
        try {
            for (Fields o : f.children("orders")) {
                TaskId task = TaskId.parse(o.text("piece"));
                Attempt attempt = new Attempt(o.whole("try"));
                switch (o.text("verb")) {
                    case "start" -> orders.add(new Order.Start(task, attempt));
                    case "stop" -> orders.add(new Order.Stop(task, attempt, Span.seconds(o.number("wind_down_s", 0))));
                    case "reap" -> orders.add(new Order.Forget(task, attempt));
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
        return leader == null ? Map.of() : Wire.map("foreman", leader);
    }

    /** The node that an answer of 421 names, or null. */
    public static String readElsewhere(Fields f) {
        return f.optionalText("foreman");
    }
}
