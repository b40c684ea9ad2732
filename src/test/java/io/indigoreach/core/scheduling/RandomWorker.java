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
    long session = 1;
    long serial;
    long token;
    double answered;
    boolean dead;
    double hangsUntil;
    /** Until then its heartbeats arrive but answers do not reach it. */
    double deafUntil;
    /** Until then neither its heartbeats nor answers arrive. */
    double cutUntil;
    /** Its heartbeat in flight, or null. */
    Flight flight;

    final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
    final Map<TaskId, Double> ends = new HashMap<>();

    RandomWorker(String name, String zone, double now) {
        this.name = name;
        this.zone = zone;
        this.answered = now;
    }

    /** A heartbeat in flight and its answer. The token is 0 until a leader has answered. */
    static final class Flight {
        final Heartbeat report;
        final double sent;
        final double arrives;
        final double back;
        long token;
        List<WorkerCommand> orders = List.of();

        Flight(Heartbeat heartbeat, double sent, double arrives, double back) {
            this.report = heartbeat;
            this.sent = sent;
            this.arrives = arrives;
            this.back = back;
        }
    }
}
