package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/** The newest heartbeat of each machine that was answered before the records had been loaded, whether it was known or not. */
final class EarlyHeartbeats {
    private record AnsweredHeartbeat(HeartbeatNumber number, Moment answeredAt) {
        AnsweredHeartbeat newest(AnsweredHeartbeat other) {
            return other.number.compareTo(number) > 0 ? other : this;
        }
    }

    private final Map<MachineId, AnsweredHeartbeat> newestByMachine = new HashMap<>();

    /** Answered all the same, which renews the machine's lease; a copy of an older heartbeat renews nothing. */
    void recordAnswered(Heartbeat heartbeat, Moment now) {
        newestByMachine.merge(
                heartbeat.machine(), new AnsweredHeartbeat(heartbeat.number(), now), AnsweredHeartbeat::newest);
    }

    /**
     * Hands over what was answered, now that the recorded machines are known. Guards against a lease that counts as expired
     * although the answer renewed it, and against a copy of the heartbeat that arrives later.
     */
    void applyTo(Cluster cluster, MachineAdoptionPolicy adoption) {
        newestByMachine.forEach((id, answered) -> {
            Machine machine = cluster.machines.get(id);
            if (machine != null) {
                machine.applyAnswerBeforeLoading(answered.number, answered.answeredAt);
            } else {
                adoption.recordAnswered(id, answered.number);
            }
        });
        newestByMachine.clear();
    }
}
