package io.indigoreach.emulator.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.state.StateClient.Txn;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The state service's rules, each by a case at its edge. */
class StateModelTest {
    private static final Moment T = new Moment(1_000_000);
    private static final StateLimits LIMITS = new StateLimits(10, 20, 200, 4);
    private final List<Mutation> kept = new ArrayList<>();
    private final StateModel model =
            new StateModel(new StateLimits(1e6, 1e6, 200, 4), new SplittableRandom(1), T, kept::add);

    private static Map<String, Object> value(long n) {
        return MessagePackFormat.map("n", n);
    }

    private ServiceResponse put(String key, int n) {
        return model.commit(T, new Txn().put(key, value(n)));
    }

    static Stream<Arguments> refusals() {
        Txn wide = new Txn();
        Txn careful = new Txn();
        for (int i = 0; i < 17; i++) {
            careful.when("k" + i, Revision.ABSENT);
        }
        for (int i = 0; i < 5; i++) {
            wide.put("k" + i, value(i));
        }
        return Stream.of(
                Arguments.of("more changes than allowed", wide, 400),
                Arguments.of(
                        "as many as allowed",
                        new Txn()
                                .put("a", value(1))
                                .put("b", value(1))
                                .delete("c")
                                .delete("d"),
                        200),
                Arguments.of("more than four conditions a change", careful, 400),
                Arguments.of("a key with a space", new Txn().put("a b", value(1)), 400),
                Arguments.of("a key of 201 bytes", new Txn().put("k".repeat(201), value(1)), 400),
                Arguments.of("a key of 200 bytes", new Txn().put("k".repeat(200), value(1)), 200),
                Arguments.of(
                        "a value just too long", new Txn().put("a", MessagePackFormat.map("v", "x".repeat(193))), 400),
                Arguments.of(
                        "a value just short enough",
                        new Txn().put("a", MessagePackFormat.map("v", "x".repeat(192))),
                        200),
                Arguments.of("one key twice", new Txn().put("a", value(1)).delete("a"), 400),
                Arguments.of("a lease that never was", new Txn().put("a", value(1), 99), 400),
                Arguments.of(
                        "a lease that never was, and a condition that fails",
                        new Txn().when("a", new Revision(5)).put("a", value(1), 99),
                        400),
                Arguments.of(
                        "a condition that fails",
                        new Txn().when("a", new Revision(5)).put("a", value(1)),
                        409),
                Arguments.of("comparing only", new Txn().when("a", Revision.ABSENT), 200));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusals")
    void answersTransactions(String name, Txn txn, int status) {
        assertEquals(status, model.commit(T, txn).status());
        assertEquals(status == 200 && txn.size() > 0 ? 1 : 0, model.revision());
    }

    /** What one transaction changes has one version, and a deletion of nothing is no change. */
    @Test
    void countsChanges() {
        model.commit(T, new Txn().put("a", value(1)).put("b", value(1)).delete("never"));
        assertEquals(1, model.revision());
        assertEquals(1, new Fields(model.get(T, "b", -1).body().map()).wholeNumber("stamp"));
        model.commit(T, new Txn().delete("never"));
        assertEquals(1, model.revision());
        assertEquals(404, model.get(T, "never", -1).status());
    }

    /** 429 comes at the exact edge of a burst: one second's worth, and then as time brings more. */
    @Test
    void limitsRequestsAndChanges() {
        StateModel limited = new StateModel(LIMITS, new SplittableRandom(1), T, change -> {});
        for (int i = 0; i < 10; i++) {
            assertEquals(404, limited.get(T, "a", -1).status());
        }
        assertEquals(429, limited.get(T, "a", -1).status());
        assertEquals(429, limited.get(T.plus(new Span(99)), "a", -1).status());
        assertEquals(404, limited.get(T.plus(new Span(100)), "a", -1).status());
        Moment later = T.plus(Span.seconds(10));
        for (int i = 0; i < 5; i++) {
            // Failing conditions count as well.
            assertEquals(
                    409,
                    limited.commit(
                                    later,
                                    new Txn()
                                            .when("a", new Revision(9))
                                            .put("a", value(1))
                                            .put("b", value(1))
                                            .put("c", value(1))
                                            .put("d", value(1)))
                            .status());
        }
        assertEquals(429, limited.commit(later, new Txn().put("a", value(1))).status());
        assertEquals(
                200,
                limited.commit(later.plus(new Span(50)), new Txn().put("a", value(1)))
                        .status());
    }

    /** A lease never ends early, at most 100 ms late, and takes its keys along in one change. */
    @Test
    void endsLeases() {
        long lease = model.grant(T, Span.seconds(1)).body().wholeNumber("permit");
        model.commit(
                T, new Txn().put("a", value(1), lease).put("b", value(2), lease).put("c", value(3)));
        model.advance(T.plus(new Span(999)));
        assertEquals(200, model.get(T, "a", -1).status());
        model.advance(T.plus(new Span(1100)));
        assertEquals(404, model.get(T, "a", -1).status());
        assertEquals(404, model.get(T, "b", -1).status());
        assertEquals(200, model.get(T, "c", -1).status());
        assertEquals(2, model.revision());
        assertEquals(404, model.renew(T.plus(new Span(1100)), lease).status());
    }

    /** A renewal that arrives when the lease has ended is too late, even if its end was not noticed yet. */
    @Test
    void refusesARenewalThatCameTooLate() {
        long lease = model.grant(T, Span.seconds(1)).body().wholeNumber("permit");
        assertEquals(200, model.renew(T.plus(new Span(900)), lease).status());
        assertEquals(200, model.renew(T.plus(new Span(1899)), lease).status());
        assertEquals(404, model.renew(T.plus(new Span(3000)), lease).status());
        assertEquals(
                400,
                model.commit(T.plus(new Span(3000)), new Txn().put("a", value(1), lease))
                        .status());
    }

    /** A key written without its lease, or with another, is no longer taken along by the first. */
    @Test
    void detachesKeys() {
        long one = model.grant(T, Span.seconds(1)).body().wholeNumber("permit");
        long two = model.grant(T, Span.seconds(9)).body().wholeNumber("permit");
        model.commit(T, new Txn().put("a", value(1), one).put("b", value(1), one));
        model.commit(T, new Txn().put("a", value(2)).put("b", value(2), two));
        model.advance(T.plus(Span.seconds(2)));
        Moment later = T.plus(Span.seconds(2));
        assertEquals(200, model.get(later, "a", -1).status());
        assertEquals(200, model.get(later, "b", -1).status());
        model.drop(later, two);
        assertEquals(404, model.get(later, "b", -1).status());
    }

    /** A watch that is open across an outage stays open, then hears of what was changed before; leases start anew. */
    @Test
    void holdsWatchesAndLeasesInAnOutage() {
        List<ServiceResponse> heard = new ArrayList<>();
        long lease = model.grant(T, Span.seconds(1)).body().wholeNumber("permit");
        put("x/1", 1);
        model.watch(T, "x/", 1, Span.seconds(2), heard::add);
        model.outage(T, true);
        model.advance(T.plus(Span.seconds(20)));
        assertTrue(heard.isEmpty());
        model.outage(T.plus(Span.seconds(20)), false);
        assertEquals(200, heard.get(0).status());
        assertEquals(200, model.renew(T.plus(Span.seconds(20.9)), lease).status());
    }

    @Test
    void tellsWatches() {
        List<ServiceResponse> heard = new ArrayList<>();
        put("x/1", 1);
        put("y/1", 1);
        assertNull(model.watch(T, "x/", 0, Span.seconds(5), heard::add));
        assertEquals(1, heard.get(0).body().children("events").size());
        StateModel.Watch given = model.watch(T, "x/", 2, Span.seconds(5), heard::add);
        model.watch(T, "x/", 2, Span.seconds(5), heard::add);
        model.giveUp(given);
        put("y/2", 1);
        assertEquals(1, heard.size());
        model.commit(T, new Txn().delete("x/1").put("x/2", value(2)));
        assertEquals(2, heard.size());
        assertEquals(2, heard.get(1).body().children("events").size());
        assertEquals(4, heard.get(1).body().wholeNumber("ledger_rev"));
    }

    /** Beyond the window of changes that are kept, the keys are to be read again. */
    @Test
    void forgetsOldChanges() {
        for (int i = 0; i <= StateModel.CHANGES_KEPT; i++) {
            put("k", i);
        }
        List<ServiceResponse> heard = new ArrayList<>();
        model.watch(T, "k", 0, Span.ZERO, heard::add);
        model.watch(T, "k", 1, Span.ZERO, heard::add);
        assertEquals(
                List.of(410, 200), heard.stream().map(ServiceResponse::status).toList());
        assertEquals(
                StateModel.CHANGES_KEPT, heard.get(1).body().children("events").size());
    }

    /** Limits shrink while it runs: what is larger then gets 400, what comes faster 429, and what is stored is read. */
    @Test
    void limitsShrinkAndWhatIsStoredStays() {
        StateLimits today = new StateLimits(1e6, 100, 8192, 4);
        StateModel shrinking = new StateModel(today, new SplittableRandom(1), T, change -> {});
        Txn large = new Txn().put("a", MessagePackFormat.map("v", "x".repeat(4000)));
        Txn many = new Txn().put("b", value(1)).put("c", value(1)).put("d", value(1));
        assertEquals(200, shrinking.commit(T, large).status());
        shrinking.limit(today.minimum(new StateLimits(1e6, 2, 2048, 2)), T);
        assertEquals(400, shrinking.commit(T, large).status());
        assertEquals(400, shrinking.commit(T, many).status());
        assertEquals(200, shrinking.get(T, "a", -1).status());
        Txn two = new Txn().put("b", value(1)).delete("a");
        assertEquals(
                List.of(200, 429),
                List.of(
                        shrinking.commit(T, two).status(),
                        shrinking.commit(T, two).status()));
    }

    /** Pages are bounded in number and in bytes, and go on after the last key. */
    @Test
    void listsByPages() {
        StateModel big = new StateModel(new StateLimits(1e6, 1e6, 8192, 4), new SplittableRandom(1), T, change -> {});
        for (int i = 0; i < 1100; i++) {
            big.commit(T, new Txn().put(String.format("s/%04d", i), value(i)));
        }
        for (int i = 0; i < 100; i++) {
            big.commit(T, new Txn().put(String.format("w/%04d", i), MessagePackFormat.map("v", "x".repeat(8000))));
        }
        ServiceResponse first = big.list(T, "s/", null, 5000, -1);
        assertEquals(1000, first.body().children("items").size());
        assertTrue(first.body().flag("truncated", false));
        ServiceResponse rest = big.list(T, "s/", "s/0999", 5000, -1);
        assertEquals(100, rest.body().children("items").size());
        assertEquals(false, rest.body().flag("truncated", true));
        int wide = big.list(T, "w/", null, 1000, -1).body().children("items").size();
        assertTrue(wide > 60 && wide < 66, "as many as fit into 512 KiB: " + wide);
        assertEquals(
                3, big.list(T, "s/", "s/0000", 3, -1).body().children("items").size());
    }

    /** A service that answers with an older version than it last gave: every key as it was, deleted ones included. */
    @Test
    void answersWithThePast() {
        put("a", 1);
        put("a", 2);
        put("b", 3);
        model.commit(T, new Txn().delete("a"));
        assertEquals(404, model.get(T, "a", 4).status());
        assertEquals(2, model.get(T, "a", 3).body().child("data").wholeNumber("n"));
        assertEquals(1, model.get(T, "a", 1).body().child("data").wholeNumber("n"));
        assertEquals(404, model.get(T, "b", 2).status());
        assertEquals(2, model.list(T, "", null, 10, 3).body().children("items").size());
        assertEquals(404, model.get(T, "a", -1).status());
    }

    /** A restart from what was told to the sink, or from a copy of the contents, gives the same service. */
    @Test
    void isRestored() {
        long lease = model.grant(T, Span.seconds(5)).body().wholeNumber("permit");
        model.commit(T, new Txn().put("a", value(1), lease).put("b", value(2)));
        put("c", 3);
        model.commit(T, new Txn().delete("b"));
        for (Iterable<Mutation> changes : List.of(List.copyOf(kept), model.contents())) {
            StateModel again = new StateModel(LIMITS, new SplittableRandom(2), T, change -> {});
            changes.forEach(change -> again.restore(change, T));
            assertEquals(model.revision(), again.revision());
            assertEquals(model.list(T, "", null, 10, -1), again.list(T, "", null, 10, -1));
            assertEquals(lease + 1, again.grant(T, Span.seconds(5)).body().wholeNumber("permit"));
            again.advance(T.plus(Span.seconds(6)));
            assertEquals(404, again.get(T.plus(Span.seconds(6)), "a", -1).status());
        }
    }
}
