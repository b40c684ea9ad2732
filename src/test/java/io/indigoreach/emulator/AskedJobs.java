package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobCodec;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/**
 * Jobs at a cluster of this process, and questions about each at every node. A job that is over is never told to be anything
 * else, and none is told not to exist. Every job is to be answered for within half of the 30 s that users are promised.
 */
abstract class AskedJobs {
    static final Span LONGEST = Span.seconds(15);
    static final int JOBS = 6;
    static final String OPEN = "[pending, running, done]";

    final Map<String, String> expected = new TreeMap<>();
    LocalCluster cluster;
    List<ServiceClient> nodes = new ArrayList<>();
    StateClient state;

    void open(int controllers, String faults) throws Exception {
        open(new LocalCluster(controllers, faults.replace('\'', '"')));
    }

    void open(LocalCluster with) throws Exception {
        cluster = with.start();
        int controllers = cluster.emulator.nodes().size();
        PlatformConfig any = cluster.emulator.nodes().get(controllers - 1);
        state = new StateClient(
                new ServiceClient(cluster.vertx, any.state(), 1), new ServiceClient(cluster.vertx, any.state(), 1));
        callers();
    }

    /** After the test, so that its own failure is the one that is told; there is no cluster where it could not be started. */
    @AfterEach
    void closeCluster() throws Exception {
        if (cluster != null) {
            cluster.close();
        }
    }

    void callers() {
        nodes = cluster.emulator.nodes().stream()
                .map(c -> new ServiceClient(cluster.vertx, c.listen(), 8))
                .toList();
    }

    ServiceResponse submit(int node, JobSpec spec) throws Exception {
        for (int tries = 0; tries < 100; tries++) {
            ServiceResponse r =
                    LocalCluster.await(nodes.get(node).post(JobCodec.JOBS_PATH, JobCodec.write(spec), Span.seconds(5)));
            if (r.status() < 300) {
                return r;
            }
            LocalCluster.await(cluster.vertx.timer(100, TimeUnit.MILLISECONDS));
        }
        throw new AssertionError(spec.id() + " is not accepted");
    }

    /** Five open jobs accepted at one node after the other, one that is done and one that was cancelled. */
    void jobs() throws Exception {
        for (int n = 1; n <= JOBS; n++) {
            JobSpec spec = LocalCluster.job(n, 2, n == 1 ? 0.2 : 300);
            LocalCluster.await(cluster.emulator.upload(
                    new DepotCodec.Upload(spec, new Depot.Conduct(spec.estimate(), 0.1, false))));
            submit(n % nodes.size(), spec);
            expected.put(spec.id().text(), OPEN);
        }
        LocalCluster.await(nodes.get(0)
                .post(JobCodec.JOBS_PATH + "/run-2" + JobCodec.CANCEL_PATH_SUFFIX, Map.of(), Span.seconds(5)));
        expected.put("run-2", "cancelled");
        while (!"done".equals(told(ask(nodes.get(0), "run-1")))) {
            LocalCluster.await(cluster.vertx.timer(100, TimeUnit.MILLISECONDS));
        }
        expected.put("run-1", "done");
    }

    static ServiceResponse ask(ServiceClient node, String job) throws Exception {
        return LocalCluster.await(node.get(JobCodec.JOBS_PATH + "/" + job, Span.seconds(2))
                .otherwise(new ServiceResponse(0, new Fields(Map.of()))));
    }

    static String told(ServiceResponse r) {
        return r.status() == 200 ? r.body().optionalText("status") : null;
    }

    /** Asks in rounds until each node answers for every job in one round, or for too long: the result is how long that took. */
    void allAreAnswered(List<ServiceClient> asked) throws Exception {
        Moment since = cluster.clock.now();
        List<String> silent = List.of("all");
        while (!silent.isEmpty()) {
            assertTrue(cluster.clock.now().since(since).compareTo(LONGEST) < 0, "not answered: " + silent);
            silent = new ArrayList<>();
            for (ServiceClient node : asked) {
                for (String job : expected.keySet()) {
                    ServiceResponse r = ask(node, job);
                    assertNotEquals(404, r.status(), job + " is told not to exist");
                    if (told(r) == null) {
                        silent.add(job);
                    } else {
                        assertTrue(expected.get(job).contains(told(r)), job + " is " + told(r));
                    }
                }
            }
        }
    }

    void spoil(String key) throws Exception {
        LocalCluster.await(
                state.commit(new StateClient.Txn().put(key, MessagePackFormat.map("class", 5L, "status", "NONE"))));
    }

    void until(double s) throws Exception {
        long ms = cluster.emulator
                .startedAt()
                .plus(Span.seconds(s))
                .since(cluster.clock.now())
                .ms();
        if (ms > 0) {
            LocalCluster.await(cluster.vertx.timer(ms, TimeUnit.MILLISECONDS));
        }
    }

    void awaitReady(ServiceClient node, int status, double latestS) throws Exception {
        while (LocalCluster.await(node.get(JobCodec.READY_PATH, Span.seconds(2)))
                        .status()
                != status) {
            assertTrue(
                    cluster.clock.now().isBefore(cluster.emulator.startedAt().plus(Span.seconds(latestS))),
                    "not yet " + status);
            LocalCluster.await(cluster.vertx.timer(100, TimeUnit.MILLISECONDS));
        }
    }

    /** Passes the leadership on until this node has it; in vain after some tries. */
    void makeLeader(int node) throws Exception {
        for (int tries = 0; tries < 8 && leader() != node; tries++) {
            LocalCluster.await(state.get(RecordKeys.LEADER)
                    .compose(key -> state.commit(new StateClient.Txn()
                            .when(RecordKeys.LEADER, key.revision())
                            .delete(RecordKeys.LEADER))));
            LocalCluster.await(cluster.vertx.timer(500, TimeUnit.MILLISECONDS));
        }
    }

    int leader() throws Exception {
        String node = LocalCluster.await(state.get(RecordKeys.LEADER)).value().text("node");
        return Integer.parseInt(node.substring(node.lastIndexOf('-') + 1));
    }
}
