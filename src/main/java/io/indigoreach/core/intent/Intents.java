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
 * The requests to the cloud that a leader has in progress. The cloud knows no fencing tokens: a request that was given up may be executed
 * minutes later, under the next leader. So nothing is requested before it is recorded, as in a redo log: a rental by its name, pool and
 * count, a return by the machine's name. The next leader completes what is open: it repeats a rental under its own name until the
 * outcome is known, and never uses a machine that was to be returned, as the return may still be executed.
 */
public final class Intents {
    /** A request to rent machines; {@code askedMs}: when it was first decided on, in milliseconds since 1970. */
    public record Rent(String name, MachinePool pool, int count, long askedMs) {}

    /** The content of the record. */
    public record Page(List<Rent> rents, List<MachineId> returns) {
        public boolean isEmpty() {
            return rents.isEmpty() && returns.isEmpty();
        }
    }

    /** Whether the record, which is one value of limited size, has room for more. */
    public interface Size {
        boolean hasRoomForRent(Collection<Rent> rents, Rent next);

        boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next);
    }

    private static final Size UNLIMITED = new Size() {
        @Override
        public boolean hasRoomForRent(Collection<Rent> rents, Rent next) {
            return true;
        }

        @Override
        public boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next) {
            return true;
        }
    };

    /** The most rentals in progress at a time. */
    public static final int MAX_RENTS = 30;

    /** The most returns in progress at a time. */
    public static final int MAX_RETURNS = 100;

    private final Size size;
    private final Map<String, Rent> rents = new LinkedHashMap<>();
    private final Set<MachineId> returns = new LinkedHashSet<>();
    private final Set<String> recordedRents = new HashSet<>();
    private final Set<MachineId> recordedReturns = new HashSet<>();

    public Intents() {
        this(UNLIMITED);
    }

    public Intents(Size size) {
        this.size = size;
    }

    /** Whether there is room for this request to rent. */
    public boolean hasRoomFor(Rent rent) {
        return rents.isEmpty() || (rents.size() < MAX_RENTS && size.hasRoomForRent(rents.values(), rent));
    }

    /** Adds a rental that is to be requested; the caller has checked {@link #hasRoomFor}. */
    public void add(Rent rent) {
        rents.put(rent.name, rent);
    }

    /**
     * Adds machines that are to be returned. The result is those of them that have room in the record; the others have to wait until earlier
     * returns are answered.
     */
    public List<MachineId> addReturns(Collection<MachineId> machines) {
        List<MachineId> now = new ArrayList<>();
        for (MachineId id : machines) {
            if (returns.contains(id) || (returns.size() < MAX_RETURNS && size.hasRoomForReturn(returns, id))) {
                returns.add(id);
                now.add(id);
            }
        }
        return now;
    }

    /** The outcome of a rental is known. */
    public void completed(String name) {
        rents.remove(name);
    }

    /** The cloud has confirmed that these machines are returned. */
    public void returned(Collection<MachineId> machines) {
        returns.removeAll(machines);
    }

    /** Whether the rental of that name is recorded and open, so that it may be requested. */
    public boolean maySend(String name) {
        return rents.containsKey(name) && recordedRents.contains(name);
    }

    /** Whether the returns of all these machines are recorded and open, so that they may be requested. */
    public boolean mayReturn(Collection<MachineId> machines) {
        return returns.containsAll(machines) && recordedReturns.containsAll(machines);
    }

    /** Whether something has to be recorded before it may be requested. */
    public boolean isUnrecorded() {
        return !recordedRents.containsAll(rents.keySet()) || !recordedReturns.containsAll(returns);
    }

    /** Whether the record contains what is completed: to be removed when there is nothing else to write. */
    public boolean isOutdated() {
        return recordedRents.size() > rents.size() || recordedReturns.size() > returns.size();
    }

    /** What the record should contain now. */
    public Page page() {
        return new Page(List.copyOf(rents.values()), List.copyOf(returns));
    }

    /** The record surely has this content. */
    public void recorded(Page page) {
        recordedRents.clear();
        page.rents.forEach(rent -> recordedRents.add(rent.name));
        recordedReturns.clear();
        recordedReturns.addAll(page.returns);
    }
}
