package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/** Who keeps machines ahead of the work that will need them. Without pools there is {@link #NONE}, which costs nothing. */
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

    /** A team waits for what it is guaranteed, and this machine would do. */
    default void yield(Machine machine, Moment now) {}

    default void refused(MachinePool pool) {}

    /** A task is ordered to start there. */
    default void taskStarting(Job job, Machine machine) {}

    /** Whether it is known which machines are kept: before that what sits on them is left alone. */
    default boolean isKnown() {
        return false;
    }
}
