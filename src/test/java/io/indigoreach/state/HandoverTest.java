package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that there is at most one valid leader at any time and that tokens only grow, while controllers hand over leadership, stop
 * and restart within a fraction of a second, and requests are rejected, delayed and executed late. The tests use a fake state
 * service; each simulated cluster runs on one event loop, which also checks its processes.
 */
class HandoverTest {
    private static final List<String> NODES = List.of("a", "b", "c");
    private static final long TIMEOUT_S = 40;

    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    /** A cluster of three nodes, each with at most one running process, and their state service. */
    private final class TestCluster {
        final Context loop = vertx.getOrCreateContext();
        final FakeStateService service = new FakeStateService();
        final Map<String, Endpoint> endpoints = new HashMap<>();
        final Map<String, TestProcess> processes = new HashMap<>();
        final List<String> violations = new ArrayList<>();
        final List<TestProcess> gainedLeaderships = new ArrayList<>();
        final SplittableRandom random;
        final Span leaseTime;
        long highestToken;
        int bridgedChecks;

        TestCluster(long seed, Span leaseTime) throws Exception {
            this.random = new SplittableRandom(seed);
            this.leaseTime = leaseTime;
            service.leasesExpire = true;
            await(callOnLoop(() -> Future.all(NODES.stream()
                    .map(n -> service.addEndpoint(vertx, n).onSuccess(d -> endpoints.put(n, d)))
                    .toList())));
            callOnLoop(() -> vertx.setPeriodic(2, t -> checkInvariants()));
        }

        <T> T callOnLoop(Callable<T> operation) throws Exception {
            CompletableFuture<T> result = new CompletableFuture<>();
            loop.runOnContext(v -> {
                try {
                    result.complete(operation.call());
                } catch (Exception e) {
                    result.completeExceptionally(e);
                }
            });
            return result.get(TIMEOUT_S, TimeUnit.SECONDS);
        }

        /** Waits until a condition holds, which the event loop evaluates. */
        void waitUntil(BooleanSupplier condition) throws Exception {
            CompletableFuture<Void> satisfied = new CompletableFuture<>();
            callOnLoop(() -> vertx.setPeriodic(1, 2, t -> {
                if (condition.getAsBoolean()) {
                    vertx.cancelTimer(t);
                    satisfied.complete(null);
                }
            }));
            satisfied.get(TIMEOUT_S, TimeUnit.SECONDS);
        }

        private void checkInvariants() {
            service.expire();
            List<String> valid = processes.values().stream()
                    .filter(p -> p.election.isValid())
                    .map(p -> p.name)
                    .toList();
            if (valid.size() > 1) {
                violations.add("more than one valid leader: " + valid);
            }
            processes.values().forEach(p -> bridgedChecks += p.election.isValid() && p.hasLeaseExpired() ? 1 : 0);
        }

        TestProcess start(String node) {
            TestProcess process = new TestProcess(this, node);
            processes.put(node, process);
            process.election.start();
            return process;
        }

        void stop(String node) {
            TestProcess process = processes.remove(node);
            if (process != null) {
                process.stopped = true;
                process.election.stop();
            }
        }

        TestProcess leader() {
            return processes.values().stream()
                    .filter(p -> p.election.isLeading())
                    .findFirst()
                    .orElse(null);
        }

        /**
         * Queries all peers, each after a delay; the peer evaluates the query when it arrives. False if a peer is down, its response
         * is lost or its result is false.
         */
        private Future<Boolean> queryPeers(String sender, java.util.function.Predicate<TestProcess> query) {
            List<Future<Boolean>> answers = new ArrayList<>();
            for (String other : NODES) {
                if (!other.equals(sender)) {
                    answers.add(delay().map(v -> processes.containsKey(other) && query.test(processes.get(other)))
                            .compose(is -> delay().map(v -> is && random.nextInt(20) > 0)));
                }
            }
            return Future.all(answers).map(all -> !all.<Boolean>list().contains(false));
        }

        private Future<Void> delay() {
            return vertx.timer(1 + random.nextInt(random.nextInt(4) == 0 ? 300 : 20), TimeUnit.MILLISECONDS)
                    .mapEmpty();
        }

