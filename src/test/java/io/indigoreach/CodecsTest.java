package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.indigoreach.api.JobCodec;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import io.indigoreach.state.StateClient.Txn;
import io.indigoreach.state.StateCodec;
import io.indigoreach.worker.WorkerCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Messages survive encoding to bytes and decoding. The field names are those of the protocol's examples. */
class CodecsTest {
    private static final TaskId TASK = new TaskId(new JobId("run-000412"), 3);

    private static Fields sent(Map<String, Object> message) {
        return MessagePackFormat.readMap(MessagePackFormat.write(message));
    }

    @Test
    void jobs() {
        JobSpec full = JobSpec.builder(new JobId("run-000412"))
                .jobClass("train")
                .team("vision")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.BEST_EFFORT)
                .tasks(16)
                .demand(new Demand(8, 1, 64))
                .image("img-07")
                .imageGb(6.2)
                .types(List.of("g8"))
                .zone("a")
                .oneZone()
                .spread()
                .spotAllowed()
                .estimate(Span.seconds(240))
                .checkpointEvery(Span.seconds(30))
                .checkpointTime(Span.seconds(4))
                .due(Span.seconds(900))
                .build();
        JobSpec bare = JobSpec.builder(new JobId("run-1"))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.HIGH)
                .tasks(1)
                .demand(new Demand(1, 0, 1))
                .image("i")
                .imageGb(0)
                .build();
        assertEquals(full, JobCodec.read(sent(JobCodec.write(full))));
        assertEquals(bare, JobCodec.read(sent(JobCodec.write(bare))));
        JobSpec chained = bare.with(JobDependencies.of(List.of(new JobId("run-007"), new JobId("run-8"))));
        assertEquals(chained, JobCodec.read(sent(JobCodec.write(chained))));
        assertEquals(
                List.of(
                        "id",
                        "jobclass",
                        "owner",
                        "shape",
                        "urgency",
                        "pieces",
                        "cores",
                        "gpus",
                        "ram_gb",
                        "bundle",
                        "pull_gb",
                        "boxkinds",
                        "hall",
                        "one_zone",
                        "spread",
                        "loaners",
                        "expected_s",
                        "snapshot_every_s",
                        "snapshot_s",
                        "due_s"),
                new ArrayList<>(JobCodec.write(full).keySet()));
    }

    @Test
    void reports() {
        List<TaskStatus> tasks = new ArrayList<>();
        for (TaskState s : List.of(TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING)) {
            tasks.add(new TaskStatus(TASK, new Attempt(2), s, null, false));
        }
        for (ExitCause c : ExitCause.values()) {
            tasks.add(new TaskStatus(TASK, new Attempt(3), TaskState.EXITED, c, c == ExitCause.STOPPED));
        }
        for (Span notice : new Span[] {null, Span.seconds(7)}) {
            Heartbeat heartbeat = new Heartbeat(
                    new MachineId("vm-000231"),
                    "10.1.0.232:9000",
                    new MachinePool("g8", "a", true),
                    new HeartbeatNumber(1, 88),
                    new FencingToken(41),
                    notice,
                    tasks);
            assertEquals(heartbeat, WorkerCodec.read(sent(WorkerCodec.write(heartbeat))));
        }
    }

    static Stream<Arguments> orders() {
        return Stream.of(
                Arguments.of(new WorkerCommand.Start(TASK, new Attempt(2)), "{verb=start, piece=run-000412/3, try=2}"),
                Arguments.of(
                        new WorkerCommand.Stop(TASK, new Attempt(2), Span.seconds(10)),
                        "{verb=stop, piece=run-000412/3, try=2, wind_down_s=10.0}"),
                Arguments.of(new WorkerCommand.Reap(TASK, new Attempt(2)), "{verb=reap, piece=run-000412/3, try=2}"));
    }

    @ParameterizedTest
    @MethodSource
    void orders(WorkerCommand command, String words) {
        WorkerCodec.HeartbeatResponse a =
                WorkerCodec.readResponse(sent(WorkerCodec.writeResponse(new FencingToken(41), List.of(command))));
        assertEquals(List.of(command), a.commands());
        assertEquals(41, a.token().value());
        assertEquals(
                "[" + words + "]",
                WorkerCodec.writeResponse(new FencingToken(41), List.of(command))
                        .get("orders")
                        .toString());
        WorkerCodec.Direct d = new WorkerCodec.Direct(new FencingToken(41), 5L, List.of(command));
        assertEquals(d, WorkerCodec.readDirect(sent(WorkerCodec.writeDirect(d))));
    }

    /** A response without a token gets a token below all others; a response with an invalid command is rejected as a whole. */
    @Test
    void answersThatLackSomething() {
        assertEquals(-1, WorkerCodec.readResponse(sent(Map.of())).token().value());
        assertThrows(
                WireException.class,
                () -> WorkerCodec.readResponse(sent(MessagePackFormat.map(
                        "orders", List.of(MessagePackFormat.map("verb", "dance", "piece", "run-1/0", "try", 1))))));
        assertThrows(
                WireException.class,
                () -> WorkerCodec.readResponse(sent(MessagePackFormat.map(
                        "orders", List.of(MessagePackFormat.map("verb", "reap", "piece", "nonsense", "try", 1))))));
    }

    @Test
    void transactions() {
        Txn txn = new Txn()
                .when("a/b", Revision.ABSENT)
                .put("a/b", MessagePackFormat.map("n", 1L), 7)
                .put("x", MessagePackFormat.map("n", 2L))
                .delete("c/d");
        Txn read = StateCodec.readTxn(sent(StateCodec.writeTxn(txn)));
        assertEquals(txn.conditions(), read.conditions());
        assertEquals(txn.writes(), read.writes());
        assertEquals(
                "{when=[{path=a/b, stamp=0}], writes=[{write=a/b, data={n=1}, permit=7}, {write=x, data={n=2}}, "
                        + "{delete=c/d}]}",
                StateCodec.writeTxn(txn).toString());
    }
}
