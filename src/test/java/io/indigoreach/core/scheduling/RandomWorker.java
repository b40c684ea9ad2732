package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker of a machine in a {@link RandomSimulation}, and the troubles that it has. */
final class RandomWorker {
    final String name;
    final String zone;
    long incarnation = 1;
    long heartbeatSerial;
    long token;
    double lastAnsweredAt;
    boolean dead;
    double hangingUntil;
    /** Its reports arrive, answers don't. */
    double answersLostUntil;
    /** Neither its reports arrive nor answers. */
    double unreachableUntil;
    /** Its report under way; or null. */
    HeartbeatInFlight inFlight;

    final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
    final Map<TaskId, Double> endTimes = new HashMap<>();

    RandomWorker(String name, String zone, double now) {
        this.name = name;
        this.zone = zone;
        this.lastAnsweredAt = now;
    }

    /** A report on its way, and its answer; without a leader's token there is none yet. */
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
