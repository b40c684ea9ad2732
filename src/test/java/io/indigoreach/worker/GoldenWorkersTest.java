package io.indigoreach.worker;

import io.indigoreach.GoldenFile;
import io.indigoreach.core.Attempt;
import io.indigoreach.core.ExitCause;
import io.indigoreach.core.JobId;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Workers' reports and the orders that they are answered with. */
class GoldenWorkersTest {
    private static final JobId JOB = new JobId("run-000412");

    private static WorkerReport report(Span notice, List<TaskReport> tasks) {
        return new WorkerReport(
                new MachineId("vm-000231"),
                "10.1.0.232:9000",
                new Pool("g8", "a", true),
                new ReportNumber(1_700_000_000_123L, 88),
                new Token(7_000_001),
                notice,
                tasks);
    }

    private static List<TaskReport> tasks() {
        List<TaskReport> tasks = new ArrayList<>();
        for (TaskState s : List.of(TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING)) {
            tasks.add(new TaskReport(new TaskId(JOB, tasks.size()), new Attempt(2), s, null, false));
        }
        for (ExitCause c : ExitCause.values()) {
            for (boolean saved : new boolean[] {false, true}) {
                tasks.add(new TaskReport(
                        new TaskId(JOB, tasks.size()), new Attempt(7_000_001_000L), TaskState.EXITED, c, saved));
            }
        }
        return tasks;
    }

    private static List<Order> orders() {
        TaskId task = new TaskId(JOB, 3);
        return List.of(
                new Order.Start(task, new Attempt(2)),
                new Order.Stop(task, new Attempt(7_000_001_000L), Span.seconds(10.5)),
                new Order.Stop(task, new Attempt(1), Span.ZERO),
                new Order.Forget(task, new Attempt(2)));
    }

    private static Map<String, Object> sent(Map<String, Object> task) {
        return Wire.map(
                "box",
                "vm-1",
                "endpoint",
                "h:1",
                "boxkind",
                "k",
                "hall",
                "z",
                "shift",
                1L,
                "serial",
                2L,
                "pieces",
                List.of(task));
    }

    private static Map<String, Object> readReport(Fields f) {
        return WorkerCodec.write(WorkerCodec.read(f));
    }

    private static Map<String, Object> write(WorkerCodec.Answer a) {
        return WorkerCodec.answer(a.token(), a.orders());
    }

    @Test
    void whatWorkersAndNodesSay() {
        GoldenFile golden = new GoldenFile("workers.txt");
        golden.text("path of reports", WorkerCodec.REPORT)
                .text("path of direct orders", WorkerCodec.DIRECT)
                .text("path of inspections", WorkerCodec.INSPECT);
        golden.both("report without tasks", report(null, List.of()), WorkerCodec::write, WorkerCodec::read)
                .both("report of every task", report(null, tasks()), WorkerCodec::write, WorkerCodec::read)
                .both("report with notice", report(Span.seconds(7.5), tasks()), WorkerCodec::write, WorkerCodec::read)
                .read(
                        "report of a first contact",
                        sent(Wire.map("piece", "run-1/0", "try", 1L, "status", "dancing")),
                        GoldenWorkersTest::readReport)
                .read(
                        "report of another cause",
                        sent(Wire.map("piece", "run-1/0", "try", 1L, "status", "exited", "cause", "meteor")),
                        GoldenWorkersTest::readReport)
                .read(
                        "report without a cause",
                        sent(Wire.map("piece", "run-1/0", "try", 1L, "status", "exited")),
                        GoldenWorkersTest::readReport)
                .refused(
                        "report of no task",
                        sent(Wire.map("piece", "run-1", "try", 1L, "status", "running")),
                        WorkerCodec::read)
                .refused(
                        "report of a task without a try",
                        sent(Wire.map("piece", "run-1/0", "status", "running")),
                        WorkerCodec::read)
                .refused("empty report", Map.of(), WorkerCodec::read);
        golden.both(
                        "answer without orders",
                        new WorkerCodec.Answer(new Token(41), List.of()),
                        GoldenWorkersTest::write,
                        WorkerCodec::readAnswer)
                .both(
                        "answer of every order",
                        new WorkerCodec.Answer(new Token(7_000_001), orders()),
                        GoldenWorkersTest::write,
                        WorkerCodec::readAnswer)
                .read("answer without a token", Wire.map("orders", List.of()), f -> write(WorkerCodec.readAnswer(f)))
                .read(
                        "stop without a time",
                        Wire.map(
                                "baton",
                                3L,
                                "orders",
                                List.of(Wire.map("verb", "stop", "piece", "run-1/0", "try", 1L))),
                        f -> write(WorkerCodec.readAnswer(f)))
                .refused(
                        "answer of another order",
                        Wire.map(
                                "baton",
                                3L,
                                "orders",
                                List.of(Wire.map("verb", "dance", "piece", "run-1/0", "try", 1L))),
                        WorkerCodec::readAnswer)
                .written("sent elsewhere", WorkerCodec.elsewhere("10.0.0.1:8080"))
                .written("sent to anyone", WorkerCodec.elsewhere(null))
                .again("sent elsewhere, read", "10.0.0.1:8080", WorkerCodec::elsewhere, WorkerCodec::readElsewhere);
        golden.both(
                        "direct orders",
                        new WorkerCodec.Direct(new Token(41), 5L, orders()),
                        WorkerCodec::direct,
                        WorkerCodec::readDirect)
                .both(
                        "direct orders without a session",
                        new WorkerCodec.Direct(new Token(41), null, List.of()),
                        WorkerCodec::direct,
                        WorkerCodec::readDirect);
        golden.check();
    }
}
