package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobCodec;
import io.indigoreach.checker.Event;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.checker.JobRegisters;
import io.indigoreach.checker.JobRegisters.Call;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Real controllers, asked at all nodes at once whenever a job was accepted, cancelled or has ended: no answer is older than one before. */
@Isolated
class CloseLooksClusterTest extends AskedJobs {
    private static final int LOOKED_AT = 9;
    private static final Span PATIENCE = Span.seconds(5);

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();

    @ParameterizedTest
    @CsvSource({
        "3, fault { kind: slow at_s: 0 for_s: 30 to: 'state' delay_s: 0.05 share: 0.3 }",
        "3, fault { kind: lose_answer at_s: 0 for_s: 12 to: 'state' writes: true share: 0.2 }",
        "5, fault { kind: late at_s: 0 for_s: 12 to: 'state' writes: true share: 0.1 delay_s: 1 }",
        "3, fault { kind: refuse at_s: 2 for_s: 4 from: 'node-0' to: 'state' } fault { kind: outage at_s: 3 for_s: 3 to: 'state' }"
    })
    void noControllerAnswersAnythingOlder(int controllers, String faults) throws Exception {
        open(controllers, faults);
        List<Future<Void>> followed = new ArrayList<>();
        for (int n = 0; n < LOOKED_AT; n++) {
            JobSpec spec = LocalCluster.job(n, 2, 0.5 + 0.3 * n);
            cluster.history.add(new Event.Submitted(cluster.clock.now(), spec));
            LocalCluster.await(cluster.emulator.upload(
                    new DepotCodec.Upload(spec, new Depot.Conduct(spec.estimate(), 0.1, false))));
            followed.add(follow(spec, n, n % 3 == 0));
        }
        LocalCluster.await(Future.all(followed));
        assertEquals(List.of(), JobRegisters.check(List.copyOf(calls)));
        assertEquals(List.of(), cluster.breaches());
        for (JobStatus end : new JobStatus[] {JobStatus.DONE, JobStatus.CANCELLED}) {
            assertTrue(calls.stream().anyMatch(c -> c.told() == end), "nobody was told " + end);
        }
    }

    /** One job to its end, with a close look after each step. */
    private Future<Void> follow(JobSpec spec, int node, boolean cancels) {
        return until(Question.SUBMIT, spec, node, false)
                .compose(v -> look(spec, node))
                .compose(v -> cancels ? until(Question.CANCEL, spec, node + 1, true) : Future.succeededFuture())
                .compose(v -> look(spec, node + 1))
                .compose(v -> until(Question.POLL, spec, node + 2, true))
                .compose(v -> look(spec, node + 2))
                .compose(v -> look(spec, node));
    }

    /** Asks one node after the other until one tells of the job, or of its end. */
    private Future<Void> until(Question question, JobSpec spec, int node, boolean isOver) {
        return ask(question, spec, node)
                .compose(call -> call.told() != null && (call.told().isFinal() || !isOver)
                        ? Future.succeededFuture()
                        : cluster.vertx
                                .timer(20, TimeUnit.MILLISECONDS)
                                .compose(t -> until(question, spec, node + 1, isOver)));
    }

    private Future<Void> look(JobSpec spec, int node) {
        List<Future<Call>> asked = new ArrayList<>();
        for (int n = 0; n < nodes.size(); n++) {
            asked.add(ask(Question.POLL, spec, n));
        }
        asked.add(ask(Question.SUBMIT, spec, node));
        return Future.all(asked).mapEmpty();
    }

    private Future<Call> ask(Question question, JobSpec spec, int n) {
        int at = n % nodes.size();
        ServiceClient node = nodes.get(at);
        String path = JobCodec.JOBS_PATH + "/" + spec.id();
        if (question == Question.CANCEL) {
            cluster.history.add(new Event.CancelAsked(cluster.clock.now(), spec.id()));
        }
        long begin = System.nanoTime();
        Future<ServiceResponse> reply = switch (question) {
            case SUBMIT -> node.post(JobCodec.JOBS_PATH, JobCodec.write(spec), PATIENCE);
            case POLL -> node.get(path, PATIENCE);
            case CANCEL -> node.post(path + JobCodec.CANCEL_PATH_SUFFIX, Map.of(), PATIENCE);
        };
        return reply.transform(r -> {
            int http = r.succeeded() ? r.result().status() : 0;
            String word = r.succeeded() ? r.result().body().optionalText("status") : null;
            JobStatus told = word == null ? null : JobStatus.valueOf(word.toUpperCase(Locale.ROOT));
            Call call = new Call(begin, System.nanoTime(), question, spec.id(), "node-" + at, http, told);
            calls.add(call);
            return Future.succeededFuture(call);
        });
    }
}
