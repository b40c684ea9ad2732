package io.indigoreach.core.model;

import java.util.List;

/** A worker's heartbeat with all its tasks. {@code preemptionNotice} is the time until the cloud preempts the machine, or null. */
public record Heartbeat(
        MachineId machine,
        String address,
        MachinePool pool,
        HeartbeatNumber number,
        FencingToken token,
        Span preemptionNotice,
        List<TaskStatus> tasks) {
    public Heartbeat {
        tasks = List.copyOf(tasks);
    }
}
