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
     * @param askedMs when the request was first decided on, in milliseconds since 1970
     */
    public record Rent(String name, MachinePool pool, int count, long askedMs) {}

    /** The content of the record: the open requests. */
    public record Page(List<Rent> rents, List<MachineId> returns) {
        public boolean isEmpty() {
            return rents.isEmpty() && returns.isEmpty();
        }
    }

    /** Tells whether the record, which is a single value of limited size, has room for another request. */
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

    /** The limit on rentals in progress. */
    public static final int MAX_RENTS = 30;

    /** The limit on returns in progress. */
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

    /** Whether this rental can be added. */
    public boolean hasRoomFor(Rent rent) {
        return rents.isEmpty() || (rents.size() < MAX_RENTS && size.hasRoomForRent(rents.values(), rent));
    }

    /** Adds a rental to be requested. The caller must have checked {@link #hasRoomFor}. */
    public void add(Rent rent) {
        rents.put(rent.name, rent);
    }

    /**
     * Adds machines to be returned, as far as the record has room, and returns those that were added or already present. The other machines have
     * to wait until earlier returns complete.
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

    /** Removes a rental whose outcome is known. */
    public void completed(String name) {
        rents.remove(name);
    }

    /** Removes the returns of these machines, which the cloud has confirmed. */
    public void returned(Collection<MachineId> machines) {
        returns.removeAll(machines);
    }

    /** Whether the rental is recorded and open, and so may be sent to the cloud. */
    public boolean maySend(String name) {
        return rents.containsKey(name) && recordedRents.contains(name);
    }

    /** Whether the returns of all these machines are recorded and open, and so may be sent to the cloud. */
    public boolean mayReturn(Collection<MachineId> machines) {
        return returns.containsAll(machines) && recordedReturns.containsAll(machines);
    }

    /** Whether there are requests that must be recorded before they are sent. */
    public boolean isUnrecorded() {
        return !recordedRents.containsAll(rents.keySet()) || !recordedReturns.containsAll(returns);
    }

    /** Whether the record still contains completed requests; they are removed when there is nothing more urgent to write. */
    public boolean isOutdated() {
        return recordedRents.size() > rents.size() || recordedReturns.size() > returns.size();
    }

    /** Returns the content that the record should have now. */
    public Page page() {
        return new Page(List.copyOf(rents.values()), List.copyOf(returns));
    }

    /** Records that a write of this content was acknowledged. */
    public void recorded(Page page) {
        recordedRents.clear();
        page.rents.forEach(rent -> recordedRents.add(rent.name));
        recordedReturns.clear();
        recordedReturns.addAll(page.returns);
    }
}
