package io.indigoreach.core;

/** A machine as the cloud lists it. {@code held} is the time since it was asked for. */
public record ListedMachine(MachineId id, Pool pool, Status status, Span held) {
    /** FAILED: it stopped by itself, with everything on it. */
    public enum Status {
        STARTING,
        RUNNING,
        FAILED
    }
}
