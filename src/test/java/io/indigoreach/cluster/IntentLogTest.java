package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Intents are recorded under the leadership key, and whoever leads next reads them. */
class IntentLogTest {
    private static final Intents.Rent RENT = new Intents.Rent("t3-1", new MachinePool("quad", "east", true), 50, 1000);
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn state;
    private StateClient client;
    private NodeContext env;
    private boolean deposed;

    @BeforeEach
    void start() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        PlatformConfig config = LeaderHarness.config();
        env = NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .state(client)
                .config(config)
                .settings(Settings.standard())
                .lease(Span.seconds(10))
                .build();
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** The book of a leader that has just taken the key. */
    private IntentLog leader(long token) throws Exception {
        StateClient.Outcome taken =
                await(client.commit(new StateClient.Txn().put(RecordKeys.LEADER, MessagePackFormat.map("t", token))));
        return new IntentLog(
                env,
                new FencingToken(token),
                taken.writtenRevision(),
                () -> deposed = true,
                new RateLimiter(100, clock.now()));
    }

    @Test
    void theNextLeaderReadsWhatWasUnderWayAndRemovesItWhenSettled() throws Exception {
        IntentLog first = leader(3);
        first.intents().add(RENT);
        first.intents().recordReturns(List.of(new MachineId("vm-1")));
        assertTrue(await(first.record()) && first.intents().mayAsk("t3-1"));
        IntentLog next = leader(4);
        Intents.Page page = await(next.load());
        assertEquals(new Intents.Page(List.of(RENT), List.of(new MachineId("vm-1"))), page);
        next.intents().recordReturns(page.returns());
        assertTrue(await(next.record()));
        await(next.forgetEarlier());
        assertEquals(List.of("i/4"), state.keys("i/"), "what is not settled is in its own record");
        next.intents().gone(page.returns());
        next.intents().add(RENT);
        assertTrue(await(next.record()));
        assertEquals(List.of("i/4"), state.keys("i/"));
    }

    /** Leaders that followed each other quickly leave more records than a transaction may remove (12 here). */
    @Test
    void manyEarlierRecordsAreRemovedInParts() throws Exception {
        for (int token = 10; token < 30; token++) {
            IntentLog book = leader(token);
            book.intents().add(RENT);
            assertTrue(await(book.record()));
        }
        IntentLog last = leader(30);
        assertEquals(20, await(last.load()).rents().size());
        await(last.forgetEarlier());
        assertEquals(8, state.keys("i/").size());
        await(last.forgetEarlier());
        assertEquals(List.of(), state.keys("i/"));
    }

    /** As many as the smallest announced value takes, and one request in any case. */
    @Test
    void moreThanTheRecordTakesWaits() throws Exception {
        env = NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .state(client)
                .config(LeaderHarness.config("value_kb = 2.0"))
                .settings(Settings.standard())
                .lease(Span.seconds(10))
                .build();
        state.valueBytes = 2048;
        IntentLog book = leader(3);
        int rents = 0;
        while (book.intents().hasRoomFor(rent(rents))) {
            book.intents().add(rent(rents++));
        }
        List<MachineId> machines = IntStream.range(0, 100)
                .mapToObj(n -> new MachineId(String.format("vm-%06d", n)))
                .toList();
        int condemned = book.intents().recordReturns(machines).size();
        assertTrue(rents >= 10 && condemned >= 50, rents + " requests, " + condemned + " machines");
        assertTrue(await(book.record()));
        assertEquals(0, state.tooLarge);
        assertEquals(rents, await(leader(4).load()).rents().size());
    }

    private static Intents.Rent rent(int n) {
        return new Intents.Rent(
                "t123-" + n, new MachinePool("quad", "a-zone-of-usual-length", true), 50, 1_800_000_000_000L);
    }

    /** Planted in the order of events: a holder that was replaced goes on between its condition and its call. */
    @Test
    void aHolderThatWasReplacedRecordsNothingAndMayAskNothing() throws Exception {
        IntentLog old = leader(3);
        leader(4);
        old.intents().add(RENT);
        assertFalse(await(old.record()));
        assertFalse(old.intents().mayAsk("t3-1"));
        assertTrue(deposed);
        assertEquals(List.of(), state.keys("i/"));
    }

    /** The same node has taken the key anew: what its earlier leadership had under way fails, and the new one goes on. */
    @Test
    void aLeadershipThatIsOverDoesNotDeposeTheNextOne() throws Exception {
        IntentLog old = leader(3);
        old.intents().add(RENT);
        old.cancel();
        leader(4);
        assertFalse(await(old.record()));
        assertFalse(deposed);
    }

    @Test
    void anIntentWhoseAnswerWasLostIsRecordedBeforeItIsAsked() throws Exception {
        IntentLog book = leader(3);
        book.intents().add(RENT);
        state.losingAnswers = 1;
        assertFalse(await(book.record().otherwise(false)));
        assertFalse(book.intents().mayAsk("t3-1"), "it may be there or not");
        assertFalse(await(book.record()), "its version is read first");
        assertTrue(await(book.record()) && book.intents().mayAsk("t3-1"));
        Future<Boolean> one = book.record();
        Future<Boolean> other = book.record();
        assertTrue(await(one) && await(other), "two at once do not get in each other's way");
        assertFalse(deposed);
    }
}
