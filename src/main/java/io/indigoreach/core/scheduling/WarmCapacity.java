package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides which machines are kept ready for expected work. {@link #NONE}, used without warm pools, keeps no machines.
 */
public interface WarmCapacity {
    WarmCapacity NONE = new WarmCapacity() {};

    /**
     * Plans the pools once per check, before idle machines are returned. The predicate matches machines whose paid term
     * ends before the next check.
     */
    default void plan(
            Collection<Machine> machines,
            Collection<Job> jobs,
            Predicate<Machine> paidTermEndsBeforeNextCheck,
            Moment now) {}

    /** Returns whether a machine is kept for expected work even if no waiting job can use it. */
    default boolean isRetained(Machine machine) {
        return false;
    }

    /** Returns the machines to rent beyond the need of the queue, with at most one request per machine pool. */
    default List<ScaleOutRequest> scaleOutRequests(Moment now) {
        return List.of();
    }

    /**
     * Releases the machine from its warm pool, for a team that waits for its guaranteed cores and can use the machine.
     */
    default void releaseForGuarantee(Machine machine, Moment now) {}

    /** Records that the cloud has no capacity in the machine pool. */
    default void scaleOutRejected(MachinePool pool) {}

    /** Records that a task of the job has been commanded to start on the machine. */
    default void taskStarting(Job job, Machine machine) {}

    /**
     * Returns whether it is known which machines are kept. Before that, tasks that hold images on machines are not
     * stopped.
     */
    default boolean isMembershipKnown() {
        return false;
    }
}
