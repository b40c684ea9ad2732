package io.indigoreach.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the users expect of each class of jobs: tasks started, or jobs finished, within a time. */
public final class Aims {
    /** One expectation; {@code start}: of each task's start, else of the whole job's end. */
    public record Aim(String jobClass, boolean start, Span within) {
    }

    /** A job without an aim, or past all of them, counts as expected this long after its arrival. */
    private static final Span SOMETIME = Span.seconds(600);
    private final Map<String, List<Aim>> byClass = new HashMap<>();

    public Aims(List<Aim> aims) {
        for (Aim aim : aims) {
            byClass.computeIfAbsent(aim.jobClass(), c -> new ArrayList<>()).add(aim);
        }
    }

    /**
     * The next moment, not before {@code from}, by which the job's waiting tasks should have started for one of its
     * aims; without such an aim, some time after its arrival.
     *
     * @param longest how long its last task is expected to take, with which the job ends
     */
    Moment latestStart(Job job, Span longest, Moment from) {
        Moment next = sometime(job);
        for (Aim aim : byClass.getOrDefault(job.spec.jobClass(), List.of())) {
            next = earlier(next, job.arrived.plus(aim.start() ? aim.within() : aim.within().minus(longest)), from);
        }
        return job.spec.due() == null ? next
                : earlier(next, job.arrived.plus(job.spec.due().minus(longest)), from);
    }

    /** Whether a latest start is that of an aim, not just some time. */
    boolean isAim(Job job, Moment latestStart) {
        return latestStart.isBefore(sometime(job));
    }

    private static Moment sometime(Job job) {
        return job.arrived.plus(SOMETIME);
    }

    private static Moment earlier(Moment next, Moment latest, Moment from) {
        return !latest.isBefore(from) && latest.isBefore(next) ? latest : next;
    }
}
