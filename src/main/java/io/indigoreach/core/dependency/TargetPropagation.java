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
public final class TargetPropagation {
    private TargetPropagation() {}

    /**
     * Returns the target that the dependents impose on each required job.
     *
     * @param ownTarget returns a job's own target
     * @param runTime returns a job's expected run time
     */
    public static Map<JobId, JobTarget> propagate(
            DependencyGraph graph, Function<JobId, JobTarget> ownTarget, Function<JobId, Span> runTime) {
        Map<JobId, JobTarget> targets = new HashMap<>();
        for (DependencyGraph.Edge edge : graph.edgesInTopologicalOrder()) {
            JobTarget fromDependents = targets.get(edge.job());
            JobTarget combined = fromDependents == null
                    ? ownTarget.apply(edge.job())
                    : ownTarget.apply(edge.job()).combinedWith(fromDependents);
            targets.merge(
                    edge.requiredJob(), combined.forRequiredJob(runTime.apply(edge.job())), JobTarget::combinedWith);
        }
        return targets;
    }
}
