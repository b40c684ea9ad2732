package io.indigoreach.emulator.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** The state model against a plain map with its history, under any sequence of operations. */
class StateModelPropertyTest {
    private static final Moment T = new Moment(0);
    private static final List<String> KEYS = List.of("a", "b", "c/1", "c/2");

    /** Something done: to a key, under a guess of its version that is right or so many too low. */
    record Step(Kind kind, int key, int other, int guess, int value) {
        enum Kind {
            PUT,
            DELETE,
            SWAP,
            GRANT,
            PUT_LEASED,
            END_LEASES,
            OUTAGE,
            RESTART
        }
    }

    private record Plain(int value, long stamp, long lease) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Step.Kind.class),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 99))
                .as(Step::new)
                .list()
                .ofMaxSize(40);
    }

    @Property(tries = 400, seed = "42")
    void behavesLikeAMapWithItsHistory(@ForAll("steps") List<Step> steps) {
        List<Mutation> kept = new ArrayList<>();
        StateModel model = model(kept);
        TreeMap<String, Plain> plain = new TreeMap<>();
        List<Map<String, Plain>> history = new ArrayList<>(List.of(Map.of()));
        Moment now = T;
        long lease = 0;
        for (Step step : steps) {
            now = now.plus(Span.seconds(0.01));
            String key = KEYS.get(step.key);
            String other = KEYS.get(step.other);
            Plain before = plain.get(key);
            Revision guess = new Revision(Math.max(0, (before == null ? 0 : before.stamp) - step.guess));
            Txn txn = new Txn().when(key, guess);
            switch (step.kind) {
                case PUT -> txn.put(key, MessagePackFormat.map("n", (long) step.value));
                case DELETE -> txn.delete(key);
                case SWAP -> {
                    txn.put(key, MessagePackFormat.map("n", (long) step.value));
                    if (!other.equals(key)) {
                        txn.delete(other);
                    }
                }
                case PUT_LEASED -> txn.put(key, MessagePackFormat.map("n", (long) step.value), lease);
                case GRANT -> lease = model.grant(now, Span.seconds(1)).body().wholeNumber("permit");
                case END_LEASES -> {
                    now = now.plus(Span.seconds(2));
                    model.advance(now);
                    long revision = history.size() - 1L;
                    for (long l : plain.values().stream()
                            .map(Plain::lease)
                            .filter(l -> l > 0)
                            .distinct()
                            .sorted()
                            .toList()) {
                        plain.values().removeIf(p -> p.lease == l);
                        history.add(Map.copyOf(plain));
                        revision++;
                    }
                    assertEquals(revision, model.revision());
                    lease = 0;
                }
                case OUTAGE -> {
                    model.outage(now, true);
                    now = now.plus(Span.seconds(5));
                    model.advance(now);
                    model.outage(now, false);
                }
                case RESTART -> {
                    List<Mutation> again = new ArrayList<>(kept);
                    model = model(kept);
                    kept.clear();
                    for (Mutation m : again) {
                        model.restore(m, now);
                        kept.add(m);
                    }
                }
            }
            if (txn.size() > 0) {
                ServiceResponse reply = model.commit(now, txn);
                boolean fits = guess.value() == (before == null ? 0 : before.stamp);
                assertEquals(fits ? 200 : 409, reply.status());
                if (fits) {
                    commit(txn, plain, history);
                }
            }
            assertEquals(history.size() - 1, model.revision());
            compare(model, now, plain, -1);
        }
        if (steps.stream().noneMatch(s -> s.kind == Step.Kind.RESTART)) {
            for (int past = 0; past < history.size(); past++) {
                compare(model, now, history.get(past), past);
            }
            checkWatch(model, now, history);
        }
    }

    private static StateModel model(List<Mutation> kept) {
        return new StateModel(new StateLimits(1e9, 1e9, 8192, 16), new SplittableRandom(3), T, kept::add);
    }

    private static void commit(Txn txn, Map<String, Plain> plain, List<Map<String, Plain>> history) {
        boolean changes = txn.writes().stream().anyMatch(w -> !w.isDelete() || plain.containsKey(w.key()));
        if (!changes) {
            return;
        }
        txn.writes().forEach(w -> {
            if (w.isDelete()) {
                plain.remove(w.key());
            } else {
                plain.put(
                        w.key(),
                        new Plain(
                                (int) new Fields(MessagePackFormat.readMap(MessagePackFormat.write(w.value()))
                                                .map())
                                        .wholeNumber("n"),
                                history.size(),
                                w.lease()));
            }
        });
        history.add(Map.copyOf(plain));
    }

    private static void compare(StateModel model, Moment now, Map<String, Plain> plain, long asOf) {
        for (String key : KEYS) {
            ServiceResponse reply = model.get(now, key, asOf);
            Plain wanted = plain.get(key);
            assertEquals(wanted == null ? 404 : 200, reply.status());
            if (wanted != null) {
                assertEquals(wanted.stamp, reply.body().wholeNumber("stamp"));
                assertEquals(
                        wanted.value,
                        new Fields(MessagePackFormat.readMap(MessagePackFormat.write(
                                                reply.body().child("data").map()))
                                        .map())
                                .wholeNumber("n"));
            }
        }
        assertEquals(
                plain.size(),
                model.list(now, "", null, 100, asOf).body().children("items").size());
    }

    /** Whoever starts with the keys of any revision and hears the changes since has the keys of now. */
    private static void checkWatch(StateModel model, Moment now, List<Map<String, Plain>> history) {
        for (int since = 0; since < history.size(); since++) {
            TreeMap<String, Long> stamps = new TreeMap<>();
            history.get(since).forEach((key, p) -> stamps.put(key, p.stamp));
            List<ServiceResponse> heard = new ArrayList<>();
            model.watch(now, "", since, Span.ZERO, heard::add);
            long last = since;
            for (Fields event : heard.get(0).body().children("events")) {
                assertTrue(event.wholeNumber("stamp") >= last);
                last = event.wholeNumber("stamp");
                if (event.has("write")) {
                    stamps.put(event.text("write"), last);
                } else {
                    stamps.remove(event.text("delete"));
                }
            }
            TreeMap<String, Long> wanted = new TreeMap<>();
            history.get(history.size() - 1).forEach((key, p) -> wanted.put(key, p.stamp));
            assertEquals(wanted, stamps);
        }
    }
}
