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
    enum OmittedSafeguard {
        RECORD_BEFORE_SENDING,
        COMPLETE_INHERITED_RENTALS,
        KEEP_INHERITED_RETURNS
    }

    @Test
    void onlyRecordedIntentsMayBeSent() {
        Intents intents = new Intents();
        intents.add(new Intents.Rental("t5-1", POOL, 50, 0));
        assertFalse(intents.maySendRental("t5-1"));
        Intents.Content content = intents.content();
        intents.add(new Intents.Rental("t5-2", POOL, 50, 0));
        intents.onRecorded(content);
        assertTrue(
                intents.maySendRental("t5-1") && !intents.maySendRental("t5-2"),
                "a request that was added during the write is not in the record");
        assertTrue(intents.hasUnrecordedRequests());
        intents.completeRental("t5-1");
        assertFalse(intents.maySendRental("t5-1"), "a completed request is not sent again");
        intents.onRecorded(intents.content());
        assertFalse(intents.hasUnrecordedRequests() || intents.isRecordOutdated());
        List<MachineId> machines = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            machines.add(new MachineId("vm-" + i));
        }
        assertEquals(Intents.MAX_RETURNS, intents.addReturns(machines).size(), "as many as the record may hold");
        assertFalse(intents.maySendReturns(machines.subList(0, 1)));
        intents.onRecorded(intents.content());
        assertTrue(
                intents.maySendReturns(machines.subList(0, 100)) && !intents.maySendReturns(machines.subList(99, 101)));
        intents.completeReturns(machines.subList(0, 100));
        intents.completeRental("t5-2");
        assertTrue(intents.content().isEmpty() && intents.isRecordOutdated());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void simulationHasNoViolations(long seed) {
        assertEquals(List.of(), new Simulation(seed, null).play());
    }

    /** Runs a simulation and returns its violations; {@code effects} receives the decisions. */
    public static List<String> play(long seed, EffectListener effects) {
        Simulation simulation = new Simulation(seed, null);
        simulation.effects = effects;
        return simulation.play();
    }

    @ParameterizedTest
    @EnumSource
    void omittedSafeguardCausesAViolation(OmittedSafeguard omitted) {
        boolean found = false;
        for (long seed = 1; seed <= 20 && !found; seed++) {
            found = !new Simulation(seed, omitted).play().isEmpty();
        }
        assertTrue(found, "no violation found without " + omitted);
    }

    /**
     * Simulates failovers at random times, lost responses of the state service and the cloud, and requests to the cloud that are executed late.
     * Violations are a rented machine that the last leader does not know, a machine in use after its return was requested, and a request
     * name that is sent with two different counts.
     */
    private static final class Simulation {
        private final Random random;
        private EffectListener effects = EffectListener.NONE;
        private final OmittedSafeguard omitted;
        private final List<String> violations = new ArrayList<>();
        private final Map<String, Integer> countByRentalName = new HashMap<>();
        private final Map<String, List<MachineId>> machinesByRentalName = new HashMap<>();
        private final Set<MachineId> existing = new HashSet<>();
        private final Set<MachineId> returnRequested = new HashSet<>();
        private final List<Runnable> delayedRequests = new ArrayList<>();
        private Intents.Content record = new Intents.Content(List.of(), List.of());
        private Intents intents = new Intents();
        private Set<MachineId> knownToLeader = new HashSet<>();
        private Set<MachineId> notUsable = new HashSet<>();
        private int leaderNumber = 1;
        private int rentalNumber;
        private int machineNumber;

        Simulation(long seed, OmittedSafeguard omitted) {
            this.random = new Random(seed);
            this.omitted = omitted;
        }

        List<String> play() {
            for (int step = 0; step < 600; step++) {
                switch (random.nextInt(8)) {
                    case 0 ->
                        intents.add(new Intents.Rental(
                                "t" + leaderNumber + "-" + ++rentalNumber, POOL, 1 + random.nextInt(3), 0));
                    case 1 ->
                        knownToLeader.stream()
                                .filter(id -> !notUsable.contains(id))
                                .findAny()
                                .ifPresent(this::markForReturn);
                    case 2 -> writeRecord();
                    case 3, 4 -> sendRental();
                    case 5 -> sendReturns();
                    case 6 -> checkUse();
                    default -> {
                        if (random.nextInt(6) == 0) {
                            failover();
                        } else if (!delayedRequests.isEmpty()) {
                            delayedRequests
                                    .remove(random.nextInt(delayedRequests.size()))
                                    .run();
                        }
                    }
                }
            }
            failover();
            delayedRequests.forEach(Runnable::run);
            writeRecord();
            for (int i = 0; i < 400; i++) {
                sendRental();
                sendReturns();
                writeRecord();
            }
            existing.stream()
                    .filter(id -> !knownToLeader.contains(id))
                    .forEach(id -> violations.add(id + " is rented but unknown to the leader"));
            return violations;
        }

        private void markForReturn(MachineId id) {
            notUsable.add(id);
            intents.addReturns(List.of(id));
        }

        private void writeRecord() {
            Intents.Content content = intents.content();
            record = content;
            List<Object> rentals = new ArrayList<>();
            content.rentals().forEach(rental -> rentals.addAll(List.of(rental.name(), rental.count())));
            effects.effect(EffectListener.INTENTS, rentals, names(content.returns()));
            if (random.nextInt(4) > 0) {
                intents.onRecorded(content);
            }
        }

        private void sendRental() {
            intents.content().rentals().stream()
                    .filter(rental ->
                            omitted == OmittedSafeguard.RECORD_BEFORE_SENDING || intents.maySendRental(rental.name()))
                    .findAny()
                    .ifPresent(rental -> {
                        effects.effect(EffectListener.RENT_REQUESTED, rental.name(), rental.count());
                        if (countByRentalName.putIfAbsent(rental.name(), rental.count()) != null
                                && countByRentalName.get(rental.name()) != rental.count()) {
                            violations.add(rental.name() + " is sent with different counts");
                        }
                        Runnable execution = () -> machinesByRentalName.computeIfAbsent(rental.name(), name -> {
                            List<MachineId> ids = new ArrayList<>();
                            for (int i = 0; i < rental.count(); i++) {
                                ids.add(new MachineId("vm-" + ++machineNumber));
                            }
                            existing.addAll(ids);
                            return ids;
                        });
                        if (random.nextInt(3) == 0) {
                            delayedRequests.add(execution);
                        } else {
                            execution.run();
                            if (random.nextInt(3) > 0) {
                                machinesByRentalName.get(rental.name()).stream()
                                        .filter(existing::contains)
                                        .forEach(knownToLeader::add);
                                intents.completeRental(rental.name());
                            }
                        }
                    });
        }

        private void sendReturns() {
            List<MachineId> ids = intents.content().returns();
            if (ids.isEmpty() || (omitted != OmittedSafeguard.RECORD_BEFORE_SENDING && !intents.maySendReturns(ids))) {
                return;
            }
            effects.effect(EffectListener.RETURN_REQUESTED, names(ids));
            returnRequested.addAll(ids);
            if (random.nextBoolean()) {
                delayedRequests.add(() -> existing.removeAll(ids));
            } else {
                existing.removeAll(ids);
                knownToLeader.removeAll(ids);
                notUsable.removeAll(ids);
                intents.completeReturns(ids);
            }
        }

        private static List<String> names(List<MachineId> ids) {
            return ids.stream().map(MachineId::text).toList();
        }

        private void checkUse() {
            knownToLeader.stream()
                    .filter(id -> !notUsable.contains(id) && returnRequested.contains(id) && existing.contains(id))
                    .forEach(id -> violations.add(id + " is used though its return was requested"));
        }

        /**
         * The next leader knows the recorded requests and the machines that send heartbeats, but not machines whose
         * rental is executed late.
         */
        private void failover() {
            leaderNumber++;
            Set<MachineId> previouslyKnown = knownToLeader;
            intents = new Intents();
            knownToLeader = new HashSet<>();
            notUsable = new HashSet<>();
            previouslyKnown.stream().filter(existing::contains).forEach(knownToLeader::add);
            if (omitted != OmittedSafeguard.COMPLETE_INHERITED_RENTALS) {
                record.rentals().forEach(intents::add);
            }
            if (omitted != OmittedSafeguard.KEEP_INHERITED_RETURNS) {
                intents.addReturns(record.returns());
                notUsable.addAll(record.returns());
            }
            intents.onRecorded(record);
        }
    }
}
