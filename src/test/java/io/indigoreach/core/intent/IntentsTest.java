package io.indigoreach.core.intent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No request is sent to the cloud before it is recorded, and the next leader completes the recorded requests. */
public class IntentsTest {
    private static final MachinePool POOL = new MachinePool("quad", "east", true);

    /** A safeguard that a simulation can leave out, to check that the simulation then detects a violation. */
    enum Without {
        RECORD,
        COMPLETION,
        RETURNS
    }

    @Test
    void onlyRecordedIntentsMayBeSent() {
        Intents intents = new Intents();
        intents.add(new Intents.Rent("t5-1", POOL, 50, 0));
        assertFalse(intents.maySend("t5-1"));
        Intents.Page page = intents.page();
        intents.add(new Intents.Rent("t5-2", POOL, 50, 0));
        intents.recorded(page);
        assertTrue(
                intents.maySend("t5-1") && !intents.maySend("t5-2"),
                "a request that was added during the write is not in the record");
        assertTrue(intents.isUnrecorded());
        intents.completed("t5-1");
        assertFalse(intents.maySend("t5-1"), "a completed request is not sent again");
        intents.recorded(intents.page());
        assertFalse(intents.isUnrecorded() || intents.isOutdated());
        List<MachineId> many = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            many.add(new MachineId("vm-" + i));
        }
        assertEquals(Intents.MAX_RETURNS, intents.addReturns(many).size(), "as many as the record may hold");
        assertFalse(intents.mayReturn(many.subList(0, 1)));
        intents.recorded(intents.page());
        assertTrue(intents.mayReturn(many.subList(0, 100)) && !intents.mayReturn(many.subList(99, 101)));
        intents.returned(many.subList(0, 100));
        intents.completed("t5-2");
        assertTrue(intents.page().isEmpty() && intents.isOutdated());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void nothingIsLostAcrossFailovers(long seed) {
        assertEquals(List.of(), new Run(seed, null).play());
    }

    /** Runs a simulation and returns its violations; {@code effects} receives the decisions. */
    public static List<String> play(long seed, EffectListener effects) {
        Run run = new Run(seed, null);
        run.effects = effects;
        return run.play();
    }

    @ParameterizedTest
    @EnumSource
    void withoutAGuardSomethingIsLost(Without without) {
        boolean found = false;
        for (long seed = 1; seed <= 20 && !found; seed++) {
            found = !new Run(seed, without).play().isEmpty();
        }
        assertTrue(found, "no violation found without " + without);
    }

    /**
     * Simulates failovers at random times, lost responses of the state service and the cloud, and requests to the cloud that are executed late.
     * Violations are a rented machine that the last leader does not know, a machine in use after its return was requested, and a request
     * name that is sent with two different counts.
     */
    private static final class Run {
        private final Random random;
        private EffectListener effects = EffectListener.NONE;
        private final Without without;
        private final List<String> broken = new ArrayList<>();
        private final Map<String, Integer> named = new HashMap<>();
        private final Map<String, List<MachineId>> rented = new HashMap<>();
        private final Set<MachineId> there = new HashSet<>();
        private final Set<MachineId> asked = new HashSet<>();
        private final List<Runnable> late = new ArrayList<>();
        private Intents.Page record = new Intents.Page(List.of(), List.of());
        private Intents intents = new Intents();
        private Set<MachineId> known = new HashSet<>();
        private Set<MachineId> useless = new HashSet<>();
        private int leader = 1;
        private int requests;
        private int machines;

        Run(long seed, Without without) {
            this.random = new Random(seed);
            this.without = without;
        }

        List<String> play() {
            for (int step = 0; step < 600; step++) {
                switch (random.nextInt(8)) {
                    case 0 ->
                        intents.add(new Intents.Rent("t" + leader + "-" + ++requests, POOL, 1 + random.nextInt(3), 0));
                    case 1 ->
                        known.stream()
                                .filter(id -> !useless.contains(id))
                                .findAny()
                                .ifPresent(this::giveUp);
                    case 2 -> write();
                    case 3, 4 -> ask();
                    case 5 -> giveBack();
                    case 6 -> use();
                    default -> {
                        if (random.nextInt(6) == 0) {
                            failover();
                        } else if (!late.isEmpty()) {
                            late.remove(random.nextInt(late.size())).run();
                        }
                    }
                }
            }
            failover();
            late.forEach(Runnable::run);
            write();
            for (int i = 0; i < 400; i++) {
                ask();
                giveBack();
                write();
            }
            there.stream()
                    .filter(id -> !known.contains(id))
                    .forEach(id -> broken.add(id + " is rented but unknown to the leader"));
            return broken;
        }

        private void giveUp(MachineId id) {
            useless.add(id);
            intents.addReturns(List.of(id));
        }

        private void write() {
            Intents.Page page = intents.page();
            record = page;
            List<Object> rents = new ArrayList<>();
            page.rents().forEach(r -> rents.addAll(List.of(r.name(), r.count())));
            effects.effect(EffectListener.INTENTS, rents, texts(page.returns()));
            if (random.nextInt(4) > 0) {
                intents.recorded(page);
            }
        }

        private void ask() {
            intents.page().rents().stream()
                    .filter(r -> without == Without.RECORD || intents.maySend(r.name()))
                    .findAny()
                    .ifPresent(r -> {
                        effects.effect(EffectListener.RENT_ASKED, r.name(), r.count());
                        if (named.putIfAbsent(r.name(), r.count()) != null && named.get(r.name()) != r.count()) {
                            broken.add(r.name() + " is sent with different counts");
                        }
                        Runnable executed = () -> rented.computeIfAbsent(r.name(), n -> {
                            List<MachineId> ids = new ArrayList<>();
                            for (int i = 0; i < r.count(); i++) {
                                ids.add(new MachineId("vm-" + ++machines));
                            }
                            there.addAll(ids);
                            return ids;
                        });
                        if (random.nextInt(3) == 0) {
                            late.add(executed);
                        } else {
                            executed.run();
                            if (random.nextInt(3) > 0) {
                                rented.get(r.name()).stream()
                                        .filter(there::contains)
                                        .forEach(known::add);
                                intents.completed(r.name());
                            }
                        }
                    });
        }

        private void giveBack() {
            List<MachineId> ids = intents.page().returns();
            if (ids.isEmpty() || (without != Without.RECORD && !intents.mayReturn(ids))) {
                return;
            }
            effects.effect(EffectListener.RETURN_ASKED, texts(ids));
            asked.addAll(ids);
            if (random.nextBoolean()) {
                late.add(() -> there.removeAll(ids));
            } else {
                there.removeAll(ids);
                known.removeAll(ids);
                useless.removeAll(ids);
                intents.returned(ids);
            }
        }

        private static List<String> texts(List<MachineId> ids) {
            return ids.stream().map(MachineId::text).toList();
        }

        private void use() {
            known.stream()
                    .filter(id -> !useless.contains(id) && asked.contains(id) && there.contains(id))
                    .forEach(id -> broken.add(id + " is used though its return was requested"));
        }

        /** The next leader knows the record and the machines that send heartbeats, but not those of rentals that are executed late. */
        private void failover() {
            leader++;
            Set<MachineId> before = known;
            intents = new Intents();
            known = new HashSet<>();
            useless = new HashSet<>();
            before.stream().filter(there::contains).forEach(known::add);
            if (without != Without.COMPLETION) {
                record.rents().forEach(intents::add);
            }
            if (without != Without.RETURNS) {
                intents.addReturns(record.returns());
                useless.addAll(record.returns());
            }
            intents.recorded(record);
        }
    }
}
