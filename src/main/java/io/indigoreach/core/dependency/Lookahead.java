package io.indigoreach.core.dependency;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * What the jobs at the ends of chains ask of those before them: the priority of the most urgent one that needs a job, and the
 * time by which it has to be done for the deadlines after it to be met, worked back through expected run times. One walk over
 * all edges.
 */
public final class Lookahead {
    private Lookahead() {}

    /**
     * For each job that another waits for, what those after it ask of it.
     *
     * @param own what is asked of a job by itself
     * @param run a job's expected run time
     */
    public static Map<JobId, JobTarget> of(
            DependencyGraph graph, Function<JobId, JobTarget> own, Function<JobId, Span> run) {
        Map<JobId, JobTarget> asked = new HashMap<>();
        for (DependencyGraph.Edge edge : graph.fromTheEnds()) {
            JobTarget after = asked.get(edge.job());
            JobTarget whole = after == null
                    ? own.apply(edge.job())
                    : own.apply(edge.job()).and(after);
            asked.merge(edge.need(), whole.before(run.apply(edge.job())), JobTarget::and);
        }
        return asked;
    }
}
