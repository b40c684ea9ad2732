package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/** The newest heartbeat of each machine that was answered before the records had been loaded, whether it was known or not. */
final class EarlyHeartbeats {
    private record Answered(HeartbeatNumber number, Moment at) {
        Answered newer(Answered other) {
            return other.number.compareTo(number) > 0 ? other : this;
        }
    }

    private final Map<MachineId, Answered> newest = new HashMap<>();

    /** Answered all the same, which renews the machine's lease; a copy of an older heartbeat renews nothing. */
    void answered(Heartbeat heartbeat, Moment now) {
        newest.merge(heartbeat.machine(), new Answered(heartbeat.number(), now), Answered::newer);
    }

    /**
     * Hands over what was answered, now that the recorded machines are known. Guards against a lease that counts as expired
     * although the answer renewed it, and against a copy of the heartbeat that arrives later.
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
