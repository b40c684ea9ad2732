package io.indigoreach.cluster;

import static io.indigoreach.cluster.TermFixture.await;
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
import io.indigoreach.parts.Parts;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RememberedStateCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What is missing in the state service is written from memory, what is there stays, and an attempt that ended can be repeated. */
class StateRebuilderTest {
    private static final FencingToken TOKEN = new FencingToken(3);
    private TermFixture fixture;
    private StateStandIn state;

    @BeforeEach
    void start() throws Exception {
        fixture = new TermFixture();
        state = fixture.state;
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private void rebuild(NodeContext context, Revision leadershipRevision, int writesPerS, RememberedState remembered)
            throws Exception {
        RateLimiter writeLimiter = new RateLimiter(writesPerS, fixture.clock.now());
        await(new StateRebuilder(context, TOKEN, leadershipRevision, writeLimiter, remembered).run());
    }

    private int recordedMachines() {
        return state.keys("m/").stream()
                .mapToInt(
                        key -> MachineRecordCodec.readMachines(state.value(key)).size())
                .sum();
    }

    /** The second attempt of a leadership term names no page that is there. */
    @Test
    void secondAttemptRecordsTheMachinesThatTheFirstDidNot() throws Exception {
        NodeContext context = fixture.context();
        Revision leadershipRevision = fixture.gainLeadership(1);
        RememberedState remembered = new RememberedState();
        for (int machines = 1; machines < 3; machines++) {
            Moment now = fixture.clock.now();
            remembered.add(new RememberedState.RentedMachine(
                    new MachineId("vm-" + machines), new MachinePool("quad", "a", true), now, now));
            rebuild(context, leadershipRevision, 100, remembered);
            assertEquals(machines, recordedMachines());
        }
        assertEquals(List.of("m/3-r1", "m/3-r2"), state.keys("m/"));
    }

    private static Map<String, Object> featureRecord(long number) {
        return MessagePackFormat.map("n", number, VersionedRecord.VERSION, number);
    }

    /** As another node receives it. */
    private static RememberedState sent(RememberedState remembered) {
        RememberedState received = new RememberedState();
        RememberedStateCodec.read(
                MessagePackFormat.readMap(MessagePackFormat.write(RememberedStateCodec.write(remembered, 0))),
                received);
        return received;
    }

    /** What is absent or older than a copy is written, what is newer stays, a key of no family is left alone. */
    @Test
    void featureRecordsAreWrittenByTheirVersions() throws Exception {
        NodeContext context = fixture.context(List.of(new Parts.Definition(
                Settings.Setting.CHECK_S,
                List.of(new RecordFamily("x/", 10, true, RecordFamily.Mending.NEWER)),
                ground -> null)));
        Revision leadershipRevision = fixture.gainLeadership(
                1, new StateClient.Txn().put("x/older", featureRecord(1)).put("x/newer", featureRecord(9)));
        RememberedState remembered = new RememberedState();
        for (String key : List.of("x/gone", "x/older", "x/newer", "y/other")) {
            remembered.add(new VersionedRecord(key, featureRecord(4), Revision.ABSENT));
        }
        rebuild(context, leadershipRevision, 100, sent(remembered));
        assertEquals(List.of("x/gone", "x/newer", "x/older"), state.keys("x/"));
        assertEquals(
                List.of(4L, 9L, 4L),
                state.keys("x/").stream()
                        .map(key -> state.value(key).wholeNumber("n"))
                        .toList());
        assertEquals(List.of(), state.keys("y/"));
    }

    private static JobSpec spec(String id) {
        return JobSpec.builder(new JobId(id))
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
    }

    /** A leadership key beside more records than a transaction may usually have. */
    private Revision gainLeadershipWithoutLimit(StateClient.Txn records) throws Exception {
        int limit = state.txnOps;
        state.txnOps = records.size() + 1;
        Revision leadershipRevision = fixture.gainLeadership(1, records);
        state.txnOps = limit;
        return leadershipRevision;
    }

    /**
     * Guards against a record that cannot be read and stops every rebuild, so that nobody leads and nothing is accepted: it is
     * written anew like one that is gone. Ends that are there cost no write, where thousands are remembered and one is missing.
     */
    @Test
    void unreadableRecordsAreRebuiltAndPresentOnesCostNothing() throws Exception {
        NodeContext context = fixture.context();
        StateClient.Txn before = new StateClient.Txn()
                .put("j/run-1", MessagePackFormat.map("at", "x"))
                .put("j/run-2", MessagePackFormat.map())
                .put("p/run-3/0", MessagePackFormat.map("bits", 7L));
        RememberedState remembered = new RememberedState();
        for (int number = 10; number < 500; number++) {
            JobId id = new JobId("run-" + number);
            before.put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(JobStatus.DONE, 1));
            remembered.add(id, new RememberedState.FinishedJob(JobStatus.DONE, 1));
        }
        Revision leadershipRevision = gainLeadershipWithoutLimit(before);
        JobSpec spec = spec("run-1");
        remembered.add(new RememberedState.OpenJob(spec, 1, new BitSet(), 2));
        remembered.add(new JobId("run-2"), new RememberedState.FinishedJob(JobStatus.CANCELLED, 0));
        int changes = state.changed;
        rebuild(context, leadershipRevision, 1000, remembered);
        assertEquals(
                "t",
                JobRecordCodec.readJob(spec.id(), state.value("j/run-1"), Revision.ABSENT)
                        .spec()
                        .team());
        assertEquals(List.of("j/run-1"), state.keys("j/"));
        assertEquals(
                JobStatus.CANCELLED,
                JobRecordCodec.readFinal(spec.id(), state.value("f/run-2")).status());
        assertEquals(4, state.changed - changes, "one record, an end and its move, the era");
    }
}
