package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobCodec;
import io.indigoreach.checker.Event;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.state.RecordKeys;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** Chained jobs with real controllers. */
@Isolated
class DependencyClusterTest extends AskedJobs {
    private static final int LINE = 100;

    private void chained(int n, int tasks, double runS, int... needs) throws Exception {
        JobSpec spec = LocalCluster.job(
                n,
                tasks,
                runS,
                s -> s.with(JobDependencies.of(Arrays.stream(needs)
                        .mapToObj(need -> new JobId("run-" + need))
                        .toList())));
        LocalCluster.await(
                cluster.emulator.upload(new DepotCodec.Upload(spec, new Depot.Conduct(spec.estimate(), 0.1, false))));
        cluster.history.add(new Event.Submitted(cluster.clock.now(), spec));
        submit(n % nodes.size(), spec);
    }

    private int ends() throws Exception {
        return LocalCluster.await(state.list(RecordKeys.FINAL_JOBS, null, 1000))
                .items()
                .size();
    }

    /** The node that told of the cancellation leads, and ends in the middle of the cascade: another one ends what is left. */
    @Test
    void aCascadeOutlivesTheLeaderThatBeganIt() throws Exception {
        open(3, "");
        chained(1, 2, 300);
        for (int n = 2; n <= LINE; n++) {
            chained(n, 2, 300, n - 1);
        }
        int leader = leader();
        // The first job runs by then, so that the checker has seen a task: on a slow machine none had begun yet.
        while (cluster.history.events().stream().noneMatch(Event.Running.class::isInstance)) {
            LocalCluster.await(cluster.vertx.timer(20, TimeUnit.MILLISECONDS));
        }
        LocalCluster.await(nodes.get(leader)
                .post(JobCodec.JOBS_PATH + "/run-1" + JobCodec.CANCEL_PATH_SUFFIX, Map.of(), Span.seconds(5)));
        Moment told = cluster.clock.now();
        while (ends() < 3) {
            LocalCluster.await(cluster.vertx.timer(5, TimeUnit.MILLISECONDS));
        }
        cluster.stop(leader);
        assertTrue(ends() < LINE, "the cascade was over before the leader ended");
        while (ends() < LINE) {
            LocalCluster.await(cluster.vertx.timer(20, TimeUnit.MILLISECONDS));
        }
        assertTrue(cluster.clock
                        .now()
                        .since(told)
                        .compareTo(Span.seconds(
                                cluster.scenario.deployment().workers().cancelS()))
                < 0);
        expected.put("run-" + LINE, "cancelled");
        expected.put("run-2", "cancelled");
        allAreAnswered(List.of(nodes.get((leader + 1) % 3), nodes.get((leader + 2) % 3)));
        assertEquals(List.of(), cluster.breaches());
    }

    /** Two jobs side by side, and one that waits for both: no task of it starts before every task of them has ended. */
    @Test
    void aChainRunsInItsOrder() throws Exception {
        open(3, "");
        chained(1, 3, 0.4);
        chained(2, 1, 0.8);
        chained(3, 2, 0.2, 1, 2);
        while (!"done".equals(told(ask(nodes.get(0), "run-3")))) {
            LocalCluster.await(cluster.vertx.timer(50, TimeUnit.MILLISECONDS));
        }
        List<Event> events = cluster.history.events();
        int firstOfLast = index(events, 3, true);
        assertTrue(firstOfLast > index(events, 1, false) && firstOfLast > index(events, 2, false));
    }

    /** Where a job's first task starts, or its last one goes. */
    private static int index(List<Event> events, int job, boolean first) {
        int found = -1;
        for (int n = 0; n < events.size(); n++) {
            Event e = events.get(n);
            boolean its = first
                    ? e instanceof Event.Running r && r.task().job().equals(new JobId("run-" + job))
                    : e instanceof Event.Off o && o.task().job().equals(new JobId("run-" + job));
            if (its && (!first || found < 0)) {
                found = n;
            }
        }
        assertTrue(found >= 0, "nothing of run-" + job);
        return found;
    }
}
