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
 * Decides which unknown machines are adopted because of their heartbeats. A single heartbeat proves nothing: it may be
 * a copy that arrives minutes late from a machine that no longer exists. A heartbeat with this leader's token that
 * follows an earlier heartbeat of the same machine is proof, because the machine can have the token only from this
 * leader's answer to the earlier one. A running machine that never proves itself in this way is adopted from the
 * cloud's listing.
 */
final class MachineAdoptionPolicy {
    private static final int MAX_ANSWERED = 1000;

    private final SafetyTimes safetyTimes;
    /**
     * For each unknown machine, a heartbeat whose answer gave it this leader's token: the first one with an older
     * token, or the last one before the records were loaded.
     */
    private final Map<MachineId, HeartbeatNumber> answeredHeartbeats = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineId, HeartbeatNumber> eldest) {
            return size() > MAX_ANSWERED;
        }
    };
    /** The newest machine of an earlier listing. */
    private MachineId newestListed;

    /** A moment at which the newest listed machine is known to have existed. */
    private Moment newestListedAt;
    /**
     * Machines up to this one were covered by a recent complete listing, so an unknown one among them no longer exists.
     */
    private MachineId completeUpTo;

    MachineAdoptionPolicy(SafetyTimes safetyTimes) {
        this.safetyTimes = safetyTimes;
    }

    /**
     * Records a heartbeat that was answered before the records were loaded. Otherwise a late copy of it and a late copy
     * of the next one would be taken for the machine's first heartbeat and the proof that follows it.
     */
    void recordAnswered(MachineId id, HeartbeatNumber number) {
        answeredHeartbeats.put(id, number);
    }

    /** Whether the heartbeat of an unknown machine proves that the machine has received an answer of this leader. */
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
        boolean existenceProven = answered != null && heartbeat.number().compareTo(answered) > 0;
        if (existenceProven) {
            answeredHeartbeats.remove(id);
        }
        return existenceProven;
    }

    /**
     * Handles a complete listing, all of whose machines are known by now. Machine names are assigned in order of
     * creation. If a machine's name precedes one that an earlier listing contained, and a listing of a later state
     * lacks it, the machine no longer exists.
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
