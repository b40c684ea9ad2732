package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/** Decides which machines are kept ahead of the work that will need them. Without pools it is {@link #NONE}, which keeps none. */
public interface WarmCapacity {
    WarmCapacity NONE = new WarmCapacity() {};

    /** Once a check, before idle machines are returned: {@code termEnds} tells those whose paid term ends before the next. */
    default void plan(Collection<Machine> machines, Collection<Job> jobs, Predicate<Machine> termEnds, Moment now) {}

    /** It is paid for ahead of its work, and stays though nothing that waits can use it. */
    default boolean isRetained(Machine machine) {
        return false;
    }

    /** What to rent beside what the queue needs; at most one request to a pool of machines. */
    default List<ScaleOutRequest> scaleOutRequests(Moment now) {
        return List.of();
    }

    /** A team waits for its guarantee, and this machine can serve it. */
    default void releaseForGuarantee(Machine machine, Moment now) {}

    /** The cloud has no capacity in this pool. */
    default void scaleOutRejected(MachinePool pool) {}

    /** A task is commanded to start there. */
    default void taskStarting(Job job, Machine machine) {}

    /** Whether it is known which machines are kept: before that the tasks that hold images on them are not stopped. */
    default boolean isMembershipKnown() {
        return false;
    }
}
