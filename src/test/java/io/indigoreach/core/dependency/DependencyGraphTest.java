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
    private static final int MANY = 10_000;
    private static final Duration SOON = Duration.ofSeconds(2);

    private final DependencyGraph graph = new DependencyGraph();

    private static JobId id(int n) {
        return new JobId("run-" + n);
    }

    private void add(int job, int... needs) {
        graph.opened(id(job));
        graph.add(id(job), IntStream.of(needs).mapToObj(DependencyGraphTest::id).toList(), need -> true);
    }

    @Test
    void theLastNeedThatIsDoneReleases() {
        add(3, 1, 2);
        graph.done(id(1));
        assertEquals(List.of(), graph.takeReleased());
        assertEquals(Set.of(id(2)), graph.unmetDependencies(id(3)));
        graph.done(id(2));
        graph.done(id(2));
        assertEquals(List.of(id(3)), graph.takeReleased());
        assertEquals(List.of(), graph.takeReleased());
        assertTrue(graph.isEmpty());
    }

    /** Transitively, also for jobs that are added later; another required job that is done does not release them. */
    @Test
    void whatIsBelowACancelledJobIsDoomed() {
        add(3, 1, 2);
        add(4, 3);
        add(5, 2);
        graph.cancelled(id(1));
        add(6, 4);
        graph.done(id(2));
        assertEquals(Set.of(id(3), id(4), id(6)), graph.jobsToCancel());
        assertEquals(List.of(id(5)), graph.takeReleased());
        List.of(4, 3, 6).forEach(n -> graph.cancelled(id(n)));
        assertTrue(graph.isEmpty()
                && graph.jobsToCancel().isEmpty()
                && graph.jobsToLookUp().isEmpty());
    }

    @Test
    void whatIsNotOpenHereIsLookedUpAsLongAsAnybodyWaitsForIt() {
        graph.add(id(2), List.of(id(1)), need -> false);
        assertEquals(Set.of(id(1)), graph.jobsToLookUp());
        graph.opened(id(1));
        assertEquals(Set.of(), graph.jobsToLookUp());
        graph.ended(id(1));
        assertEquals(Set.of(id(1)), graph.jobsToLookUp());
        graph.ended(id(2));
        assertEquals(Set.of(), graph.jobsToLookUp());
    }

    /**
     * A long chain, a job that many jobs require, and a job that requires many: guards against a cost that is quadratic in the number of
     * edges. Measures the CPU time of this thread, on which other processes have no influence.
     */
    @Test
    void nothingIsQuadratic() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long begun = threads.getCurrentThreadCpuTime();
        IntStream.range(1, MANY).forEach(n -> add(n, n - 1));
        IntStream.range(0, MANY).forEach(n -> add(2 * MANY + n, MANY));
        add(4 * MANY, IntStream.range(0, MANY).toArray());
        assertEquals(3 * MANY - 1, graph.edgesFromLastJobs().size());
        graph.cancelled(id(0));
        graph.done(id(MANY));
        assertEquals(MANY, graph.jobsToCancel().size());
        assertEquals(MANY, graph.takeReleased().size());
        IntStream.range(1, MANY).forEach(n -> graph.cancelled(id(n)));
        Duration spent = Duration.ofNanos(threads.getCurrentThreadCpuTime() - begun);
        assertTrue(spent.compareTo(SOON) < 0, "CPU time: " + spent);
    }

    /** Job 3 requires 1 and 2; jobs 4 and 5 require 3. Each job runs for as many seconds as its number. */
    @Test
    void theEndsOfChainsSayWhatIsAskedOfTheJobsBefore() {
        add(3, 1, 2);
        add(4, 3);
        add(5, 3);
        Map<JobId, JobTarget> own = Map.of(
                id(3), new JobTarget(Urgency.BEST_EFFORT, null),
                id(4), new JobTarget(Urgency.HIGH, new Moment(100_000)),
                id(5), new JobTarget(Urgency.STANDARD, new Moment(98_000)));
        JobTarget first = new JobTarget(Urgency.HIGH, new Moment(90_000));
        assertEquals(
                Map.of(id(1), first, id(2), first, id(3), new JobTarget(Urgency.HIGH, new Moment(93_000))),
                Lookahead.of(graph, own::get, DependencyGraphTest::run));
        graph.cancelled(id(5));
        assertEquals(
                new JobTarget(Urgency.HIGH, new Moment(93_000)),
                Lookahead.of(graph, own::get, DependencyGraphTest::run).get(id(1)));
        graph.cancelled(id(4));
        assertEquals(
                new JobTarget(Urgency.BEST_EFFORT, null),
                Lookahead.of(graph, own::get, DependencyGraphTest::run).get(id(1)));
    }

    private static Span run(JobId id) {
        return Span.seconds(Integer.parseInt(id.text().substring("run-".length())));
    }
}