        private void schedule(double delayS, Runnable action) {
            vertx.setTimer(Math.max(1, Math.round(delayS * 1000)), t -> action.run());
        }
    }

    /** One process of a node. */
    private final class TestProcess {
        final TestCluster cluster;
        final String node;
        final String name;
        final LeaderElection election;
        boolean stopped;
        boolean rejected;
        Moment lastServedAt = Moment.NEVER;

        TestProcess(TestCluster cluster, String node) {
            this.cluster = cluster;
            this.node = node;
            this.name = node + "-" + Math.abs(cluster.random.nextInt());
            StateClient client = new StateClient(
                    new ServiceClient(vertx, cluster.endpoints.get(node), 4),
                    new ServiceClient(vertx, cluster.endpoints.get(node), 2));
            this.election = new LeaderElection(
                    new ElectionSettings(
                            new StateAccess(vertx, client),
                            new StateAccess(vertx, client),
                            clock,
                            new Candidate(node, name, NODES.size() - 1),
                            cluster.leaseTime,
                            new TokenGenerator(NODES.indexOf(node), clock.timeOfDay(), Span.seconds(0.1))),
                    new LeaderElection.Listener() {
                        @Override
                        public void leadershipGained(FencingToken token, Revision key, boolean bounds) {
                            if (!stopped) {
                                if (token.value() <= cluster.highestToken) {
                                    cluster.violations.add(
                                            name + " gained token " + token + " after " + cluster.highestToken);
                                }
                                cluster.highestToken = Math.max(cluster.highestToken, token.value());
                                cluster.gainedLeaderships.add(TestProcess.this);
                                cluster.checkInvariants();
                            }
                        }

                        @Override
                        public void leadershipLost(String reason) {}
                    });
            // As in the controller: a node whose last connectivity check succeeded does not pledge.
            election.setPeerQueries(
                    () -> cluster.queryPeers(node, other -> other.rejected && other.election.pledge()),
                    () -> cluster.queryPeers(node, other -> !other.election.isLeading()));
            rejected = false;
            vertx.setPeriodic(1, 500, t -> {
                rejected = isRejected();
                lastServedAt = rejected ? lastServedAt : clock.now();
                if (stopped) {
                    vertx.cancelTimer(t);
                }
            });
        }

        boolean isRejected() {
            return cluster.service.unavailable || cluster.service.rejectedCallers.contains(node);
        }

        boolean hasLeaseExpired() {
            return isRejected()
                    && clock.now().since(lastServedAt).compareTo(cluster.leaseTime.plus(Span.seconds(0.5))) > 0;
        }
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /**
     * Injects random faults into several clusters at once: processes restart at once or later; leaders resign, with late and
     * repeated requests to remove their key; requests of one node are rejected, or of all nodes one by one while leases keep
     * expiring; the service has outages; transactions are executed late.
     */
    @Test
    void atMostOneNodeLeadsAndTokensGrowUnderRandomFaults() throws Exception {
        List<TestCluster> clusters = new ArrayList<>();
        for (long seed : IntStream.rangeClosed(1, 16).toArray()) {
            TestCluster cluster = new TestCluster(seed, Span.seconds(3));
            clusters.add(cluster);
            cluster.callOnLoop(() -> {
                NODES.forEach(cluster::start);
                cluster.schedule(0.5, () -> injectFault(cluster));
                return null;
            });
        }
        Moment endAt = clock.now().plus(Span.seconds(25));
        for (TestCluster cluster : clusters) {
            cluster.waitUntil(() -> clock.now().isAfter(endAt) || !cluster.violations.isEmpty());
        }
        for (TestCluster cluster : clusters) {
            assertEquals(List.of(), cluster.callOnLoop(() -> List.copyOf(cluster.violations)));
        }
        assertTrue(
                clusters.stream()
                                .mapToInt(cluster -> cluster.gainedLeaderships.size())
                                .sum()
                        >= 4 * clusters.size(),
                "too few leadership changes");
        assertTrue(
                clusters.stream().anyMatch(cluster -> cluster.bridgedChecks > 0), "no leader stayed valid by pledges");
    }

