package io.indigoreach.core.dependency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The release of jobs, cascading cancellation, and the propagation of targets to required jobs. */
class DependencyGraphTest {
    private static final int JOB_COUNT = 10_000;
    private static final Duration MAX_CPU_TIME = Duration.ofSeconds(2);

    private final DependencyGraph graph = new DependencyGraph();

    private static JobId id(int number) {
        return new JobId("run-" + number);
    }

    private void add(int job, int... requiredJobs) {
        graph.onOpened(id(job));
        graph.add(
                id(job),
                IntStream.of(requiredJobs).mapToObj(DependencyGraphTest::id).toList(),
                required -> true);
    }

    @Test
    void lastCompletedDependencyReleasesTheJob() {
        add(3, 1, 2);
        graph.onDone(id(1));
        assertEquals(List.of(), graph.takeReleased());
        assertEquals(Set.of(id(2)), graph.unmetDependencies(id(3)));
        graph.onDone(id(2));
        graph.onDone(id(2));
        assertEquals(List.of(id(3)), graph.takeReleased());
        assertEquals(List.of(), graph.takeReleased());
        assertTrue(graph.isEmpty());
    }

    /** Transitively, also for jobs that are added later; another required job that is done does not release them. */
    @Test
    void cancellationCascadesToAllDependents() {
        add(3, 1, 2);
        add(4, 3);
        add(5, 2);
        graph.onCancelled(id(1));
        add(6, 4);
        graph.onDone(id(2));
        assertEquals(Set.of(id(3), id(4), id(6)), graph.jobsToCancel());
        assertEquals(List.of(id(5)), graph.takeReleased());
        List.of(4, 3, 6).forEach(n -> graph.onCancelled(id(n)));
        assertTrue(graph.isEmpty()
                && graph.jobsToCancel().isEmpty()
                && graph.jobsToLookUp().isEmpty());
    }

    @Test
    void requiredJobIsLookedUpWhileItIsNotOpenAndAJobWaitsForIt() {
        graph.add(id(2), List.of(id(1)), required -> false);
        assertEquals(Set.of(id(1)), graph.jobsToLookUp());
        graph.onOpened(id(1));
        assertEquals(Set.of(), graph.jobsToLookUp());
        graph.onEnded(id(1));
        assertEquals(Set.of(id(1)), graph.jobsToLookUp());
        graph.onEnded(id(2));
        assertEquals(Set.of(), graph.jobsToLookUp());
    }

    /**
     * A long chain, a job that many jobs require, and a job that requires many: guards against a cost that is quadratic in the number of
     * edges. Measures the CPU time of this thread, on which other processes have no influence.
     */
    @Test
    void costIsLinearInTheNumberOfEdges() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long startNanos = threads.getCurrentThreadCpuTime();
        IntStream.range(1, JOB_COUNT).forEach(n -> add(n, n - 1));
        IntStream.range(0, JOB_COUNT).forEach(n -> add(2 * JOB_COUNT + n, JOB_COUNT));
        add(4 * JOB_COUNT, IntStream.range(0, JOB_COUNT).toArray());
        assertEquals(3 * JOB_COUNT - 1, graph.edgesInTopologicalOrder().size());
        graph.onCancelled(id(0));
        graph.onDone(id(JOB_COUNT));
        assertEquals(JOB_COUNT, graph.jobsToCancel().size());
        assertEquals(JOB_COUNT, graph.takeReleased().size());
        IntStream.range(1, JOB_COUNT).forEach(n -> graph.onCancelled(id(n)));
        Duration cpuTime = Duration.ofNanos(threads.getCurrentThreadCpuTime() - startNanos);
        assertTrue(cpuTime.compareTo(MAX_CPU_TIME) < 0, "CPU time: " + cpuTime);
    }

    /** Job 3 requires 1 and 2; jobs 4 and 5 require 3. Each job runs for as many seconds as its number. */
    @Test
    void targetsPropagateToRequiredJobs() {
        add(3, 1, 2);
        add(4, 3);
        add(5, 3);
        Map<JobId, JobTarget> ownTargets = Map.of(
                id(3), new JobTarget(Urgency.BEST_EFFORT, null),
                id(4), new JobTarget(Urgency.HIGH, new Moment(100_000)),
                id(5), new JobTarget(Urgency.STANDARD, new Moment(98_000)));
        JobTarget expected = new JobTarget(Urgency.HIGH, new Moment(90_000));
        assertEquals(
                Map.of(id(1), expected, id(2), expected, id(3), new JobTarget(Urgency.HIGH, new Moment(93_000))),
                TargetPropagation.propagate(graph, ownTargets::get, DependencyGraphTest::runTime));
        graph.onCancelled(id(5));
        assertEquals(
                new JobTarget(Urgency.HIGH, new Moment(93_000)),
                TargetPropagation.propagate(graph, ownTargets::get, DependencyGraphTest::runTime)
                        .get(id(1)));
        graph.onCancelled(id(4));
        assertEquals(
                new JobTarget(Urgency.BEST_EFFORT, null),
                TargetPropagation.propagate(graph, ownTargets::get, DependencyGraphTest::runTime)
                        .get(id(1)));
    }

    private static Span runTime(JobId id) {
        return Span.seconds(Integer.parseInt(id.text().substring("run-".length())));
    }
}
