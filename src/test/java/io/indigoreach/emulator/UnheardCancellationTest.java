package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobCodec;
import io.indigoreach.checker.Event;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.ServiceResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The state service refuses the leader alone, another controller tells a user that a job is cancelled, and then the service is down for
 * everybody, longer than {@code cancel_s}, while the workers go on reporting to the old leader. Checked on the workers.
 */
@Isolated
@Tag("quiet-machine")
class UnheardCancellationTest extends AskedJobs {
    private static final int CANCEL_S = 14;
    private static final double REFUSED_S = 12;
    private static final double OVER_S = 34;
    private static final int RUNNING = 5;

    /**
     * As long as all controllers answer each other the word travels: the cancelled tasks end at once and nothing else does. Where the one
     * that told the user has ended since, nobody can say what it told: then no worker is answered any more, and all is lost in time.
     * {@code outageS}: also just before the leader's lease ends, when the others have not noticed yet that nobody is served.
     */
    @ParameterizedTest
    @CsvSource({"3, 14.5, false", "5, 13.2, false", "3, 13.2, true"})
    void tasksAreGoneInTime(int controllers, double outageS, boolean ends) throws Exception {
        open(new LocalCluster(controllers, CANCEL_S, """
                    fault { kind: refuse at_s: %s for_s: 6 from: "node-0" to: "state" }
                    fault { kind: outage at_s: %s for_s: %s to: "state" }
                    """.formatted(REFUSED_S, outageS, OVER_S - outageS)));
        for (int n = 1; n <= RUNNING; n++) {
            JobSpec spec = LocalCluster.job(n, 2, 300);
            cluster.history.add(new Event.Submitted(cluster.clock.now(), spec));
            LocalCluster.await(cluster.emulator.upload(
                    new DepotCodec.Upload(spec, new Depot.Conduct(spec.estimate(), 0.1, false))));
            submit(n % controllers, spec);
        }
        cluster.awaitEvents(e -> e instanceof Event.Running, 2 * RUNNING);
        makeLeader(0);
        until(REFUSED_S + 0.3);
        Moment told = cancel(1, new JobId("run-1"));
        assertTrue(told.isBefore(cluster.emulator.startedAt().plus(Span.seconds(outageS))), "told before the outage");
        if (ends) {
            cluster.stop(1);
        }
        until(OVER_S);
        assertEquals(List.of(), cluster.breaches());
        List<Event.Off> off = cluster.history.events().stream()
                .filter(e -> e instanceof Event.Off)
                .map(e -> (Event.Off) e)
                .toList();
        assertEquals(
                2,
                off.stream()
                        .filter(e -> e.task().job().equals(new JobId("run-1")))
                        .count(),
                "both are gone");
        assertEquals(ends ? 2 * RUNNING : 2, off.size(), "what else is lost: " + off);
    }

    private Moment cancel(int node, JobId job) throws Exception {
        Moment asked = cluster.clock.now();
        cluster.history.add(new Event.CancelAsked(asked, job));
        ServiceResponse r = LocalCluster.await(nodes.get(node)
                .post(JobCodec.JOBS_PATH + "/" + job + JobCodec.CANCEL_PATH_SUFFIX, Map.of(), Span.seconds(5)));
        assertEquals("cancelled", told(r));
        cluster.history.add(new Event.Answered(
                cluster.clock.now(),
                asked,
                Event.Question.CANCEL,
                job,
                "node-" + node,
                r.status(),
                JobStatus.CANCELLED));
        return cluster.clock.now();
    }
}