    private void injectFault(TestCluster cluster) {
        SplittableRandom random = cluster.random;
        String randomNode = NODES.get(random.nextInt(NODES.size()));
        TestProcess leader = cluster.leader();
        switch (random.nextInt(10)) {
            case 0, 1 -> restart(cluster, randomNode);
            case 2 -> {
                if (leader != null) {
                    leader.election.resign("test");
                }
            }
            case 3 -> {
                if (leader != null) {
                    Revision key = leader.election.handOver("test");
                    for (double delayS : new double[] {random.nextDouble(0.3), random.nextDouble(6)}) {
                        cluster.schedule(delayS, () -> {
                            if (cluster.processes.containsKey(randomNode)) {
                                cluster.processes.get(randomNode).election.removeKey(key);
                            }
                        });
                    }
                }
            }
            case 4 -> rejectRequests(cluster, randomNode, 0.3 + random.nextDouble(4));
            case 5, 7, 8 -> {
                // Not an outage: leases expire while the leader stays valid by pledges. Then the service accepts
                // requests of the nodes that pledged before those of the leader; one of these nodes may have restarted.
                double minDelayS = 3.3 + random.nextDouble(1.5);
                NODES.forEach(n -> rejectRequests(
                        cluster,
                        n,
                        minDelayS + (leader != null && n.equals(leader.node) ? 3 : random.nextDouble(1.5))));
                if (random.nextBoolean()) {
                    cluster.schedule(
                            minDelayS + random.nextDouble(1) - 0.3,
                            () -> restart(cluster, NODES.get(random.nextInt(NODES.size()))));
                }
                cluster.schedule(minDelayS + random.nextDouble(3), () -> injectFault(cluster));
                return;
            }
            case 6 -> {
                if (!cluster.service.unavailable) {
                    cluster.service.unavailable = true;
                    cluster.schedule(1 + random.nextDouble(4), cluster.service::endOutage);
                }
            }
            default -> {
                cluster.service.delayFilter = (door, path) -> door.equals(randomNode) && path.equals("/txn");
                cluster.schedule(0.2 + random.nextDouble(3), () -> {
                    cluster.service.delayFilter = (door, path) -> false;
                    cluster.service.executeDelayed();
                });
            }
        }
        cluster.schedule(0.1 + random.nextDouble(random.nextInt(3) == 0 ? 3 : 0.8), () -> injectFault(cluster));
    }

    private void restart(TestCluster cluster, String node) {
        cluster.stop(node);
        cluster.schedule(cluster.random.nextBoolean() ? 0.01 : cluster.random.nextDouble(1.2), () -> {
            if (!cluster.processes.containsKey(node)) {
                cluster.start(node);
            }
        });
    }

    private void rejectRequests(TestCluster cluster, String node, double durationS) {
        if (cluster.service.rejectedCallers.add(node)) {
            cluster.schedule(durationS, () -> cluster.service.rejectedCallers.remove(node));
        }
    }

