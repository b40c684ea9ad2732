package io.indigoreach.worker;

import io.indigoreach.GoldenFile;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compares heartbeats, their responses and direct commands with a golden file. */
class GoldenWorkersTest {
    private static final JobId JOB = new JobId("run-000412");

    private static Heartbeat heartbeat(Span notice, List<TaskStatus> tasks) {
        return new Heartbeat(
                new MachineId("vm-000231"),
                "10.1.0.232:9000",
                new MachinePool("g8", "a", true),
                new HeartbeatNumber(1_700_000_000_123L, 88),
                new FencingToken(7_000_001),
                notice,
                tasks);
    }

    private static List<TaskStatus> tasks() {
        List<TaskStatus> tasks = new ArrayList<>();
        for (TaskState state : List.of(TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING)) {
            tasks.add(new TaskStatus(new TaskId(JOB, tasks.size()), new Attempt(2), state, null, false));
        }
        for (ExitCause cause : ExitCause.values()) {
            for (boolean saved : new boolean[] {false, true}) {
                tasks.add(new TaskStatus(
                        new TaskId(JOB, tasks.size()), new Attempt(7_000_001_000L), TaskState.EXITED, cause, saved));
            }
        }
        return tasks;
    }

    private static List<WorkerCommand> commands() {
        TaskId task = new TaskId(JOB, 3);
        return List.of(
                new WorkerCommand.Start(task, new Attempt(2)),
                new WorkerCommand.Stop(task, new Attempt(7_000_001_000L), Span.seconds(10.5)),
                new WorkerCommand.Stop(task, new Attempt(1), Span.ZERO),
                new WorkerCommand.Reap(task, new Attempt(2)));
    }

    private static Map<String, Object> heartbeatFields(Map<String, Object> task) {
        return MessagePackFormat.map(
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

    private static Map<String, Object> rewriteHeartbeat(Fields fields) {
        return WorkerCodec.write(WorkerCodec.read(fields));
    }

    private static Map<String, Object> write(WorkerCodec.HeartbeatResponse response) {
        return WorkerCodec.writeResponse(response.token(), response.commands());
    }

    @Test
    void messagesMatchTheGoldenFile() {
        GoldenFile golden = new GoldenFile("workers.txt");
        golden.expectText("path of reports", WorkerCodec.HEARTBEAT_PATH)
                .expectText("path of direct orders", WorkerCodec.DIRECT_COMMANDS_PATH)
                .expectText("path of inspections", WorkerCodec.INSPECT_PATH);
        golden.expectRoundTrip(
                        "report without tasks", heartbeat(null, List.of()), WorkerCodec::write, WorkerCodec::read)
                .expectRoundTrip(
                        "report of every task", heartbeat(null, tasks()), WorkerCodec::write, WorkerCodec::read)
                .expectRoundTrip(
                        "report with notice",
                        heartbeat(Span.seconds(7.5), tasks()),
                        WorkerCodec::write,
                        WorkerCodec::read)
                .expectDecoded(
                        "report of a first contact",
                        heartbeatFields(MessagePackFormat.map("piece", "run-1/0", "try", 1L, "status", "dancing")),
                        GoldenWorkersTest::rewriteHeartbeat)
                .expectDecoded(
                        "report of another cause",
                        heartbeatFields(MessagePackFormat.map(
                                "piece", "run-1/0", "try", 1L, "status", "exited", "cause", "meteor")),
                        GoldenWorkersTest::rewriteHeartbeat)
                .expectDecoded(
                        "report without a cause",
                        heartbeatFields(MessagePackFormat.map("piece", "run-1/0", "try", 1L, "status", "exited")),
                        GoldenWorkersTest::rewriteHeartbeat)
                .expectRejected(
                        "report of no task",
                        heartbeatFields(MessagePackFormat.map("piece", "run-1", "try", 1L, "status", "running")),
                        WorkerCodec::read)
                .expectRejected(
                        "report of a task without a try",
                        heartbeatFields(MessagePackFormat.map("piece", "run-1/0", "status", "running")),
                        WorkerCodec::read)
                .expectRejected("empty report", Map.of(), WorkerCodec::read);
        golden.expectRoundTrip(
                        "answer without orders",
                        new WorkerCodec.HeartbeatResponse(new FencingToken(41), List.of()),
                        GoldenWorkersTest::write,
                        WorkerCodec::readResponse)
                .expectRoundTrip(
                        "answer of every order",
                        new WorkerCodec.HeartbeatResponse(new FencingToken(7_000_001), commands()),
                        GoldenWorkersTest::write,
                        WorkerCodec::readResponse)
                .expectDecoded(
                        "answer without a token",
                        MessagePackFormat.map("orders", List.of()),
                        f -> write(WorkerCodec.readResponse(f)))
                .expectDecoded(
                        "stop without a time",
                        MessagePackFormat.map(
                                "baton",
                                3L,
                                "orders",
                                List.of(MessagePackFormat.map("verb", "stop", "piece", "run-1/0", "try", 1L))),
                        f -> write(WorkerCodec.readResponse(f)))
                .expectRejected(
                        "answer of another order",
                        MessagePackFormat.map(
                                "baton",
                                3L,
                                "orders",
                                List.of(MessagePackFormat.map("verb", "dance", "piece", "run-1/0", "try", 1L))),
                        WorkerCodec::readResponse)
                .expectEncoded("sent elsewhere", WorkerCodec.writeLeader("10.0.0.1:8080"))
                .expectEncoded("sent to anyone", WorkerCodec.writeLeader(null))
                .expectReencoded(
                        "sent elsewhere, read",
                        "10.0.0.1:8080",
                        WorkerCodec::writeLeader,
                        WorkerCodec::readLeaderAddress);
        golden.expectRoundTrip(
                        "direct orders",
                        new WorkerCodec.DirectCommands(new FencingToken(41), 5L, commands()),
                        WorkerCodec::writeDirectCommands,
                        WorkerCodec::readDirectCommands)
                .expectRoundTrip(
                        "direct orders without a session",
                        new WorkerCodec.DirectCommands(new FencingToken(41), null, List.of()),
                        WorkerCodec::writeDirectCommands,
                        WorkerCodec::readDirectCommands);
        golden.verify();
    }
}
