package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/** The newest heartbeat of each machine, known or unknown, that was answered before the records were loaded. */
final class EarlyHeartbeats {
    private record Answered(HeartbeatNumber number, Moment at) {
        Answered newer(Answered other) {
            return other.number.compareTo(number) > 0 ? other : this;
        }
    }

    private final Map<MachineId, Answered> newest = new HashMap<>();

    /**
     * Records an answered heartbeat. The answer renews the machine's lease; a copy of an older heartbeat renews
     * nothing.
     */
    void answered(Heartbeat heartbeat, Moment now) {
        newest.merge(heartbeat.machine(), new Answered(heartbeat.number(), now), Answered::newer);
    }

    /**
     * Passes the answered heartbeats to their machines, or to {@code adoption} if a machine is unknown, once the
     * records are loaded. Otherwise a lease would count as expired although an answer renewed it, or a late copy of the
     * heartbeat would be taken for a new one.
     */
    void handOver(Cluster cluster, MachineAdoption adoption) {
        newest.forEach((id, answered) -> {
            Machine machine = cluster.machines.get(id);
            if (machine != null) {
                machine.answeredBeforeLoading(answered.number, answered.at);
            } else {
                adoption.answered(id, answered.number);
            }
        });
        newest.clear();
    }
}
