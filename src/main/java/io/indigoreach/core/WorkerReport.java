package io.indigoreach.core;

import java.util.List;

/** A worker's report. {@code notice} is the time until the cloud takes the machine away, or null. */
public record WorkerReport(
        MachineId machine,
        String address,
        Pool pool,
        ReportNumber number,
        Token token,
        Span notice,
        List<TaskReport> tasks) {
    public WorkerReport {
        tasks = List.copyOf(tasks);
    }
}
