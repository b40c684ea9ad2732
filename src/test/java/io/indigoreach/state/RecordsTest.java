package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.Stamp;
import io.indigoreach.core.records.Change;
import io.indigoreach.core.records.Copies;
import io.indigoreach.core.records.Family;
import io.indigoreach.core.records.Kept;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.net.Budget;
import io.indigoreach.net.Caller;
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
class RecordsTest {
    private static final Family LASTING = new Family("a/", 100, true, Family.Mending.NEWER);
    private static final Family PASSING = new Family("b/", 100, false, Family.Mending.NEWER);

    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn service;
    private StateClient client;
    private Records records;

    @BeforeEach
    void start() throws Exception {
        service = await(new StateStandIn().listen(vertx));
        client = new StateClient(new Caller(vertx, service.endpoint(), 4), new Caller(vertx, service.endpoint(), 1));
        records = new Records(vertx, client, clock, new Copies(List.of(LASTING, PASSING)));
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
            public Step<Long> next(io.indigoreach.core.records.Seen seen) {
                if (seen.isWritten()) {
                    return new Step.End<>(sum);
                }
                if (!seen.failed().isEmpty()) {
                    return new Step.End<>(-1L);
                }
                if (seen.records().isEmpty()) {
                    return new Step.Read<>(List.of(key));
                }
                Kept read = seen.record(key);
                sum = read.isThere() ? (Long) read.value().get("n") + 1 : 1;
                return new Step.Write<>(new Change().replace(read, Map.of("n", sum)));
            }
        };
    }

    @Test
    void aRoutineReadsAndWritesAndItsRecordsAreRemembered() throws Exception {
        assertEquals(1, await(records.run(adding("a/1"))));
        assertEquals(2, await(records.run(adding("a/1"))));
        assertEquals(2, records.copies().of("a/1").version());
        assertEquals(2, service.value("a/1").whole("n"));
    }

    @Test
    void whatIsNeverRemovedAndIsGoneIsALossAndNothingIsSaidOfItUntilItIsMended() throws Exception {
        await(records.run(adding("a/1")));
        client.commit(new StateClient.Txn().delete("a/1"));
        assertThrows(ExecutionException.class, () -> await(records.run(adding("a/1"))));
        assertTrue(client.losses().isHolding());
        assertThrows(ExecutionException.class, () -> await(records.run(adding("a/2"))));
        assertFalse(service.has("a/2"));
    }

    @Test
    void whatPartsRemoveMayBeGone() throws Exception {
        await(records.run(adding("b/1")));
        client.commit(new StateClient.Txn().delete("b/1"));
        assertEquals(1, await(records.run(adding("b/1"))));
        assertFalse(client.losses().isHolding());
    }

    @Test
    void anOlderValueThanTheOneRememberedIsALossInAnyFamily() throws Exception {
        await(records.run(adding("b/1")));
        await(records.run(adding("b/1")));
        client.commit(new StateClient.Txn().put("b/1", Map.of("n", 1L, Kept.VERSION, 1L)));
        assertThrows(ExecutionException.class, () -> await(records.run(adding("b/1"))));
        assertTrue(client.losses().isHolding());
    }

    @Test
    void aLeaderWhoseKeyIsGoneWritesNothing() throws Exception {
        Stamp key = await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, Map.of("t", 1L))))
                .stamp();
        Records leading = records.leading(RecordCodec.LEADER, key, new Budget(100, clock.now()));
        assertEquals(1, await(leading.run(adding("a/1"))));
        await(client.commit(new StateClient.Txn().delete(RecordCodec.LEADER)));
        assertThrows(ExecutionException.class, () -> await(leading.run(adding("a/1"))));
        assertEquals(1, service.value("a/1").whole("n"));
    }

    @Test
    void familiesDoNotShareAPrefix() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Copies(List.of(LASTING, new Family("a/b/", 1, true, Family.Mending.NEWER))));
    }
}
