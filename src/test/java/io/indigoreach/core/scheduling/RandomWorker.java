package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker of a machine in a {@link RandomSimulation}, with its current faults. */
final class RandomWorker {
    final String name;
    final String zone;
    long incarnation = 1;
    long heartbeatSerial;
    long token;
    double lastAnsweredAt;
    boolean dead;
    double hangingUntil;
    /** Until then its heartbeats arrive but answers do not reach it. */
    double answersLostUntil;
    /** Until then neither its heartbeats nor answers arrive. */
    double unreachableUntil;
    /** Its heartbeat in flight, or null. */
    HeartbeatInFlight inFlight;

    final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
    final Map<TaskId, Double> endTimes = new HashMap<>();

    RandomWorker(String name, String zone, double now) {
        this.name = name;
        this.zone = zone;
        this.lastAnsweredAt = now;
    }

    /** A heartbeat in flight and its answer. The token is 0 until a leader has answered. */
    static final class HeartbeatInFlight {
        final Heartbeat heartbeat;
        final double sentAt;
        final double arrivesAt;
        final double answerArrivesAt;
        long token;
        List<WorkerCommand> commands = List.of();

        HeartbeatInFlight(Heartbeat heartbeat, double sentAt, double arrivesAt, double answerArrivesAt) {
            this.heartbeat = heartbeat;
            this.sentAt = sentAt;
            this.arrivesAt = arrivesAt;
            this.answerArrivesAt = answerArrivesAt;
        }
    }
}
