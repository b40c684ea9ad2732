package io.indigoreach.core.dependency;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Propagates targets from jobs to the jobs that they require: the priority of the most urgent dependent, and the latest time by which a job must
 * complete for its dependents to meet their deadlines, given their expected run times. Takes one pass over all edges.
 */
public final class Lookahead {
    private Lookahead() {}

    /**
     * Returns the target that the dependents impose on each required job.
     *
     * @param own returns a job's own target
     * @param runTime returns a job's expected run time
     */
    public static Map<JobId, JobTarget> of(
            DependencyGraph graph, Function<JobId, JobTarget> own, Function<JobId, Span> runTime) {
        Map<JobId, JobTarget> targets = new HashMap<>();
        for (DependencyGraph.Edge edge : graph.edgesFromLastJobs()) {
            JobTarget after = targets.get(edge.job());
            JobTarget combined = after == null
                    ? own.apply(edge.job())
                    : own.apply(edge.job()).strictest(after);
            targets.merge(edge.requiredJob(), combined.before(runTime.apply(edge.job())), JobTarget::strictest);
        }
        return targets;
    }
}
