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

/** Parts' routines against a state service that loses records, and a leadership that ends. */
class RoutineRunnerTest {
    private static final RecordFamily LASTING = new RecordFamily("a/", 100, true, RecordFamily.Mending.NEWER);
    private static final RecordFamily PASSING = new RecordFamily("b/", 100, false, RecordFamily.Mending.NEWER);

    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn service;
    private StateClient client;
    private RoutineRunner records;

    @BeforeEach
    void start() throws Exception {
        service = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 1));
        records = new RoutineRunner(vertx, client, clock, new RecordCache(List.of(LASTING, PASSING)));
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Reads a record, adds one to its number, and ends with what it wrote, or with -1 if the record changed meanwhile. */
    private static Routine<Long> adding(String key) {
        return new Routine<>() {
            private long sum;

            @Override
            public Step<Long> next(io.indigoreach.core.records.StepResult seen) {
                if (seen.isWritten()) {
                    return new Step.End<>(sum);
                }
                if (!seen.failed().isEmpty()) {
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
    void aRoutineReadsAndWritesAndItsRecordsAreRemembered() throws Exception {
        assertEquals(1, await(records.run(adding("a/1"))));
        assertEquals(2, await(records.run(adding("a/1"))));
        assertEquals(2, records.copies().get("a/1").version());
        assertEquals(2, service.value("a/1").wholeNumber("n"));
    }

    @Test
    void aMissingPermanentRecordIsALossUntilRepaired() throws Exception {
        await(records.run(adding("a/1")));
        client.commit(new StateClient.Txn().delete("a/1"));
        assertThrows(ExecutionException.class, () -> await(records.run(adding("a/1"))));
        assertTrue(client.losses().isHolding());
        assertThrows(ExecutionException.class, () -> await(records.run(adding("a/2"))));
        assertFalse(service.has("a/2"));
    }

    @Test
    void aRemovableRecordMayBeAbsent() throws Exception {
        await(records.run(adding("b/1")));
        client.commit(new StateClient.Txn().delete("b/1"));
        assertEquals(1, await(records.run(adding("b/1"))));
        assertFalse(client.losses().isHolding());
    }

    @Test
    void anOlderValueThanTheOneRememberedIsALossInAnyFamily() throws Exception {
        await(records.run(adding("b/1")));
        await(records.run(adding("b/1")));
        client.commit(new StateClient.Txn().put("b/1", Map.of("n", 1L, VersionedRecord.VERSION, 1L)));
        assertThrows(ExecutionException.class, () -> await(records.run(adding("b/1"))));
        assertTrue(client.losses().isHolding());
    }

    @Test
    void aLeaderWhoseKeyIsGoneWritesNothing() throws Exception {
        Revision key = await(client.commit(new StateClient.Txn().put(RecordKeys.LEADER, Map.of("t", 1L))))
                .writtenRevision();
        RoutineRunner leading = records.leading(RecordKeys.LEADER, key, new RateLimiter(100, clock.now()));
        assertEquals(1, await(leading.run(adding("a/1"))));
        await(client.commit(new StateClient.Txn().delete(RecordKeys.LEADER)));
        assertThrows(ExecutionException.class, () -> await(leading.run(adding("a/1"))));
        assertEquals(1, service.value("a/1").wholeNumber("n"));
    }

    @Test
    void familiesDoNotShareAPrefix() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new RecordCache(List.of(LASTING, new RecordFamily("a/b/", 1, true, RecordFamily.Mending.NEWER))));
    }
}
