package io.indigoreach.core.model;

/** A machine as the cloud lists it. {@code sinceRequested} is the time since it was requested. */
public record ListedMachine(MachineId id, MachinePool pool, Status status, Span timeSinceRequest) {
    /** FAILED: it stopped by itself, with everything on it. */
    public enum Status {
        STARTING,
        RUNNING,
        FAILED
    }
}
