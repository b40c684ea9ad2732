package io.indigoreach.core.model;

import java.util.List;

/**
 * A worker's heartbeat.
 *
 * @param preemptionNotice the time until the cloud preempts the machine; null if no preemption is announced
 * @param tasks all tasks on the machine
 */
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
