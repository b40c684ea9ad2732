package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeadershipTermFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.config.Settings;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RememberedStateCodec;
import io.indigoreach.state.StateClient;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A rebuild writes missing records from memory, keeps present records, and can be repeated after it was interrupted. */
class StateRebuilderTest {
    private static final FencingToken TOKEN = new FencingToken(3);
    private LeadershipTermFixture fixture;
    private FakeStateService state;

    @BeforeEach
    void start() throws Exception {
        fixture = new LeadershipTermFixture();
        state = fixture.state;
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private void rebuild(
            NodeContext context, Revision leadershipRevision, int writesPerSecond, RememberedState rememberedState)
            throws Exception {
        RateLimiter writeLimiter = new RateLimiter(writesPerSecond, fixture.clock.now());
        await(new StateRebuilder(context, TOKEN, leadershipRevision, writeLimiter, rememberedState).run());
    }

    private int recordedMachines() {
        return state.keys("m/").stream()
                .mapToInt(
                        key -> MachineRecordCodec.readMachines(state.value(key)).size())
                .sum();
    }

    /** The second attempt of a leadership term uses a page key that does not exist yet. */
    @Test
    void secondAttemptRecordsMissingMachines() throws Exception {
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
        return MessagePackFormat.map("n", number, VersionedRecord.VERSION_FIELD, number);
    }

    /** Encodes and decodes the state, as it is sent between nodes. */
    private static RememberedState encodeAndDecode(RememberedState remembered) {
        RememberedState received = new RememberedState();
        RememberedStateCodec.read(
                MessagePackFormat.readMap(MessagePackFormat.write(RememberedStateCodec.write(remembered, 0))),
                received);
        return received;
    }

    /** Absent records and records older than the copy are written; newer records and keys of unknown families are not. */
    @Test
    void featureRecordsAreWrittenByTheirVersions() throws Exception {
        NodeContext context = fixture.context(List.of(new Parts.Definition(
                Settings.Setting.CHECK_S,
                List.of(new RecordFamily("x/", 10, true, RecordFamily.MergeRule.KEEP_NEWER)),
                ground -> null)));
        Revision leadershipRevision = fixture.gainLeadership(
                1, new StateClient.Txn().put("x/older", featureRecord(1)).put("x/newer", featureRecord(9)));
        RememberedState remembered = new RememberedState();
        for (String key : List.of("x/gone", "x/older", "x/newer", "y/other")) {
            remembered.add(new VersionedRecord(key, featureRecord(4), Revision.ABSENT));
        }
        rebuild(context, leadershipRevision, 100, encodeAndDecode(remembered));
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
                .taskCount(2)
                .demand(new Resources(1, 0, 1))
                .image("img")
                .imageGb(0)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(10))
                .build();
    }

    /** Writes the leadership key along with more records than the transaction limit allows. */
    private Revision gainLeadershipWithoutLimit(StateClient.Txn records) throws Exception {
        int limit = state.maxTxnOps;
        state.maxTxnOps = records.size() + 1;
        Revision leadershipRevision = fixture.gainLeadership(1, records);
        state.maxTxnOps = limit;
        return leadershipRevision;
    }

    /**
     * Guards against an unreadable record that fails every rebuild, so that no node can become leader and no job is accepted.
     * The record is written again like a missing one. Present final records need no write, even if thousands are remembered.
     */
    @Test
    void unreadableRecordsAreRebuiltAndPresentOnesAreNotWritten() throws Exception {
        NodeContext context = fixture.context();
        StateClient.Txn existingRecords = new StateClient.Txn()
                .put("j/run-1", MessagePackFormat.map("at", "x"))
                .put("j/run-2", MessagePackFormat.map())
                .put("p/run-3/0", MessagePackFormat.map("bits", 7L));
        RememberedState remembered = new RememberedState();
        for (int number = 10; number < 500; number++) {
            JobId id = new JobId("run-" + number);
            existingRecords.put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(JobStatus.DONE, 1));
            remembered.add(id, new RememberedState.FinishedJob(JobStatus.DONE, 1));
        }
        Revision leadershipRevision = gainLeadershipWithoutLimit(existingRecords);
        JobSpec spec = spec("run-1");
        remembered.add(new RememberedState.OpenJob(spec, 1, new BitSet(), 2));
        remembered.add(new JobId("run-2"), new RememberedState.FinishedJob(JobStatus.CANCELLED, 0));
        int changesBefore = state.writtenKeys;
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
        assertEquals(
                4,
                state.writtenKeys - changesBefore,
                "an open record, a final record, the deletion of its open record, the era");
    }
}
