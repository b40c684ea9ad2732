package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.config.Settings;
import io.indigoreach.core.Demand;
import io.indigoreach.core.JobId;
import io.indigoreach.core.JobSpec;
import io.indigoreach.core.JobStatus;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Pool;
import io.indigoreach.core.Shape;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.Token;
import io.indigoreach.core.Urgency;
import io.indigoreach.core.loss.Remains;
import io.indigoreach.core.records.Family;
import io.indigoreach.core.records.Kept;
import io.indigoreach.net.Budget;
import io.indigoreach.net.Caller;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.Wire;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.RemainsCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A try that ended half-way is followed by another of the same leadership, which names no page that is there. */
class RebuilderTest {
    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    void aSecondTryRecordsTheMachinesThatTheFirstDidNot() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            StateClient client =
                    new StateClient(new Caller(vertx, state.endpoint(), 2), new Caller(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            Reign.Surroundings env = new Reign.Surroundings(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineBookTest.config(),
                    Settings.standard(),
                    Span.seconds(10));
            StateClient.Outcome taken =
                    await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, Wire.map("t", 1L))));
            Remains remains = new Remains();
            for (int n = 1; n < 3; n++) {
                Moment now = clock.now();
                remains.add(new Remains.Rented(new MachineId("vm-" + n), new Pool("quad", "a", true), now, now));
                await(new Rebuilder(env, new Token(3), taken.stamp(), new Budget(100, now), remains).run());
                assertEquals(
                        n,
                        state.keys("m/").stream()
                                .mapToInt(key -> RecordCodec.readMachines(state.value(key))
                                        .size())
                                .sum());
            }
            assertEquals(List.of("m/3-r1", "m/3-r2"), state.keys("m/"));
        } finally {
            await(vertx.close());
        }
    }

    /** Records of parts: what is absent or older than a copy is written, what is newer stays, a key of no family is let be. */
    @Test
    void recordsOfPartsAreWrittenByTheirVersions() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            StateClient client =
                    new StateClient(new Caller(vertx, state.endpoint(), 2), new Caller(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            Parts parts = Parts.of(
                    List.of(new Parts.Kind(
                            Settings.Knob.CHECK_S,
                            List.of(new Family("x/", 10, true, Family.Mending.NEWER)),
                            ground -> null)),
                    vertx,
                    client,
                    clock,
                    null,
                    MachineBookTest.config(),
                    Settings.standard());
            Reign.Surroundings env = new Reign.Surroundings(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineBookTest.config(),
                    Settings.standard(),
                    Span.seconds(10),
                    parts);
            StateClient.Outcome taken = await(client.commit(new StateClient.Txn()
                    .put(RecordCodec.LEADER, Wire.map("t", 1L))
                    .put("x/older", Wire.map("n", 1L, Kept.VERSION, 1L))
                    .put("x/newer", Wire.map("n", 9L, Kept.VERSION, 9L))));
            Remains remains = new Remains();
            for (String key : List.of("x/gone", "x/older", "x/newer", "y/other")) {
                remains.add(new Kept(key, Wire.map("n", 4L, Kept.VERSION, 4L), Stamp.ABSENT));
            }
            Remains told = new Remains();
            RemainsCodec.read(Wire.readMap(Wire.write(RemainsCodec.write(remains, 0))), told);
            await(new Rebuilder(env, new Token(3), taken.stamp(), new Budget(100, clock.now()), told).run());
            assertEquals(List.of("x/gone", "x/newer", "x/older"), state.keys("x/"));
            assertEquals(
                    List.of(4L, 9L, 4L),
                    state.keys("x/").stream()
                            .map(k -> state.value(k).whole("n"))
                            .toList());
            assertEquals(List.of(), state.keys("y/"));
        } finally {
            await(vertx.close());
        }
    }

    /**
     * A record that cannot be read had stopped every rebuilding: nobody led, and nothing was accepted. It is written anew like one
     * that is gone; ends that are there cost no change, where thousands are remembered and one is missing.
     */
    @Test
    void whatCannotBeReadIsRebuiltAndWhatIsThereCostsNothing() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            StateClient client =
                    new StateClient(new Caller(vertx, state.endpoint(), 2), new Caller(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            Reign.Surroundings env = new Reign.Surroundings(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineBookTest.config(),
                    Settings.standard(),
                    Span.seconds(10));
            StateClient.Txn before = new StateClient.Txn()
                    .put(RecordCodec.LEADER, Wire.map("t", 1L))
                    .put("j/run-1", Wire.map("at", "x"))
                    .put("j/run-2", Wire.map())
                    .put("p/run-3/0", Wire.map("bits", 7L));
            Remains remains = new Remains();
            for (int n = 10; n < 500; n++) {
                JobId id = new JobId("run-" + n);
                before.put(RecordCodec.over(id), RecordCodec.writeFinal(JobStatus.DONE, 1));
                remains.add(id, new Remains.Over(JobStatus.DONE, 1));
            }
            int limit = state.txnOps;
            state.txnOps = before.size();
            StateClient.Outcome taken = await(client.commit(before));
            state.txnOps = limit;
            JobSpec spec = new JobSpec(
                    new JobId("run-1"),
                    "c",
                    "t",
                    Shape.ARRAY,
                    Urgency.STANDARD,
                    2,
                    new Demand(1, 0, 1),
                    "img",
                    0,
                    null,
                    null,
                    false,
                    false,
                    true,
                    Span.seconds(10),
                    Span.ZERO,
                    Span.ZERO,
                    null);
            remains.add(new Remains.Open(spec, 1, new BitSet(), 2));
            remains.add(new JobId("run-2"), new Remains.Over(JobStatus.CANCELLED, 0));
            int changes = state.changed;
            await(new Rebuilder(env, new Token(3), taken.stamp(), new Budget(1000, clock.now()), remains).run());
            assertEquals(
                    "t",
                    RecordCodec.readJob(spec.id(), state.value("j/run-1"), Stamp.ABSENT)
                            .spec()
                            .team());
            assertEquals(List.of("j/run-1"), state.keys("j/"));
            assertEquals(
                    JobStatus.CANCELLED,
                    RecordCodec.readFinal(spec.id(), state.value("f/run-2")).status());
            assertEquals(4, state.changed - changes, "one record, an end and its move, the era");
        } finally {
            await(vertx.close());
        }
    }
}
