package io.indigoreach.core.intent;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a leader is about to ask the cloud. The cloud knows no tokens: a request that was given up may be executed minutes later,
 * under the next leader. So nothing is asked before it is recorded, as for a redo log: a rent by its name, pool and count, a
 * return by the machine's name. Whoever leads next settles what is open: it repeats a rent under its own name until the
 * outcome is known, and a machine that was to be returned is never used again, as the return may still come.
 */
public final class Intents {
    /** A request to rent; {@code askedMs}: when it was thought of, by the time of day. */
    public record Rent(String name, MachinePool pool, int count, long askedMs) {}

    /** What is to be recorded, or is. */
    public record Page(List<Rent> rents, List<MachineId> returns) {
        public boolean isEmpty() {
            return rents.isEmpty() && returns.isEmpty();
        }
    }

    /** How much of the record, which is one value, requests and machines take. */
    public interface Size {
        boolean hasRoomForRent(Collection<Rent> rents, Rent next);

        boolean hasRoomFor(Collection<MachineId> condemned, MachineId next);
    }

    private static final Size UNLIMITED = new Size() {
        @Override
        public boolean hasRoomForRent(Collection<Rent> rents, Rent next) {
            return true;
        }

        @Override
        public boolean hasRoomFor(Collection<MachineId> condemned, MachineId next) {
            return true;
        }
    };

    public static final int MOST_RENTS = 30;

    public static final int MOST_CONDEMNED = 100;

    private final Size size;
    private final Map<String, Rent> rents = new LinkedHashMap<>();
    private final Set<MachineId> condemned = new LinkedHashSet<>();
    private final Set<String> recordedRents = new HashSet<>();
    private final Set<MachineId> recordedCondemned = new HashSet<>();

    public Intents() {
        this(UNLIMITED);
    }

    public Intents(Size size) {
        this.size = size;
    }

    /** Whether there is room for this request to rent. */
    public boolean hasRoomFor(Rent rent) {
        return rents.isEmpty() || (rents.size() < MOST_RENTS && size.hasRoomForRent(rents.values(), rent));
    }

    public void add(Rent rent) {
        rents.put(rent.name, rent);
    }

    /** Those of {@code machines} that can be condemned now; the others have to wait until returns are answered. */
    public List<MachineId> recordReturns(Collection<MachineId> machines) {
        List<MachineId> now = new ArrayList<>();
        for (MachineId id : machines) {
            if (condemned.contains(id) || (condemned.size() < MOST_CONDEMNED && size.hasRoomFor(condemned, id))) {
                condemned.add(id);
                now.add(id);
            }
        }
        return now;
    }

    /** The outcome of a rent is known. */
    public void settled(String name) {
        rents.remove(name);
    }

    /** The cloud has said that these are gone. */
    public void gone(Collection<MachineId> machines) {
        condemned.removeAll(machines);
    }

    public boolean mayAsk(String name) {
        return rents.containsKey(name) && recordedRents.contains(name);
    }

    public boolean mayReturn(Collection<MachineId> machines) {
        return condemned.containsAll(machines) && recordedCondemned.containsAll(machines);
    }

    /** Something is to be recorded before it may be asked for. */
    public boolean isUnrecorded() {
        return !recordedRents.containsAll(rents.keySet()) || !recordedCondemned.containsAll(condemned);
    }

    /** The record holds what is settled: to be cleaned up when there is nothing else to write. */
    public boolean isOutdated() {
        return recordedRents.size() > rents.size() || recordedCondemned.size() > condemned.size();
    }

    public Page page() {
        return new Page(List.copyOf(rents.values()), List.copyOf(condemned));
    }

    /** The record surely is this page. */
    public void recorded(Page page) {
        recordedRents.clear();
        page.rents.forEach(r -> recordedRents.add(r.name));
        recordedCondemned.clear();
        recordedCondemned.addAll(page.returns);
    }
}
