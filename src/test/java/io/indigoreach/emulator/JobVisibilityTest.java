package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.checker.Breach;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.state.StateClient;
import java.util.List;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** After each trouble every job is asked for at every node until all have answered for each. */
@Execution(ExecutionMode.CONCURRENT)
class JobVisibilityTest extends AskedJobs {
    /** Records are spoilt: each is answered for again, from a memory, by the leader or, where nobody remembers, by its user. */
    @ParameterizedTest
    @ValueSource(strings = {"open", "leader ends", "all end", "over", "in a loss"})
    void aSpoiltRecordIsMended(String trouble) throws Exception {
        open(3, "");
        jobs();
        List<ServiceClient> asked = nodes;
        if (trouble.equals("leader ends") || trouble.equals("all end")) {
            int leader = leader();
            spoil("j/run-4");
            for (int n = 0; n < 3; n++) {
                if (n == leader || trouble.equals("all end")) {
                    cluster.stop(n);
                }
            }
            // Spoilt once more, as the leader may have mended it before its end.
            spoil("j/run-4");
            asked = nodes.stream().filter(c -> c != nodes.get(leader)).toList();
        }
        switch (trouble) {
            case "open" -> {
                spoil("j/run-3");
                spoil("j/run-4");
            }
            case "over" -> {
                spoil("f/run-1");
                spoil("f/run-2");
            }
            case "in a loss" -> {
                spoil("j/run-4");
                LocalCluster.await(
                        state.commit(new StateClient.Txn().delete("j/run-3").delete("f/run-1")));
                spoil("j/run-4");
            }
            case "all end" -> {
                for (PlatformConfig c : cluster.emulator.nodes()) {
                    cluster.start(c);
                }
                asked = nodes;
                submit(1, LocalCluster.job(4, 2, 300));
            }
            default -> {}
        }
        allAreAnswered(asked);
        // The test itself writes blindly.
        assertEquals(
                List.of(),
                cluster.breaches().stream()
                        .filter(b -> b.rule() != Breach.Rule.BLIND_WRITE)
                        .toList());
    }

    /** Troubles of the ways: at their end every job is answered for, at every node. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "fault { kind: outage at_s: 8 for_s: 5 to: 'state' }",
                "fault { kind: refuse at_s: 8 for_s: 5 from: 'node-1' to: 'state' }",
                "fault { kind: closed at_s: 8 for_s: 5 from: 'node-1' to: 'state' } fault { kind: closed at_s: 8 for_s: 5 from: 'node-0' to: 'node-1' }",
                "fault { kind: slow at_s: 8 for_s: 5 to: 'state' delay_s: 1.5 }",
                "fault { kind: stale at_s: 8 for_s: 5 to: 'state' behind: 3 share: 0.5 }",
                "fault { kind: lose_answer at_s: 8 for_s: 5 to: 'state' share: 0.5 }"
            })
    void afterTheTroubleEveryJobIsAnsweredFor(String faults) throws Exception {
        open(3, faults);
        jobs();
        until(13);
        allAreAnswered(nodes);
        assertEquals(List.of(), cluster.breaches());
    }
}
