package io.indigoreach.core.model;

/** A machine as the cloud lists it. {@code held} is the time since it was asked for. */
public record ListedMachine(MachineId id, MachinePool pool, Status status, Span held) {
    /** FAILED: it stopped by itself, with everything on it. */
    public enum Status {
        STARTING,
        RUNNING,
        FAILED
    }
}
