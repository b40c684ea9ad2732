package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which unknown machines are adopted for their heartbeats. A heartbeat by itself proves nothing: it may be a copy that
 * arrives minutes late, of a machine that is long gone. One that bears this leader's token, after an older one from the same
 * machine, does: only this leader's answer to that one can have shown the token. What really runs without
 * showing that is adopted from the cloud's listing.
 */
final class MachineAdoptionPolicy {
    private static final int MAX_ANSWERED = 1000;

    private final SafetyTimes safetyTimes;
    /** A heartbeat of each whose answer shows our token: the first with an older one, or the last before the records were loaded. */
    private final Map<MachineId, HeartbeatNumber> answeredHeartbeats = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineId, HeartbeatNumber> eldest) {
            return size() > MAX_ANSWERED;
        }
    };
    /** The newest machine of an earlier listing. */
    private MachineId newestListed;

    /** When the newest listed machine surely existed. */
    private Moment newestListedAt;
    /** Machines up to this one were all in a complete listing that is new enough: an unknown one of them is gone. */
    private MachineId completeUpTo;

    MachineAdoptionPolicy(SafetyTimes safetyTimes) {
        this.safetyTimes = safetyTimes;
    }

    /**
     * A heartbeat was answered before the records were loaded. Guards against a copy of it, and one of the next, being taken
     * for the first that this leader sees and the proof after it.
     */
    void recordAnswered(MachineId id, HeartbeatNumber number) {
        answeredHeartbeats.put(id, number);
    }

    /** Whether the heartbeat of an unknown machine proves that the machine exists under this leader's token. */
    boolean provesExistence(Heartbeat heartbeat, FencingToken token) {
        MachineId id = heartbeat.machine();
        if (completeUpTo != null && id.compareTo(completeUpTo) <= 0) {
            return false;
        }
        if (heartbeat.token().value() < token.value()) {
            answeredHeartbeats.putIfAbsent(id, heartbeat.number());
            return false;
        }
        HeartbeatNumber answered = answeredHeartbeats.get(id);
        boolean proven = answered != null && heartbeat.number().compareTo(answered) > 0;
        if (proven) {
            answeredHeartbeats.remove(id);
        }
        return proven;
    }

    /**
     * A complete listing, of which every machine is known by now. Names are in the order of creation: what was created before a
     * machine of an earlier listing, and is not in a listing that describes a later moment, is gone for good.
     */
    void onListing(Collection<MachineId> listing, Moment requestedAt, Moment now) {
        if (newestListed != null && !newestListedAt.isAfter(requestedAt.minus(safetyTimes.oldestListing()))) {
            completeUpTo = newestListed;
            newestListed = null;
        }
        if (newestListed == null && !listing.isEmpty()) {
            newestListed = Collections.max(listing);
            newestListedAt = now;
        }
    }
}
