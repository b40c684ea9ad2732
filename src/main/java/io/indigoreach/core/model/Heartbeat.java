package io.indigoreach.core.model;

import java.util.List;

/** A worker's report. {@code notice} is the time until the cloud takes the machine away, or null. */
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
