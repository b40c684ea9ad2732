package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeadershipTermFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.FakeStateService;
import io.vertx.core.Future;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that intents are recorded conditionally on the leadership key, and that the next leader reads them. */
class IntentLogTest {
    private static final Intents.Rental RENT =
            new Intents.Rental("t3-1", new MachinePool("quad", "east", true), 50, 1000);
    private static final MachineId MACHINE = new MachineId("vm-1");
    private LeadershipTermFixture fixture;
    private FakeStateService state;
    private NodeContext context;
    private boolean deposed;

    @BeforeEach
    void start() throws Exception {
        fixture = new LeadershipTermFixture();
        state = fixture.state;
        context = fixture.context();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    /** Creates the log of a leader that has just gained the leadership. */
    private IntentLog newLeader(long token) throws Exception {
        return new IntentLog(
                context,
                new FencingToken(token),
                fixture.gainLeadership(token),
                () -> deposed = true,
                new RateLimiter(100, fixture.clock.now()));
    }

    @Test
    void nextLeaderReadsOpenIntentsAndRemovesThemWhenCompleted() throws Exception {
        IntentLog first = newLeader(3);
        first.intents().add(RENT);
        first.intents().addReturns(List.of(MACHINE));
        assertTrue(await(first.record()) && first.intents().maySendRental("t3-1"));
        IntentLog next = newLeader(4);
        Intents.Content page = await(next.load());
        assertEquals(new Intents.Content(List.of(RENT), List.of(MACHINE)), page);
        next.intents().addReturns(page.returns());
        assertTrue(await(next.record()));
        await(next.removeEarlierRecords());
        assertEquals(List.of("i/4"), state.keys("i/"), "only the new leader's record remains, with the open intents");
        next.intents().completeReturns(page.returns());
        next.intents().add(RENT);
        assertTrue(await(next.record()));
        assertEquals(List.of("i/4"), state.keys("i/"));
    }

    /** Several quick changes of leader can leave more records than one transaction may remove (12 here). */
    @Test
    void earlierRecordsAreRemovedInBatches() throws Exception {
        for (int token = 10; token < 30; token++) {
            IntentLog log = newLeader(token);
            log.intents().add(RENT);
            assertTrue(await(log.record()));
        }
        IntentLog last = newLeader(30);
        assertEquals(20, await(last.load()).rentals().size());
        await(last.removeEarlierRecords());
        assertEquals(8, state.keys("i/").size());
        await(last.removeEarlierRecords());
        assertEquals(List.of(), state.keys("i/"));
    }

    /** The record holds as many intents as the smallest announced value size allows. */
    @Test
    void intentsBeyondRecordSizeWait() throws Exception {
        context = fixture.context("value_kb = 2.0");
        state.maxValueBytes = 2048;
        IntentLog log = newLeader(3);
        int rents = 0;
        while (log.intents().hasRoomFor(rent(rents))) {
            log.intents().add(rent(rents++));
        }
        List<MachineId> machines = IntStream.range(0, 100)
                .mapToObj(n -> new MachineId(String.format("vm-%06d", n)))
                .toList();
        int returns = log.intents().addReturns(machines).size();
        assertTrue(rents >= 10 && returns >= 50, rents + " requests, " + returns + " machines");
        assertTrue(await(log.record()));
        assertEquals(0, state.oversizedTransactions);
        assertEquals(rents, await(newLeader(4).load()).rentals().size());
    }

    private static Intents.Rental rent(int n) {
        return new Intents.Rental(
                "t123-" + n, new MachinePool("quad", "a-zone-of-usual-length", true), 50, 1_800_000_000_000L);
    }

    /** A leader may be replaced after it has checked its leadership and before it calls the cloud. */
    @Test
    void replacedLeaderMayNeitherRecordNorSend() throws Exception {
        IntentLog old = newLeader(3);
        newLeader(4);
        old.intents().add(RENT);
        assertFalse(await(old.record()));
        assertFalse(old.intents().maySendRental("t3-1"));
        assertTrue(deposed);
        assertEquals(List.of(), state.keys("i/"));
    }

    /** When the same node leads again, a failed write of its earlier term must not end the new term. */
    @Test
    void endedTermDoesNotDeposeTheNextOne() throws Exception {
        IntentLog old = newLeader(3);
        old.intents().add(RENT);
        old.cancel();
        newLeader(4);
        assertFalse(await(old.record()));
        assertFalse(deposed);
    }

    @Test
    void intentWithLostResponseIsRecordedBeforeItIsSent() throws Exception {
        IntentLog log = newLeader(3);
        log.intents().add(RENT);
        state.responsesToLose = 1;
        assertFalse(await(log.record().otherwise(false)));
        assertFalse(log.intents().maySendRental("t3-1"), "the outcome of the write is unknown");
        assertFalse(await(log.record()), "the record's revision is read before the next write");
        assertTrue(await(log.record()) && log.intents().maySendRental("t3-1"));
        Future<Boolean> one = log.record();
        Future<Boolean> other = log.record();
        assertTrue(await(one) && await(other), "concurrent calls to record() must not conflict");
        assertFalse(deposed);
    }
}