    /**
     * A campaign's transaction is delayed until its sender has timed out and pledged not to campaign, and is executed then.
     * Meanwhile another node leads, has led and resigned, or none has led. No node may act as the leader because of the delayed
     * transaction.
     */
    @ParameterizedTest
    @CsvSource({"another leads", "another has led", "it has pledged"})
    void delayedCampaignDoesNotCreateAValidLeader(String meanwhile) throws Exception {
        TestCluster cluster = new TestCluster(1, Span.seconds(6));
        cluster.service.delayFilter = (door, path) -> door.equals("a") && path.equals("/txn");
        TestProcess nodeA = cluster.callOnLoop(() -> cluster.start("a"));
        cluster.waitUntil(() -> cluster.service.delayed() > 0);
        assertFalse(cluster.callOnLoop(() -> nodeA.election.pledge()), "a node with a campaign in progress pledged");
        cluster.callOnLoop(() -> {
            // Rejected from now on, so node a sends no further campaign; its first one times out after 2 s.
            cluster.service.rejectedCallers.add("a");
            return null;
        });
        cluster.waitUntil(nodeA.election::pledge);
        Moment pledgedAt = clock.now();
        if (meanwhile.startsWith("another")) {
            TestProcess nodeB = cluster.callOnLoop(() -> cluster.start("b"));
            cluster.waitUntil(nodeB.election::isValid);
            if (meanwhile.endsWith("has led")) {
                // The request to revoke the lease is carried out before the answer to it arrives.
                await(cluster.callOnLoop(() -> nodeB.election.resign("test")));
                cluster.callOnLoop(() -> {
                    cluster.stop("b");
                    return null;
                });
            }
        }
        Moment executedAt = cluster.callOnLoop(() -> {
            cluster.service.delayFilter = (door, path) -> false;
            cluster.service.executeDelayed();
            assertEquals(
                    meanwhile.startsWith("another") ? meanwhile.endsWith("has led") ? "none" : "b" : "a",
                    cluster.service.has(RecordKeys.LEADER)
                            ? cluster.service.value(RecordKeys.LEADER).text("node")
                            : "none",
                    "the node in the leadership key");
            assertFalse(nodeA.election.isLeading());
            cluster.service.rejectedCallers.clear();
            return clock.now();
        });
        if (meanwhile.equals("another leads")) {
            cluster.waitUntil(() -> clock.now().since(executedAt).compareTo(Span.seconds(1)) > 0);
            assertEquals(
                    List.of("b"),
                    cluster.gainedLeaderships.stream().map(p -> p.node).toList());
            return;
        }
        cluster.waitUntil(nodeA.election::isValid);
        assertTrue(
                clock.now().since(pledgedAt).compareTo(GivenPledges.PLEDGE_DURATION) >= 0,
                "node a gained leadership before its pledge expired");
        assertEquals(List.of(), cluster.violations);
    }

    /** Late and repeated requests to remove a resigned leader's key do not end the next leadership of the same node. */
    @Test
    void lateKeyRemovalDoesNotAffectTheNextTermOfTheSameNode() throws Exception {
        TestCluster cluster = new TestCluster(1, Span.seconds(1));
        TestProcess nodeA = cluster.callOnLoop(() -> cluster.start("a"));
        cluster.waitUntil(nodeA.election::isValid);
        Revision first = cluster.callOnLoop(() -> nodeA.election.handOver("test"));
        cluster.waitUntil(() -> cluster.gainedLeaderships.size() == 2 && nodeA.election.isValid());
        Revision second = cluster.callOnLoop(nodeA.election::leadershipRevision);
        for (int times = 0; times < 2; times++) {
            await(cluster.callOnLoop(() -> nodeA.election.removeKey(first)));
        }
        Moment removedAt = clock.now();
        cluster.waitUntil(() -> clock.now().since(removedAt).compareTo(Span.seconds(1.5)) > 0);
        assertTrue(cluster.callOnLoop(() ->
                nodeA.election.isValid() && nodeA.election.leadershipRevision().equals(second)));
        assertEquals(2, cluster.gainedLeaderships.size());
        assertEquals(List.of(), cluster.violations);
    }

