package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests routines of optional features against a state service that loses records, and with a leadership that ends. */
class RoutineRunnerTest {
    private static final RecordFamily PERMANENT_FAMILY =
            new RecordFamily("a/", 100, true, RecordFamily.MergeRule.KEEP_NEWER);
    private static final RecordFamily REMOVABLE_FAMILY =
            new RecordFamily("b/", 100, false, RecordFamily.MergeRule.KEEP_NEWER);

    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private FakeStateService service;
    private StateClient client;
    private RoutineRunner runner;

    @BeforeEach
    void start() throws Exception {
        service = await(new FakeStateService().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 1));
        runner = new RoutineRunner(vertx, client, clock, new RecordCache(List.of(PERMANENT_FAMILY, REMOVABLE_FAMILY)));
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Increments the number in a record. Its result is the new number, or -1 if the record changed concurrently. */
    private static Routine<Long> increment(String key) {
        return new Routine<>() {
            private long sum;

            @Override
            public Step<Long> next(io.indigoreach.core.records.StepResult seen) {
                if (seen.isWritten()) {
                    return new Step.End<>(sum);
                }
                if (!seen.failedKeys().isEmpty()) {
                    return new Step.End<>(-1L);
                }
                if (seen.records().isEmpty()) {
                    return new Step.Read<>(List.of(key));
                }
                VersionedRecord read = seen.record(key);
                sum = read.exists() ? (Long) read.value().get("n") + 1 : 1;
                return new Step.Write<>(new Transaction().replace(read, Map.of("n", sum)));
            }
        };
    }

    @Test
    void routineReadsWritesAndCachesRecords() throws Exception {
        assertEquals(1, await(runner.run(increment("a/1"))));
        assertEquals(2, await(runner.run(increment("a/1"))));
        assertEquals(2, runner.cache().get("a/1").version());
        assertEquals(2, service.value("a/1").wholeNumber("n"));
    }

    @Test
    void missingPermanentRecordIsALossUntilRepaired() throws Exception {
        await(runner.run(increment("a/1")));
        client.commit(new StateClient.Txn().delete("a/1"));
        assertThrows(ExecutionException.class, () -> await(runner.run(increment("a/1"))));
        assertTrue(client.losses().isLossPending());
        assertThrows(ExecutionException.class, () -> await(runner.run(increment("a/2"))));
        assertFalse(service.has("a/2"));
    }

    @Test
    void removableRecordMayBeAbsent() throws Exception {
        await(runner.run(increment("b/1")));
        client.commit(new StateClient.Txn().delete("b/1"));
        assertEquals(1, await(runner.run(increment("b/1"))));
        assertFalse(client.losses().isLossPending());
    }

    @Test
    void olderValueThanTheCachedOneIsALossInAnyFamily() throws Exception {
        await(runner.run(increment("b/1")));
        await(runner.run(increment("b/1")));
        client.commit(new StateClient.Txn().put("b/1", Map.of("n", 1L, VersionedRecord.VERSION_FIELD, 1L)));
        assertThrows(ExecutionException.class, () -> await(runner.run(increment("b/1"))));
        assertTrue(client.losses().isLossPending());
    }

    @Test
    void writesFailAfterTheLeadershipKeyIsDeleted() throws Exception {
        Revision key = await(client.commit(new StateClient.Txn().put(RecordKeys.LEADER, Map.of("t", 1L))))
                .writtenRevision();
        RoutineRunner leaderRunner = runner.forLeader(RecordKeys.LEADER, key, new RateLimiter(100, clock.now()));
        assertEquals(1, await(leaderRunner.run(increment("a/1"))));
        await(client.commit(new StateClient.Txn().delete(RecordKeys.LEADER)));
        assertThrows(ExecutionException.class, () -> await(leaderRunner.run(increment("a/1"))));
        assertEquals(1, service.value("a/1").wholeNumber("n"));
    }

    @Test
    void familiesDoNotShareAPrefix() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new RecordCache(List.of(
                        PERMANENT_FAMILY, new RecordFamily("a/b/", 1, true, RecordFamily.MergeRule.KEEP_NEWER))));
    }
}
