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
    private static final long PATIENCE_S = 40;

    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    /** A cluster of three nodes, each with at most one running process, and their state service. */
    private final class World {
        final Context loop = vertx.getOrCreateContext();
        final StateStandIn service = new StateStandIn();
        final Map<String, Endpoint> doors = new HashMap<>();
        final Map<String, Process> running = new HashMap<>();
        final List<String> breaches = new ArrayList<>();
        final List<Process> took = new ArrayList<>();
        final SplittableRandom random;
        final Span life;
        long highest;
        int bridged;

        World(long seed, Span life) throws Exception {
            this.random = new SplittableRandom(seed);
            this.life = life;
            service.expiring = true;
            await(on(() -> Future.all(NODES.stream()
                    .map(n -> service.door(vertx, n).onSuccess(d -> doors.put(n, d)))
                    .toList())));
            on(() -> vertx.setPeriodic(2, t -> look()));
        }

        <T> T on(Callable<T> what) throws Exception {
            CompletableFuture<T> done = new CompletableFuture<>();
            loop.runOnContext(v -> {
                try {
                    done.complete(what.call());
                } catch (Exception e) {
                    done.completeExceptionally(e);
                }
            });
            return done.get(PATIENCE_S, TimeUnit.SECONDS);
        }

        /** Waits until a condition holds, which the event loop evaluates. */
        void until(BooleanSupplier holds) throws Exception {
            CompletableFuture<Void> done = new CompletableFuture<>();
            on(() -> vertx.setPeriodic(1, 2, t -> {
                if (holds.getAsBoolean()) {
                    vertx.cancelTimer(t);
                    done.complete(null);
                }
            }));
            done.get(PATIENCE_S, TimeUnit.SECONDS);
        }

        private void look() {
            service.expire();
            List<String> valid = running.values().stream()
                    .filter(p -> p.leadership.isValid())
                    .map(p -> p.name)
                    .toList();
            if (valid.size() > 1) {
                breaches.add("more than one valid leader: " + valid);
            }
            running.values().forEach(p -> bridged += p.leadership.isValid() && p.ownLeaseIsOver() ? 1 : 0);
        }

        Process start(String node) {
            Process p = new Process(this, node);
            running.put(node, p);
            p.leadership.start();
            return p;
        }

        void end(String node) {
            Process p = running.remove(node);
            if (p != null) {
                p.ended = true;
                p.leadership.stop();
            }
        }

        Process leader() {
            return running.values().stream()
                    .filter(p -> p.leadership.isLeading())
                    .findFirst()
                    .orElse(null);
        }

        /**
         * Queries all peers, each after a delay; the peer evaluates the query when it arrives. False if a peer is down, its response
         * is lost or its result is false.
         */
        private Future<Boolean> ask(String asker, java.util.function.Predicate<Process> what) {
            List<Future<Boolean>> answers = new ArrayList<>();
            for (String other : NODES) {
                if (!other.equals(asker)) {
                    answers.add(delay().map(v -> running.containsKey(other) && what.test(running.get(other)))
                            .compose(is -> delay().map(v -> is && random.nextInt(20) > 0)));
                }
            }
            return Future.all(answers).map(all -> !all.<Boolean>list().contains(false));
        }

        private Future<Void> delay() {
            return vertx.timer(1 + random.nextInt(random.nextInt(4) == 0 ? 300 : 20), TimeUnit.MILLISECONDS)
                    .mapEmpty();
        }

        private void after(double s, Runnable then) {
            vertx.setTimer(Math.max(1, Math.round(s * 1000)), t -> then.run());
        }
    }

    /** One process of a node. */
    private final class Process {
        final World world;
        final String node;
        final String name;
        final LeaderElection leadership;
        boolean ended;
        boolean unserved;
        Moment renewedBefore = Moment.NEVER;

        Process(World world, String node) {
            this.world = world;
            this.node = node;
            this.name = node + "-" + Math.abs(world.random.nextInt());
            StateClient client = new StateClient(
                    new ServiceClient(vertx, world.doors.get(node), 4),
                    new ServiceClient(vertx, world.doors.get(node), 2));
            this.leadership = new LeaderElection(
                    new ElectionSettings(
                            new StateAccess(vertx, client),
                            new StateAccess(vertx, client),
                            clock,
                            new Candidate(node, name, NODES.size() - 1),
                            world.life,
                            new TokenGenerator(NODES.indexOf(node), clock.timeOfDay(), Span.seconds(0.1))),
                    new LeaderElection.Listener() {
                        @Override
                        public void leadershipGained(FencingToken token, Revision key, boolean bounds) {
                            if (!ended) {
                                if (token.value() <= world.highest) {
                                    world.breaches.add(name + " gained token " + token + " after " + world.highest);
                                }
                                world.highest = Math.max(world.highest, token.value());
                                world.took.add(Process.this);
                                world.look();
                            }
                        }

                        @Override
                        public void leadershipLost(String reason) {}
                    });
            // As in the controller: a node whose last connectivity check succeeded does not pledge.
            leadership.askPeersBy(
                    () -> world.ask(node, other -> other.unserved && other.leadership.pledge()),
                    () -> world.ask(node, other -> !other.leadership.isLeading()));
            unserved = false;
            vertx.setPeriodic(1, 500, t -> {
                unserved = isRefused();
                renewedBefore = unserved ? renewedBefore : clock.now();
                if (ended) {
                    vertx.cancelTimer(t);
                }
            });
        }

        boolean isRefused() {
            return world.service.refusing || world.service.refused.contains(node);
        }

        boolean ownLeaseIsOver() {
            return isRefused() && clock.now().since(renewedBefore).compareTo(world.life.plus(Span.seconds(0.5))) > 0;
        }
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /**
     * Injects random faults into several clusters at once: processes restart at once or later; leaders resign, with late and
     * repeated requests to remove their key; requests of one node are rejected, or of all nodes one by one while leases keep
     * expiring; the service has outages; transactions are executed late.
     */
    @Test
    void oneLeadsAndTokensGrowWhateverHappens() throws Exception {
        List<World> worlds = new ArrayList<>();
        for (long seed : IntStream.rangeClosed(1, 16).toArray()) {
            World w = new World(seed, Span.seconds(3));
            worlds.add(w);
            w.on(() -> {
                NODES.forEach(w::start);
                w.after(0.5, () -> disturb(w));
                return null;
            });
        }
        Moment over = clock.now().plus(Span.seconds(25));
        for (World w : worlds) {
            w.until(() -> clock.now().isAfter(over) || !w.breaches.isEmpty());
        }
        for (World w : worlds) {
            assertEquals(List.of(), w.on(() -> List.copyOf(w.breaches)));
        }
        assertTrue(worlds.stream().mapToInt(w -> w.took.size()).sum() >= 4 * worlds.size(), "too few leadership changes");
        assertTrue(worlds.stream().anyMatch(w -> w.bridged > 0), "no leader stayed valid by pledges");
    }

    private void disturb(World w) {
        SplittableRandom r = w.random;
        String any = NODES.get(r.nextInt(NODES.size()));
        Process leader = w.leader();
        switch (r.nextInt(10)) {
            case 0, 1 -> endAndReturn(w, any);
            case 2 -> {
                if (leader != null) {
                    leader.leadership.abdicate("test");
                }
            }
            case 3 -> {
                if (leader != null) {
                    Revision key = leader.leadership.stepAside("test");
                    for (double late : new double[] {r.nextDouble(0.3), r.nextDouble(6)}) {
                        w.after(late, () -> {
                            if (w.running.containsKey(any)) {
                                w.running.get(any).leadership.removeKey(key);
                            }
                        });
                    }
                }
            }
            case 4 -> refuse(w, any, 0.3 + r.nextDouble(4));
            case 5, 7, 8 -> {
                // Not an outage: leases expire while the leader stays valid by pledges. Then the service accepts
                // requests of the nodes that pledged before those of the leader; one of these nodes may have restarted.
                double least = 3.3 + r.nextDouble(1.5);
                NODES.forEach(
                        n -> refuse(w, n, least + (leader != null && n.equals(leader.node) ? 3 : r.nextDouble(1.5))));
                if (r.nextBoolean()) {
                    w.after(least + r.nextDouble(1) - 0.3, () -> endAndReturn(w, NODES.get(r.nextInt(NODES.size()))));
                }
                w.after(least + r.nextDouble(3), () -> disturb(w));
                return;
            }
            case 6 -> {
                if (!w.service.refusing) {
                    w.service.refusing = true;
                    w.after(1 + r.nextDouble(4), w.service::serveAgain);
                }
            }
            default -> {
                w.service.delaying = (door, path) -> door.equals(any) && path.equals("/txn");
                w.after(0.2 + r.nextDouble(3), () -> {
                    w.service.delaying = (door, path) -> false;
                    w.service.letThrough();
                });
            }
        }
        w.after(0.1 + r.nextDouble(r.nextInt(3) == 0 ? 3 : 0.8), () -> disturb(w));
    }

    private void endAndReturn(World w, String node) {
        w.end(node);
        w.after(w.random.nextBoolean() ? 0.01 : w.random.nextDouble(1.2), () -> {
            if (!w.running.containsKey(node)) {
                w.start(node);
            }
        });
    }

    private void refuse(World w, String node, double s) {
        if (w.service.refused.add(node)) {
            w.after(s, () -> w.service.refused.remove(node));
        }
    }

    /**
     * A campaign's transaction is delayed until its sender has timed out and pledged not to campaign, and is executed then.
     * Meanwhile another node leads, has led and resigned, or none has led. No node may act as the leader because of the delayed
     * transaction.
     */
    @ParameterizedTest
    @CsvSource({"another leads", "another has led", "it has pledged"})
    void aCampaignThatIsCarriedOutLateMakesNobodyLead(String meanwhile) throws Exception {
        World w = new World(1, Span.seconds(6));
        w.service.delaying = (door, path) -> door.equals("a") && path.equals("/txn");
        Process a = w.on(() -> w.start("a"));
        w.until(() -> w.service.delayed() > 0);
        assertFalse(w.on(() -> a.leadership.pledge()), "a node with a campaign in progress pledged");
        w.on(() -> {
            // Rejected from now on, so node a sends no further campaign; its first one times out after 2 s.
            w.service.refused.add("a");
            return null;
        });
        w.until(a.leadership::pledge);
        Moment pledged = clock.now();
        if (meanwhile.startsWith("another")) {
            Process b = w.on(() -> w.start("b"));
            w.until(b.leadership::isValid);
            if (meanwhile.endsWith("has led")) {
                w.on(() -> b.leadership.abdicate("test"));
                w.on(() -> {
                    w.end("b");
                    return null;
                });
            }
        }
        Moment late = w.on(() -> {
            w.service.delaying = (door, path) -> false;
            w.service.letThrough();
            assertEquals(
                    meanwhile.startsWith("another") ? meanwhile.endsWith("has led") ? "none" : "b" : "a",
                    w.service.has(RecordKeys.LEADER)
                            ? w.service.value(RecordKeys.LEADER).text("node")
                            : "none",
                    "the node in the leadership key");
            assertFalse(a.leadership.isLeading());
            w.service.refused.clear();
            return clock.now();
        });
        if (meanwhile.equals("another leads")) {
            w.until(() -> clock.now().since(late).compareTo(Span.seconds(1)) > 0);
            assertEquals(List.of("b"), w.took.stream().map(p -> p.node).toList());
            return;
        }
        w.until(a.leadership::isValid);
        assertTrue(clock.now().since(pledged).compareTo(GivenPledges.PLEDGE_TIME) >= 0, "node a gained leadership before its pledge expired");
        assertEquals(List.of(), w.breaches);
    }

    /** Late and repeated requests to remove a resigned leader's key do not end the next leadership of the same node. */
    @Test
    void aLateHandoverDoesNotAffectTheNextTermOfTheSameNode() throws Exception {
        World w = new World(1, Span.seconds(1));
        Process a = w.on(() -> w.start("a"));
        w.until(a.leadership::isValid);
        Revision first = w.on(() -> a.leadership.stepAside("test"));
        w.until(() -> w.took.size() == 2 && a.leadership.isValid());
        Revision second = w.on(a.leadership::leadershipRevision);
        for (int times = 0; times < 2; times++) {
            await(w.on(() -> a.leadership.removeKey(first)));
        }
        Moment asked = clock.now();
        w.until(() -> clock.now().since(asked).compareTo(Span.seconds(1.5)) > 0);
        assertTrue(w.on(() ->
                a.leadership.isValid() && a.leadership.leadershipRevision().equals(second)));
        assertEquals(2, w.took.size());
        assertEquals(List.of(), w.breaches);
    }

    /** The response to a renewal arrives after the node has gained another lease: it must not affect the new lease. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aLateRenewalResponseDoesNotAffectTheNextLease(boolean ended) throws Exception {
        World w = new World(1, Span.seconds(6));
        Process a = w.on(() -> w.start("a"));
        w.until(a.leadership::isValid);
        w.on(() -> {
            w.service.delaying = (door, path) -> path.endsWith("/renew");
            return null;
        });
        w.until(() -> w.service.delayed() > 0);
        Moment sent = clock.now();
        w.until(() -> clock.now().since(sent).compareTo(Span.seconds(1)) > 0);
        w.on(() -> {
            Revision key = a.leadership.leadershipRevision();
            a.leadership.deposed();
            if (ended) {
                w.service.endLeases();
                return null;
            }
            return a.leadership.removeKey(key);
        });
        w.until(() -> w.took.size() == 2);
        Moment again = clock.now();
        w.on(() -> {
            // All delayed renewals are of the first lease, as the renewal task has not yet renewed the second.
            w.service.letThrough();
            return null;
        });
        w.until(() -> clock.now().since(again).compareTo(Span.seconds(1)) > 0 || w.took.size() > 2);
        assertEquals(2, w.took.size(), "the second leadership continues");
        // No renewal of the second lease succeeds, so its validity counts from its request, not from the renewal of the
        // first lease.
        w.until(() -> !a.leadership.isValid());
        Span valid = clock.now().since(again);
        assertTrue(
                valid.compareTo(w.life) < 0 && valid.compareTo(w.life.minus(Span.seconds(0.75))) > 0,
                "validity " + valid + " does not match the time of the second lease");
    }

    /**
     * A node's cached state is current only if no other node has led since its last leadership. The node detects another leadership
     * even if it has never read that leader's key.
     */
    @ParameterizedTest
    @CsvSource({"no node, true", "another node, false", "own campaign without a response, true"})
    void aNodeSucceedsItselfOnlyIfNobodyHasLedSince(String between, boolean itself) throws Exception {
        World w = new World(1, Span.seconds(2));
        Process a = w.on(() -> w.start("a"));
        w.until(a.leadership::isValid);
        assertTrue(w.on(a.leadership::succeedsItself), "the first leadership of the deployment");
        switch (between) {
            case "another node" -> {
                w.on(() -> {
                    w.service.refused.add("a");
                    w.service.endLeases();
                    return w.start("b");
                });
                w.until(() -> w.took.size() == 2);
                await(w.on(() -> w.running.get("b").leadership.abdicate("test")));
                w.on(() -> {
                    w.end("b");
                    w.service.endLeases();
                    return w.service.refused.remove("a");
                });
            }
            case "no node" ->
                w.on(() -> {
                    a.leadership.deposed();
                    return null;
                });
            default ->
                w.on(() -> {
                    w.service.losingAnswers = 1;
                    a.leadership.deposed();
                    return null;
                });
        }
        int before = w.took.size();
        w.until(() -> w.took.size() > before && a.leadership.isValid());
        assertEquals(itself, w.on(a.leadership::succeedsItself));
        assertEquals(List.of(), w.breaches);
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
                    refused.value() > held.value() && held.value() > first.value(), "the new token is not above the tokens of campaigns that may still be executed");
            tokens.unused(refused);
        }
        assertEquals(3 << 5, tokens.next(FencingToken.NONE, clock.timeOfDay()).value() - (first.value() - (1 << 5)));
    }
}
