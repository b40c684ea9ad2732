package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/** The newest heartbeat of each machine, known or unknown, that was answered before the records were loaded. */
final class EarlyHeartbeats {
    private record AnsweredHeartbeat(HeartbeatNumber number, Moment answeredAt) {
        AnsweredHeartbeat newest(AnsweredHeartbeat other) {
            return other.number.compareTo(number) > 0 ? other : this;
        }
    }

    private final Map<MachineId, AnsweredHeartbeat> newestByMachine = new HashMap<>();

    /**
     * Records an answered heartbeat. The answer renews the machine's lease; a copy of an older heartbeat renews
     * nothing.
     */
    void recordAnswered(Heartbeat heartbeat, Moment now) {
        newestByMachine.merge(
                heartbeat.machine(), new AnsweredHeartbeat(heartbeat.number(), now), AnsweredHeartbeat::newest);
    }

    /**
     * Passes the answered heartbeats to their machines, or to {@code adoption} if a machine is unknown, once the
     * records are loaded. Otherwise a lease would count as expired although an answer renewed it, or a late copy of the
     * heartbeat would be taken for a new one.
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
