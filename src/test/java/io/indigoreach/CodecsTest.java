package io.indigoreach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.indigoreach.api.JobCodec;
import io.indigoreach.core.model.Attempt;
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
import io.indigoreach.core.model.Resources;
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

    private static Fields encodeAndDecode(Map<String, Object> message) {
        return MessagePackFormat.readMap(MessagePackFormat.write(message));
    }

    @Test
    void jobsRoundTrip() {
        JobSpec full = JobSpec.builder(new JobId("run-000412"))
                .jobClass("train")
                .team("vision")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.BEST_EFFORT)
                .taskCount(16)
                .demand(new Resources(8, 1, 64))
                .image("img-07")
                .imageGb(6.2)
                .machineTypes(List.of("g8"))
                .zone("a")
                .singleZone()
                .spreadOverZones()
                .spotAllowed()
                .estimatedRunTime(Span.seconds(240))
                .checkpointInterval(Span.seconds(30))
                .checkpointDuration(Span.seconds(4))
                .relativeDeadline(Span.seconds(900))
                .build();
        JobSpec minimal = JobSpec.builder(new JobId("run-1"))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.HIGH)
                .taskCount(1)
                .demand(new Resources(1, 0, 1))
                .image("i")
                .imageGb(0)
                .build();
        assertEquals(full, JobCodec.read(encodeAndDecode(JobCodec.write(full))));
        assertEquals(minimal, JobCodec.read(encodeAndDecode(JobCodec.write(minimal))));
        JobSpec dependent = minimal.with(JobDependencies.of(List.of(new JobId("run-007"), new JobId("run-8"))));
        assertEquals(dependent, JobCodec.read(encodeAndDecode(JobCodec.write(dependent))));
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
    void heartbeatsRoundTrip() {
        List<TaskStatus> tasks = new ArrayList<>();
        for (TaskState state : List.of(TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING)) {
            tasks.add(new TaskStatus(TASK, new Attempt(2), state, null, false));
        }
        for (ExitCause cause : ExitCause.values()) {
            tasks.add(new TaskStatus(TASK, new Attempt(3), TaskState.EXITED, cause, cause == ExitCause.STOPPED));
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
            assertEquals(heartbeat, WorkerCodec.read(encodeAndDecode(WorkerCodec.write(heartbeat))));
        }
    }

    static Stream<Arguments> commandsRoundTrip() {
        return Stream.of(
                Arguments.of(new WorkerCommand.Start(TASK, new Attempt(2)), "{verb=start, piece=run-000412/3, try=2}"),
                Arguments.of(
                        new WorkerCommand.Stop(TASK, new Attempt(2), Span.seconds(10)),
                        "{verb=stop, piece=run-000412/3, try=2, wind_down_s=10.0}"),
                Arguments.of(new WorkerCommand.Reap(TASK, new Attempt(2)), "{verb=reap, piece=run-000412/3, try=2}"));
    }

    @ParameterizedTest
    @MethodSource
    void commandsRoundTrip(WorkerCommand command, String expectedText) {
        WorkerCodec.HeartbeatResponse response = WorkerCodec.readResponse(
                encodeAndDecode(WorkerCodec.writeResponse(new FencingToken(41), List.of(command))));
        assertEquals(List.of(command), response.commands());
        assertEquals(41, response.token().value());
        assertEquals(
                "[" + expectedText + "]",
                WorkerCodec.writeResponse(new FencingToken(41), List.of(command))
                        .get("orders")
                        .toString());
        WorkerCodec.DirectCommands direct = new WorkerCodec.DirectCommands(new FencingToken(41), 5L, List.of(command));
        assertEquals(direct, WorkerCodec.readDirectCommands(encodeAndDecode(WorkerCodec.writeDirectCommands(direct))));
    }

    /** A response without a token gets a token below all others; a response with an invalid command is rejected as a whole. */
    @Test
    void incompleteResponses() {
        assertEquals(
                -1, WorkerCodec.readResponse(encodeAndDecode(Map.of())).token().value());
        assertThrows(
                WireException.class,
                () -> WorkerCodec.readResponse(encodeAndDecode(MessagePackFormat.map(
                        "orders", List.of(MessagePackFormat.map("verb", "dance", "piece", "run-1/0", "try", 1))))));
        assertThrows(
                WireException.class,
                () -> WorkerCodec.readResponse(encodeAndDecode(MessagePackFormat.map(
                        "orders", List.of(MessagePackFormat.map("verb", "reap", "piece", "nonsense", "try", 1))))));
    }

    @Test
    void transactionsRoundTrip() {
        Txn txn = new Txn()
                .when("a/b", Revision.ABSENT)
                .put("a/b", MessagePackFormat.map("n", 1L), 7)
                .put("x", MessagePackFormat.map("n", 2L))
                .delete("c/d");
        Txn decoded = StateCodec.readTxn(encodeAndDecode(StateCodec.writeTxn(txn)));
        assertEquals(txn.conditions(), decoded.conditions());
        assertEquals(txn.writes(), decoded.writes());
        assertEquals(
                "{when=[{path=a/b, stamp=0}], writes=[{write=a/b, data={n=1}, permit=7}, {write=x, data={n=2}}, "
                        + "{delete=c/d}]}",
                StateCodec.writeTxn(txn).toString());
    }
}
