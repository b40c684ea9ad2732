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
 * Which machines that this leader does not know are taken on for what they report. A report by itself shows nothing: it may
 * be a copy that comes minutes late, of a machine that is long gone. One that bears this leader's token, after an older
 * one from the same machine, does: only this leader's answer to that one can have shown the token. What really runs without
 * showing that is taken on by the cloud's list.
 */
final class MachineAdoption {
    private static final int KEPT = 1000;

    private final SafetyTimes rules;
    /** A report of each whose answer shows our token: the first that bore an older one, or the last before the records were read. */
    private final Map<MachineId, HeartbeatNumber> answeredFirst = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineId, HeartbeatNumber> eldest) {
            return size() > KEPT;
        }
    };
    /** The newest machine of an earlier list, and when it was surely there. */
    private MachineId newest;

    private Moment seen;
    /** Machines up to this one were all known to a whole list that is new enough: an unknown one of them is gone. */
    private MachineId settled;

    MachineAdoption(SafetyTimes rules) {
        this.rules = rules;
    }

    /**
     * Answered before it was known who is known. Else a copy of that report, and one of the next, would be taken for the first
     * that this leader sees and the proof after it.
     */
    void answered(MachineId id, HeartbeatNumber newest) {
        answeredFirst.put(id, newest);
    }

    boolean isAliveUnderToken(Heartbeat heartbeat, FencingToken token) {
        MachineId id = heartbeat.machine();
        if (settled != null && id.compareTo(settled) <= 0) {
            return false;
        }
        if (heartbeat.token().value() < token.value()) {
            answeredFirst.putIfAbsent(id, heartbeat.number());
            return false;
        }
        HeartbeatNumber first = answeredFirst.get(id);
        boolean proved = first != null && heartbeat.number().compareTo(first) > 0;
        if (proved) {
            answeredFirst.remove(id);
        }
        return proved;
    }

    /**
     * A whole list, of which every machine is known by now. Names are in the order of creation: what was created before a
     * machine that an earlier list had, and is not in a list that describes a later moment, is gone for good.
     */
    void listed(Collection<MachineId> list, Moment asked, Moment now) {
        if (newest != null && !seen.isAfter(asked.minus(rules.oldestListing()))) {
            settled = newest;
            newest = null;
        }
        if (newest == null && !list.isEmpty()) {
            newest = Collections.max(list);
            seen = now;
        }
    }
}
