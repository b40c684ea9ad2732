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
import java.util.Map;

/** The workers' words for reports and orders. */
public final class WorkerCodec {
    private WorkerCodec() {
    }

    public static WorkerReport read(Fields f) {
        List<TaskReport> tasks = new ArrayList<>();
        try {
            for (Fields t : f.children("pieces")) {
                TaskState state = state(t.text("status"));
                tasks.add(new TaskReport(TaskId.parse(t.text("piece")), new Attempt(t.whole("try")), state,
                        state == TaskState.EXITED ? cause(t.optionalText("cause")) : null, t.flag("kept", false)));
            }
            return new WorkerReport(new MachineId(f.text("box")), f.text("endpoint"),
                    new Pool(f.text("boxkind"), f.text("hall"), f.flag("loaners", false)),
                    new ReportNumber(f.whole("shift"), f.whole("serial")), new Token(f.whole("baton", 0)),
                    f.has("warning_s") ? Span.seconds(Math.max(0, f.number("warning_s"))) : null, tasks);
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
        List<Object> list = new ArrayList<>(orders.size());
        for (Order order : orders) {
            String task = order.task().toString();
            long attempt = order.attempt().value();
            if (order instanceof Order.Start) {
                list.add(Wire.map("verb", "start", "piece", task, "try", attempt));
            } else if (order instanceof Order.Stop stop) {
                list.add(Wire.map("verb", "stop", "piece", task, "try", attempt,
                        "wind_down_s", Math.max(0, stop.grace().seconds())));
            } else {
                list.add(Wire.map("verb", "reap", "piece", task, "try", attempt));
            }
        }
        return Wire.map("baton", token.value(), "orders", list);
    }

    /** Where to report instead; without a node, the worker tries the next one. */
    public static Map<String, Object> elsewhere(String leader) {
        return leader == null ? Map.of() : Wire.map("foreman", leader);
    }
}
