package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.checker.Event;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.load.Users;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.state.LeaderKey;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Keys are deleted through the state service's own protocol under three running controllers. Before, every accepted job got
 * 404 within 2 s, the next leader took the first token once more, and the machines at work were returned.
 */
@Execution(ExecutionMode.CONCURRENT)
class LossTest {
    /** What befalls the state service. */
    private interface Trouble {
        void strike(LocalCluster cluster) throws Exception;
    }

    /** The keys with these prefixes; "" is everything. */
    @ParameterizedTest
    @ValueSource(strings = {"", "j/", "f/", "m/", "leader", "counter", "era", "leader,counter", "j/,f/,m/", "twice"})
    void whatIsDeletedIsRebuiltAndNoRuleIsBroken(String prefixes) throws Exception {
        isRebuilt(cluster -> {
            for (String prefix : prefixes.equals("twice") ? new String[] {"", "j/"} : prefixes.split(",", -1)) {
                lose(cluster, prefix);
            }
        });
    }

    /** Some changes are gone, a job's end and a cancellation among them, or all there ever were. */
    @ParameterizedTest
    @ValueSource(longs = {3, 12, 25, 1_000_000})
    void whatWasRolledBackIsRebuiltAndNoRuleIsBroken(long revisions) throws Exception {
        isRebuilt(cluster -> LocalCluster.await(cluster.emulator.rollBack(revisions)));
    }

    private static void isRebuilt(Trouble trouble) throws Exception {
        try (LocalCluster cluster = new LocalCluster(3, "").start()) {
            Users.Mine done = LocalCluster.await(cluster.run(LocalCluster.job(1, 2, 0.5), 0));
            Users.Mine cancelled = LocalCluster.await(cluster.run(LocalCluster.job(2, 2, 30), 1));
            assertEquals(List.of(JobStatus.DONE, JobStatus.CANCELLED), List.of(done.status(), cancelled.status()));
            List<Future<Users.Mine>> open = new ArrayList<>();
            for (int id = 3; id < 8; id++) {
                open.add(cluster.run(LocalCluster.job(id, 6, 2), 0));
            }
            cluster.awaitEvents(e -> e instanceof Event.Running, 10);
            trouble.strike(cluster);
            Future<Users.Mine> later = cluster.run(LocalCluster.job(8, 2, 0.5), 0);
            for (Future<Users.Mine> job : open) {
                assertEquals(JobStatus.DONE, LocalCluster.await(job).status());
            }
            assertEquals(JobStatus.DONE, LocalCluster.await(later).status());
            // The users of what was over before come again: they are told what they were told.
            assertEquals(
                    JobStatus.DONE,
                    LocalCluster.await(cluster.run(LocalCluster.job(1, 2, 0.5), 0))
                            .status());
            assertEquals(
                    JobStatus.CANCELLED,
                    LocalCluster.await(cluster.run(LocalCluster.job(2, 2, 30), 0))
                            .status());
            assertEquals(List.of(), cluster.breaches());
            List<Long> tokens = cluster.history.events().stream()
                    .filter(e -> e instanceof Event.Committed)
                    .flatMap(e -> ((Event.Committed) e).txn().writes().stream())
                    .filter(w -> w.key().equals(RecordKeys.LEADER) && !w.isDelete())
                    .map(w -> LeaderKey.tokenOf(w.value()))
                    .toList();
            assertEquals(tokens.stream().sorted().distinct().toList(), tokens, "each token is above all before");
            List<String> attempts = cluster.history.events().stream()
                    .filter(e -> e instanceof Event.Started)
                    .map(e -> ((Event.Started) e).attempt().toString())
                    .toList();
            assertEquals(new HashSet<>(attempts).size(), attempts.size(), "no attempt is used twice");
            assertTrue(attempts.size() <= 60, attempts.size() + " starts of 38 tasks");
        }
    }

    private static void lose(LocalCluster cluster, String prefix) throws Exception {
        PlatformConfig any = cluster.emulator.nodes().get(0);
        StateClient state = new StateClient(
                new ServiceClient(cluster.vertx, any.state(), 1), new ServiceClient(cluster.vertx, any.state(), 1));
        // What changes between reading and deleting is read again, the transaction being conditional.
        for (int tries = 0; tries < 200; tries++) {
            StateClient.Page page = LocalCluster.await(state.list(prefix, null, 12));
            if (page.entries().isEmpty()) {
                return;
            }
            StateClient.Txn txn = new StateClient.Txn();
            page.entries().forEach(e -> txn.when(e.key(), e.revision()).delete(e.key()));
            LocalCluster.await(state.commit(txn));
            if ((prefix.isEmpty() || prefix.endsWith("/")) ? page.entries().size() < 12 : true) {
                return;
            }
        }
        throw new AssertionError("keys with " + prefix + " keep coming back");
    }
}
