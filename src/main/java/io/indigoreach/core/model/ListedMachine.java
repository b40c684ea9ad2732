package io.indigoreach.core.model;

/**
 * A machine as the cloud lists it.
 *
 * @param timeSinceRequest the time since the machine was requested
 */
public record ListedMachine(MachineId id, MachinePool pool, Status status, Span timeSinceRequest) {
    /** The state of a machine according to the cloud. */
    public enum Status {
        STARTING,
        RUNNING,
        /** The machine stopped without a request, and its tasks were lost. */
        FAILED
    }
}
