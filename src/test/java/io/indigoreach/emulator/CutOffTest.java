package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Span;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.worker.WorkerCodec;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Alone in its time: a node that is starved of the processor doubts itself first, and says nothing of the others. */
@Isolated
@Tag("quiet-machine")
class CutOffTest extends AskedJobs {
    /**
     * A controller without the state service and the others, whose workers still come: the leader, or another one. It is not
     * ready, sends workers on without a name, and answers nobody with a status that could be old; the others go on. Afterwards it
     * is ready again. In an outage that meets a cut between all, it is the same, for all; with one controller there is
     * nobody to ask, and it stays ready.
     */
    @ParameterizedTest
    @CsvSource({"3, leader", "5, other", "1, all"})
    void cutOffFromAllButItsWorkers(int controllers, String who) throws Exception {
        StringBuilder faults = new StringBuilder();
        for (int a = 0; a < controllers; a++) {
            for (int b = 0; b < controllers; b++) {
                if (a != b && (a == 0 || b == 0 || who.equals("all"))) {
                    faults.append(
                            "fault { kind: hold at_s: 10 for_s: 15 from: 'node-" + a + "' to: 'node-" + b + "' }\n");
                }
            }
        }
        faults.append(
                who.equals("all")
                        ? "fault { kind: outage at_s: 10 for_s: 15 to: 'state' }"
                        : "fault { kind: refuse at_s: 10 for_s: 15 from: 'node-0' to: 'state' }");
        open(controllers, faults.toString());
        jobs();
        // node-0 is the one that is cut off: the leadership is passed on until it leads, or does not.
        for (int tries = 0; !who.equals("all") && tries < 4 && (leader() == 0) != who.equals("leader"); tries++) {
            LocalCluster.await(state.get(RecordKeys.LEADER)
                    .compose(key -> state.commit(new StateClient.Txn()
                            .when(RecordKeys.LEADER, key.revision())
                            .delete(RecordKeys.LEADER))));
            LocalCluster.await(cluster.vertx.timer(500, TimeUnit.MILLISECONDS));
        }
        until(10);
        ServiceClient cut = nodes.get(0);
        until(controllers > 1 ? 10 : 20);
        awaitReady(cut, controllers > 1 ? 503 : 200, 24);
        ServiceResponse sentOn = LocalCluster.await(cut.post(WorkerCodec.HEARTBEAT_PATH, Map.of(), Span.seconds(2)));
        assertEquals(421, sentOn.status());
        assertEquals(
                Map.of(),
                sentOn.body().map().entrySet().stream()
                        .filter(e -> e.getValue() != null)
                        .collect(java.util.stream.Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "no name that may be wrong");
        assertEquals(503, ask(cut, "run-5").status());
        if (!who.equals("all")) {
            allAreAnswered(nodes.subList(1, controllers));
        }
        until(25);
        allAreAnswered(nodes);
        for (ServiceClient node : nodes) {
            awaitReady(node, 200, 25 + LONGEST.seconds());
        }
        assertEquals(List.of(), cluster.breaches());
    }
}
