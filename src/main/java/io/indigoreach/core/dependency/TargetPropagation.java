package io.indigoreach.core.dependency;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Derives targets for required jobs from the jobs that depend on them: the priority of the most urgent dependant, and the
 * time by which a job has to be done for the deadlines after it to be met, derived from expected run times. One pass over
 * all edges.
 */
public final class TargetPropagation {
    private TargetPropagation() {}

    /**
     * The target of each job that another waits for, as its dependants set it.
     *
     * @param own a job's own target
     * @param runTime a job's expected run time
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
