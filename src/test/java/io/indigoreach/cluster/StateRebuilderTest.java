package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.config.Settings;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.RememberedStateCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A try that ended half-way is followed by another of the same leadership, which names no page that is there. */
class StateRebuilderTest {
    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    void aSecondTryRecordsTheMachinesThatTheFirstDidNot() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            StateClient client = new StateClient(
                    new ServiceClient(vertx, state.endpoint(), 2), new ServiceClient(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            LeadershipTerm.Context context = new LeadershipTerm.Context(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineStoreTest.config(),
                    Settings.standard(),
                    Span.seconds(10));
            StateClient.Outcome taken =
                    await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, MessagePackFormat.map("t", 1L))));
            RememberedState rememberedState = new RememberedState();
            for (int n = 1; n < 3; n++) {
                Moment now = clock.now();
                rememberedState.add(new RememberedState.RentedMachine(
                        new MachineId("vm-" + n), new MachinePool("quad", "a", true), now, now));
                await(new StateRebuilder(
                                context, new FencingToken(3), taken.stamp(), new RateLimiter(100, now), rememberedState)
                        .run());
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
            StateClient client = new StateClient(
                    new ServiceClient(vertx, state.endpoint(), 2), new ServiceClient(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            Parts parts = Parts.of(
                    List.of(new Parts.Kind(
                            Settings.Setting.CHECK_S,
                            List.of(new RecordFamily("x/", 10, true, RecordFamily.Mending.NEWER)),
                            ground -> null)),
                    vertx,
                    client,
                    clock,
                    null,
                    MachineStoreTest.config(),
                    Settings.standard());
            LeadershipTerm.Context context = new LeadershipTerm.Context(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineStoreTest.config(),
                    Settings.standard(),
                    Span.seconds(10),
                    parts);
            StateClient.Outcome taken = await(client.commit(new StateClient.Txn()
                    .put(RecordCodec.LEADER, MessagePackFormat.map("t", 1L))
                    .put("x/older", MessagePackFormat.map("n", 1L, VersionedRecord.VERSION, 1L))
                    .put("x/newer", MessagePackFormat.map("n", 9L, VersionedRecord.VERSION, 9L))));
            RememberedState rememberedState = new RememberedState();
            for (String key : List.of("x/gone", "x/older", "x/newer", "y/other")) {
                rememberedState.add(new VersionedRecord(
                        key, MessagePackFormat.map("n", 4L, VersionedRecord.VERSION, 4L), Revision.ABSENT));
            }
            RememberedState told = new RememberedState();
            RememberedStateCodec.read(
                    MessagePackFormat.readMap(MessagePackFormat.write(RememberedStateCodec.write(rememberedState, 0))),
                    told);
            await(new StateRebuilder(
                            context, new FencingToken(3), taken.stamp(), new RateLimiter(100, clock.now()), told)
                    .run());
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
            StateClient client = new StateClient(
                    new ServiceClient(vertx, state.endpoint(), 2), new ServiceClient(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            LeadershipTerm.Context context = new LeadershipTerm.Context(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineStoreTest.config(),
                    Settings.standard(),
                    Span.seconds(10));
            StateClient.Txn before = new StateClient.Txn()
                    .put(RecordCodec.LEADER, MessagePackFormat.map("t", 1L))
                    .put("j/run-1", MessagePackFormat.map("at", "x"))
                    .put("j/run-2", MessagePackFormat.map())
                    .put("p/run-3/0", MessagePackFormat.map("bits", 7L));
            RememberedState rememberedState = new RememberedState();
            for (int n = 10; n < 500; n++) {
                JobId id = new JobId("run-" + n);
                before.put(RecordCodec.finalKey(id), RecordCodec.writeFinal(JobStatus.DONE, 1));
                rememberedState.add(id, new RememberedState.FinishedJob(JobStatus.DONE, 1));
            }
            int limit = state.txnOps;
            state.txnOps = before.size();
            StateClient.Outcome taken = await(client.commit(before));
            state.txnOps = limit;
            JobSpec spec = JobSpec.builder(new JobId("run-1"))
                    .jobClass("c")
                    .team("t")
                    .kind(JobKind.ARRAY)
                    .urgency(Urgency.STANDARD)
                    .tasks(2)
                    .demand(new Demand(1, 0, 1))
                    .image("img")
                    .imageGb(0)
                    .spotAllowed()
                    .estimate(Span.seconds(10))
                    .build();
            rememberedState.add(new RememberedState.OpenJob(spec, 1, new BitSet(), 2));
            rememberedState.add(new JobId("run-2"), new RememberedState.FinishedJob(JobStatus.CANCELLED, 0));
            int changes = state.changed;
            await(new StateRebuilder(
                            context,
                            new FencingToken(3),
                            taken.stamp(),
                            new RateLimiter(1000, clock.now()),
                            rememberedState)
                    .run());
            assertEquals(
                    "t",
                    RecordCodec.readJob(spec.id(), state.value("j/run-1"), Revision.ABSENT)
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
