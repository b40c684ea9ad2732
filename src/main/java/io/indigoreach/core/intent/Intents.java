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
 * A leader's requests to the cloud that are in progress. The cloud does not check fencing tokens: a request that timed out may be executed minutes
 * later, under the next leader. So each request is recorded before it is sent, as in a redo log: a rental with its name, pool and count, a return
 * with the machine's name. The next leader completes the open requests: it repeats a rental under the same name until the outcome is known, and
 * never uses a machine whose return is recorded, as the return may still be executed.
 */
public final class Intents {
    /**
     * A request to rent machines.
     *
     * @param name identifies the request, which makes it idempotent
     * @param requestedAtMs when the request was first decided on, in milliseconds since 1970
     */
    public record Rental(String name, MachinePool pool, int count, long requestedAtMs) {}

    /** The content of the record: the open requests. */
    public record Content(List<Rental> rentals, List<MachineId> returns) {
        public boolean isEmpty() {
            return rentals.isEmpty() && returns.isEmpty();
        }
    }

    /** Tells whether the record, which is a single value of limited size, has room for another request. */
    public interface Capacity {
        boolean hasRoomForRental(Collection<Rental> rentals, Rental next);

        boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next);
    }

    private static final Capacity UNLIMITED = new Capacity() {
        @Override
        public boolean hasRoomForRental(Collection<Rental> rentals, Rental next) {
            return true;
        }

        @Override
        public boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next) {
            return true;
        }
    };

    /** The limit on rentals in progress. */
    public static final int MAX_RENTALS = 30;

    /** The limit on returns in progress. */
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

    /** Whether this rental can be added. */
    public boolean hasRoomFor(Rental rental) {
        return rentals.isEmpty()
                || (rentals.size() < MAX_RENTALS && capacity.hasRoomForRental(rentals.values(), rental));
    }

    /** Adds a rental to be requested. The caller must have checked {@link #hasRoomFor}. */
    public void add(Rental rental) {
        rentals.put(rental.name, rental);
    }

    /**
     * Adds machines to be returned, as far as the record has room, and returns those that were added or already present. The other machines have
     * to wait until earlier returns complete.
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

    /** Removes a rental whose outcome is known. */
    public void completeRental(String name) {
        rentals.remove(name);
    }

    /** Removes the returns of these machines, which the cloud has confirmed. */
    public void completeReturns(Collection<MachineId> machines) {
        returns.removeAll(machines);
    }

    /** Whether the rental is recorded and open, and so may be sent to the cloud. */
    public boolean maySendRental(String name) {
        return rentals.containsKey(name) && recordedRentals.contains(name);
    }

    /** Whether the returns of all these machines are recorded and open, and so may be sent to the cloud. */
    public boolean maySendReturns(Collection<MachineId> machines) {
        return returns.containsAll(machines) && recordedReturns.containsAll(machines);
    }

    /** Whether there are requests that must be recorded before they are sent. */
    public boolean hasUnrecordedRequests() {
        return !recordedRentals.containsAll(rentals.keySet()) || !recordedReturns.containsAll(returns);
    }

    /** Whether the record still contains completed requests; they are removed when there is nothing more urgent to write. */
    public boolean isRecordOutdated() {
        return recordedRentals.size() > rentals.size() || recordedReturns.size() > returns.size();
    }

    /** Returns the content that the record should have now. */
    public Content content() {
        return new Content(List.copyOf(rentals.values()), List.copyOf(returns));
    }

    /** Records that a write of this content was acknowledged. */
    public void onRecorded(Content content) {
        recordedRentals.clear();
        content.rentals.forEach(rental -> recordedRentals.add(rental.name));
        recordedReturns.clear();
        recordedReturns.addAll(content.returns);
    }
}
