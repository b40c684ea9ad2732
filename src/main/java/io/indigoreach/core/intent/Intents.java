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
    public record Rental(String name, MachinePool pool, int count, long requestedAtMs) {}

    /** The content of the record. */
    public record Content(List<Rental> rentals, List<MachineId> returns) {
        public boolean isEmpty() {
            return rentals.isEmpty() && returns.isEmpty();
        }
    }

    /** Whether the record, which is one value of limited size, has room for more. */
    public interface Capacity {
        boolean hasRoomForRental(Collection<Rental> rentals, Rental next);

        boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next);
    }

    private static final Capacity UNLIMITED = new Capacity() {
        @Override
        public boolean hasRoomForRental(Collection<Rental> rents, Rental next) {
            return true;
        }

        @Override
        public boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next) {
            return true;
        }
    };

    /** The most rentals in progress at a time. */
    public static final int MAX_RENTALS = 30;

    /** The most returns in progress at a time. */
    public static final int MAX_RETURNS = 100;

    private final Capacity capacity;
    private final Map<String, Rental> rentals = new LinkedHashMap<>();
    private final Set<MachineId> returns = new LinkedHashSet<>();
    private final Set<String> recordedRentals = new HashSet<>();
    private final Set<MachineId> recordedReturns = new HashSet<>();

    public Intents() {
        this(UNLIMITED);
    }

    public Intents(Capacity capacity) {
        this.capacity = capacity;
    }

    /** Whether there is room for this request to rent. */
    public boolean hasRoomFor(Rental rental) {
        return rentals.isEmpty()
                || (rentals.size() < MAX_RENTALS && capacity.hasRoomForRental(rentals.values(), rental));
    }

    /** Adds a rental that is to be requested; the caller has checked {@link #hasRoomFor}. */
    public void add(Rental rental) {
        rentals.put(rental.name, rental);
    }

    /**
     * Adds machines that are to be returned. The result is those of them that have room in the record; the others have to wait until earlier
     * returns are answered.
     */
    public List<MachineId> addReturns(Collection<MachineId> machines) {
        List<MachineId> added = new ArrayList<>();
        for (MachineId id : machines) {
            if (returns.contains(id) || (returns.size() < MAX_RETURNS && capacity.hasRoomForReturn(returns, id))) {
                returns.add(id);
                added.add(id);
            }
        }
        return added;
    }

    /** The outcome of a rental is known. */
    public void completeRental(String name) {
        rentals.remove(name);
    }

    /** The cloud has confirmed that these machines are returned. */
    public void completeReturns(Collection<MachineId> machines) {
        returns.removeAll(machines);
    }

    /** Whether the rental of that name is recorded and open, so that it may be requested. */
    public boolean maySendRental(String name) {
        return rentals.containsKey(name) && recordedRentals.contains(name);
    }

    /** Whether the returns of all these machines are recorded and open, so that they may be requested. */
    public boolean maySendReturns(Collection<MachineId> machines) {
        return returns.containsAll(machines) && recordedReturns.containsAll(machines);
    }

    /** Whether something has to be recorded before it may be requested. */
    public boolean hasUnrecordedRequests() {
        return !recordedRentals.containsAll(rentals.keySet()) || !recordedReturns.containsAll(returns);
    }

    /** Whether the record contains what is completed: to be removed when there is nothing else to write. */
    public boolean isRecordOutdated() {
        return recordedRentals.size() > rentals.size() || recordedReturns.size() > returns.size();
    }

    /** What the record should contain now. */
    public Content content() {
        return new Content(List.copyOf(rentals.values()), List.copyOf(returns));
    }

    /** The record surely has this content. */
    public void onRecorded(Content content) {
        recordedRentals.clear();
        content.rentals.forEach(rental -> recordedRentals.add(rental.name));
        recordedReturns.clear();
        recordedReturns.addAll(content.returns);
    }
}