    /** The response to a renewal arrives after the node has gained another lease: it must not affect the new lease. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void lateRenewalResponseDoesNotAffectTheNextLease(boolean leasesEnd) throws Exception {
        TestCluster cluster = new TestCluster(1, Span.seconds(6));
        TestProcess nodeA = cluster.callOnLoop(() -> cluster.start("a"));
        cluster.waitUntil(nodeA.election::isValid);
        cluster.callOnLoop(() -> {
            cluster.service.delayFilter = (door, path) -> path.endsWith("/renew");
            return null;
        });
        cluster.waitUntil(() -> cluster.service.delayed() > 0);
        Moment delayedAt = clock.now();
        cluster.waitUntil(() -> clock.now().since(delayedAt).compareTo(Span.seconds(1)) > 0);
        cluster.callOnLoop(() -> {
            Revision key = nodeA.election.leadershipRevision();
            nodeA.election.onLeadershipConflict();
            if (leasesEnd) {
                cluster.service.endLeases();
                return null;
            }
            return nodeA.election.removeKey(key);
        });
        cluster.waitUntil(() -> cluster.gainedLeaderships.size() == 2);
        Moment regainedAt = clock.now();
        cluster.callOnLoop(() -> {
            // All delayed renewals are of the first lease, as the renewal task has not yet renewed the second.
            cluster.service.executeDelayed();
            return null;
        });
        cluster.waitUntil(() ->
                clock.now().since(regainedAt).compareTo(Span.seconds(1)) > 0 || cluster.gainedLeaderships.size() > 2);
        assertEquals(2, cluster.gainedLeaderships.size(), "the second leadership continues");
        // No renewal of the second lease succeeds, so its validity counts from its request, not from the renewal of the
        // first lease.
        cluster.waitUntil(() -> !nodeA.election.isValid());
        Span validity = clock.now().since(regainedAt);
        assertTrue(
                validity.compareTo(cluster.leaseTime) < 0
                        && validity.compareTo(cluster.leaseTime.minus(Span.seconds(0.75))) > 0,
                "validity " + validity + " does not match the time of the second lease");
    }

    /**
     * A node's cached state is current only if no other node has led since its last leadership. The node detects another leadership
     * even if it has never read that leader's key.
     */
    @ParameterizedTest
    @CsvSource({"no node, true", "another node, false", "own campaign without a response, true"})
    void ledPreviousTermOnlyIfNoOtherNodeHasLed(String between, boolean ledPreviousTerm) throws Exception {
        TestCluster cluster = new TestCluster(1, Span.seconds(2));
        TestProcess nodeA = cluster.callOnLoop(() -> cluster.start("a"));
        cluster.waitUntil(nodeA.election::isValid);
        assertTrue(cluster.callOnLoop(nodeA.election::ledPreviousTerm), "the first leadership of the deployment");
        switch (between) {
            case "another node" -> {
                cluster.callOnLoop(() -> {
                    cluster.service.rejectedCallers.add("a");
                    cluster.service.endLeases();
                    return cluster.start("b");
                });
                cluster.waitUntil(() -> cluster.gainedLeaderships.size() == 2);
                await(cluster.callOnLoop(
                        () -> cluster.processes.get("b").election.resign("test")));
                cluster.callOnLoop(() -> {
                    cluster.stop("b");
                    cluster.service.endLeases();
                    return cluster.service.rejectedCallers.remove("a");
                });
            }
            case "no node" ->
                cluster.callOnLoop(() -> {
                    nodeA.election.onLeadershipConflict();
                    return null;
                });
            default ->
                cluster.callOnLoop(() -> {
                    cluster.service.responsesToLose = 1;
                    nodeA.election.onLeadershipConflict();
                    return null;
                });
        }
        int leadershipsBefore = cluster.gainedLeaderships.size();
        cluster.waitUntil(() -> cluster.gainedLeaderships.size() > leadershipsBefore && nodeA.election.isValid());
        assertEquals(ledPreviousTerm, cluster.callOnLoop(nodeA.election::ledPreviousTerm));
        assertEquals(List.of(), cluster.violations);
    }

    /** Rejected campaigns return their tokens, so that tokens do not run ahead of the clock that the next process starts from. */
    @Test
    void rejectedCampaignsDoNotAdvanceTokens() {
        TokenGenerator tokens = new TokenGenerator(1, clock.timeOfDay(), Span.seconds(0.1));
        FencingToken first = tokens.next(FencingToken.NONE, clock.timeOfDay());
        FencingToken held = tokens.next(FencingToken.NONE, clock.timeOfDay());
        for (int n = 0; n < 100; n++) {
            FencingToken refused = tokens.next(FencingToken.NONE, clock.timeOfDay());
            assertTrue(
                    refused.value() > held.value() && held.value() > first.value(),
                    "the new token is not above the tokens of campaigns that may still be executed");
            tokens.release(refused);
        }
        assertEquals(3 << 5, tokens.next(FencingToken.NONE, clock.timeOfDay()).value() - (first.value() - (1 << 5)));
    }
}
