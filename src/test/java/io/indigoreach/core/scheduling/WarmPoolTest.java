package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.warm.BurstWindow;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests warm pools under failures and contention, and compares the leader's view of caches with the simulated caches.
 */
public class WarmPoolTest {
    private static final String MODEL = WarmPoolHarness.MODEL;
    /** Steps until a machine is warm: boot, fetch of 40 GB at 1 GB/s, heartbeats and checks. */
    private static final int WARM = 20 + 40 + 12;

    @Test
    void aPoolIsFilledStaysAndServesABurstWithoutAFetch() {
        WarmPoolHarness w = new WarmPoolHarness(200, 20);
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 10, 10));
        w.run(WARM + 100, w::truthful);
        assertEquals(10, w.machines("p"));
        assertEquals(10, w.holding(MODEL));
        assertEquals(10, w.rents);
        int from = w.now;
        Job burst = w.serve(MODEL, 40, 10);
        w.run(20, w::truthful);
        List<Integer> waits = w.waits(burst, from);
        assertEquals(10, waits.size());
        assertTrue(
                waits.get(9) <= 5,
                "each holder is stopped in the same answer that starts a replica on its machine: " + waits);
        assertEquals(10, w.plan.told().get(0).hits());
        assertEquals(10, w.rents, "no machine is rented for replicas that start on warm machines");
    }

    @Test
    void withoutAPoolTheSameBurstWaitsForBootAndFetch() {
        WarmPoolHarness w = new WarmPoolHarness(200, 20);
        w.run(10);
        Job burst = w.serve(MODEL, 40, 10);
        int from = w.now;
        w.run(200);
        assertTrue(w.waits(burst, from).get(0) >= 60);
    }

    @Test
    void aWaveThatTakesHalfThePoolInTheFirstSecondOfABurst() {
        WarmPoolHarness w = new WarmPoolHarness(200, 40);
        w.keep(WarmPoolHarness.spot(WarmPoolHarness.pool("p", MODEL, 40, 20, 20)));
        w.run(WARM + 20);
        int from = w.now;
        Job burst = w.serve(MODEL, 40, 20);
        w.wave();
        w.run(WARM + 20, w::truthful);
        List<Integer> waits = w.waits(burst, from);
        assertEquals(20, waits.size());
        assertTrue(waits.get(9) <= 5, "the remaining half of the machines serves at once: " + waits);
        assertTrue(w.machines("p") >= 20, "the pool has its size again: " + w.machines("p"));
    }

    @Test
    void twoModelsThatDoNotFitOneCacheNeverMeet() {
        WarmPoolHarness w = new WarmPoolHarness(100, 10);
        w.keep(WarmPoolHarness.pool("a", "weights-a", 60, 5, 5));
        w.keep(WarmPoolHarness.pool("b", "weights-b", 70, 5, 5));
        w.run(200, w::truthful);
        assertEquals(5, w.holding("weights-a"));
        assertEquals(5, w.holding("weights-b"));
        Job a = w.serve("weights-a", 60, 5);
        Job b = w.serve("weights-b", 70, 5);
        int from = w.now;
        w.run(10, w::truthful);
        assertTrue(w.waits(a, from).size() == 5 && w.waits(b, from).size() == 5);
    }

    @Test
    void thePayersLimitLoweredBelowThePool() {
        WarmPoolHarness w = new WarmPoolHarness(200, 20);
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 12, 12));
        w.run(WARM + 20);
        w.teams = List.of(new Team("t", 0, 0.05, 0, 0), new Team("g", 0, 0, 0, 0));
        w.newLeader();
        w.run(120, w::truthful);
        assertEquals(5, w.machines("p"), "the team's limit allows five holders of 0.01 cores");
        assertEquals(5, w.boxes.size(), "the other machines are returned");
        assertTrue(w.plan.told().get(0).why().contains("limit of team t"));
    }

    @Test
    void theLeaderEndsWhileTwoHundredMachinesFetch() {
        WarmPoolHarness w = new WarmPoolHarness(200, 200);
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 200, 200));
        for (int ends : new int[] {6, 9, 25, 40}) {
            w.run(ends - w.now, w::truthful);
            w.newLeader();
        }
        w.run(WARM + 60, w::truthful);
        assertEquals(200, w.machines("p"));
        assertEquals(200, w.holding(MODEL));
        assertEquals(200, w.rents, "no machine is rented twice");
        assertTrue(w.asked().stream().allMatch(r -> r.count() <= 50));
    }

    @Test
    void theHolderIsCancelledDuringTheBurst() {
        WarmPoolHarness w = new WarmPoolHarness(200, 20);
        Job holder = w.keep(WarmPoolHarness.pool("p", MODEL, 40, 8, 8));
        w.run(WARM + 20);
        Job burst = w.serve(MODEL, 40, 5);
        w.run(6);
        w.cancel(holder);
        w.run(90, w::truthful);
        assertEquals(5, w.waits(burst, 0).size(), "the replicas keep running");
        assertEquals(5, w.boxes.size(), "machines that no pool pays for are returned");
        assertEquals(0, w.machines("p"));
    }

    @Test
    void twoPoolsWantTheLastMachine() {
        WarmPoolHarness w = new WarmPoolHarness(200, 3);
        w.capacity.replaceAll((pool, n) -> pool.spot() ? 0 : pool.zone().equals("east") ? 3 : 2);
        w.keep(WarmPoolHarness.pool("a", "weights-a", 40, 4, 4));
        w.keep(WarmPoolHarness.pool("b", "weights-b", 40, 4, 4));
        w.run(300, w::truthful);
        assertEquals(5, w.machines("a") + w.machines("b"));
        assertTrue(Math.abs(w.machines("a") - w.machines("b")) == 1);
        long a = w.machines("a");
        w.run(120);
        assertEquals(a, w.machines("a"), "the last machine stays in its pool");
    }

    @Test
    void aNewVersionIsRolledOverUnderLoadWithNeverFewerThanTheLeast() {
        WarmPoolHarness w = new WarmPoolHarness(60, 30);
        Job old = w.keep(WarmPoolHarness.pool("p", MODEL, 40, 10, 10));
        w.run(WARM + 20);
        w.serve(MODEL, 40, 2);
        w.run(6);
        w.keep(WarmPoolHarness.pool("p", "weights-2", 40, 10, 10));
        int[] fewest = {10};
        w.run(1500, () -> {
            w.truthful();
            long ready = w.core.machines().stream()
                    .filter(machine -> machine.poolMembership() != null
                            && !machine.poolMembership().isEnded()
                            && machine.imageCache()
                                    .isCached(machine.poolMembership().image()))
                    .count();
            fewest[0] = (int) Math.min(fewest[0], ready);
        });
        assertTrue(fewest[0] >= 10, "fewest ready machines: " + fewest[0]);
        assertTrue(
                w.holding("weights-2") >= 8,
                "machines with replicas of the old version keep its image: " + w.holding("weights-2"));
        w.cancel(old);
        w.run(200, w::truthful);
        assertTrue(w.machines("p") <= 12);
    }

    @Test
    void aZoneIsCutOffWithHalfThePool() {
        WarmPoolHarness w = new WarmPoolHarness(200, 40);
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 10, 20));
        w.pools.put("p", wide(w));
        w.plan.pools(w.pools.values(), n -> null);
        w.run(WARM + 20);
        w.silent = "east";
        w.run(WARM + 40, w::truthful);
        assertTrue(
                w.core.machines().stream()
                                .filter(machine -> machine.poolMembership() != null
                                        && machine.isUsable()
                                        && machine.pool().zone().equals("west")
                                        && machine.imageCache().isCached(MODEL))
                                .count()
                        >= 10,
                "the other zone has the whole pool");
        w.silent = null;
        w.run(200, w::truthful);
        assertEquals(10, w.machines("p"), "surplus machines leave the pool when the zone is reachable again");
    }

    private static io.indigoreach.core.warm.PoolSpec wide(WarmPoolHarness w) {
        var p = w.pools.get("p");
        return new io.indigoreach.core.warm.PoolSpec(
                p.name(),
                p.team(),
                p.image(),
                p.gb(),
                p.replica(),
                p.types(),
                p.zones(),
                1,
                p.least(),
                p.most(),
                p.wanted(),
                p.windows(),
                p.learned(),
                p.budget(),
                p.spot());
    }

    @Test
    void theStateIsLostAndNothingIsClaimedUntilAStartShowsIt() {
        WarmPoolHarness w = new WarmPoolHarness(200, 20);
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 8, 8));
        w.run(WARM + 20);
        w.sheets.clear();
        w.newLeader();
        w.run(1);
        assertEquals(0, w.plan.told().stream().mapToInt(t -> t.ready()).sum());
        w.run(30, w::truthful);
        assertEquals(8, w.plan.told().get(0).ready(), "each holder starts without a fetch");
        assertEquals(8, w.rents);
    }

    @ParameterizedTest
    @ValueSource(doubles = {30, 90, 170})
    void aGuestsArrayDoesNotPushTheWeightsOut(double gb) {
        WarmPoolHarness w = new WarmPoolHarness(200, 8);
        w.keep(WarmPoolHarness.pool("p", MODEL, 140, 8, 8, new BurstWindow(12 * 60, 13 * 60, 8)));
        w.run(300);
        assertEquals(8, w.holding(MODEL));
        for (int n = 0; n < 6; n++) {
            w.array("guest-" + n, gb, 40, 2, 20);
        }
        w.run(600, () -> {
            w.truthful();
            assertTrue(w.holding(MODEL) >= 8);
        });
        long onWarm = w.boxes.values().stream()
                .filter(b ->
                        b.cache.containsKey(MODEL) && b.cache.keySet().stream().anyMatch(i -> i.startsWith("guest")))
                .count();
        assertEquals(gb < 60, onWarm > 0, "only jobs whose image fits beside the weights use idle cores");
        w.run(900);
        assertTrue(
                w.open.values().stream().noneMatch(job -> job.spec().jobClass().equals("guest")),
                "all jobs of the other team have ended");
    }

    @Test
    void aTeamThatWaitsForItsGuaranteeGetsTheLastMachines() {
        WarmPoolHarness w = new WarmPoolHarness(200, 4);
        w.capacity.replaceAll((pool, n) -> pool.spot() ? 0 : 4);
        w.teams = List.of(new Team("t", 0, 0, 0, 0), new Team("g", 16, 0, 0, 0));
        w.newLeader();
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 8, 8));
        w.run(WARM + 20);
        assertEquals(8, w.machines("p"));
        Job due = w.array("other", 170, 2, 8, 60);
        w.run(250, w::truthful);
        assertTrue(w.began.get(due.id()).size() >= 1, "no machine can be rented, so the pool gives up an idle one");
        w.run(400, w::truthful);
        assertEquals(2, w.began.get(due.id()).size());
        assertEquals(8, w.machines("p"), "the pool has its size again");
    }

    @Test
    void aBudgetThatIsOverShrinksThePoolAtTheTermsEndAndSaysSo() {
        WarmPoolHarness w = new WarmPoolHarness(200, 8);
        w.keep(WarmPoolHarness.budget(WarmPoolHarness.pool("p", MODEL, 40, 4, 4), 1.0));
        w.run(400, w::truthful);
        assertEquals(0, w.boxes.size());
        double spent = w.meter.sums().entrySet().stream()
                .filter(e -> e.getKey().pool().equals("p"))
                .mapToDouble(e -> e.getValue())
                .sum();
        // The budget may be exceeded by four machines at 3.6 per hour for a term and a check.
        assertTrue(spent >= 1 && spent <= 1 + 4 * 3.6 * 20 / 3600, "spent " + spent);
        assertTrue(w.said.stream().anyMatch(s -> s.contains("budget is over")));
    }

    @Test
    void aPoolGrowsBeforeItsWindowOpensAndShrinksAfterIt() {
        WarmPoolHarness w = new WarmPoolHarness(200, 40);
        // The first step is 1,000 s after midnight, so the window opens at 00:20, 200 s later, and closes at 00:25.
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 2, 40, new BurstWindow(20, 25, 12)));
        w.run(80);
        assertEquals(2, w.machines("p"));
        w.run(115);
        assertEquals(18, w.holding(MODEL), "P(D <= 18) >= 0.95 for a mean of 12");
        w.run(400, w::truthful);
        assertEquals(2, w.machines("p"));
        assertEquals(2, w.boxes.size());
    }

    /**
     * A machine that left a pool keeps its image until the record shows that it left, because a new leader would assume
     * from the old record that the machine still has the image.
     */
    @Test
    void whatAPoolLetsGoIsGuardedUntilTheRecordSaysSo() {
        WarmPoolHarness w = new WarmPoolHarness(60, 8);
        w.keep(WarmPoolHarness.pool("p", MODEL, 40, 6, 6));
        w.run(WARM + 20);
        w.keep(WarmPoolHarness.pool("p", "weights-2", 40, 6, 6));
        w.writesEvery = 100_000;
        JobSpec other = w.array("other", 50, 1, 8, 1).spec();
        Machine dropped = null;
        for (int n = 0; n < 3 * WARM && dropped == null; n++) {
            w.run(1, w::truthful);
            dropped = w.core.machines().stream()
                    .filter(machine -> machine.poolMembership() != null
                            && machine.poolMembership().isEnded())
                    .findFirst()
                    .orElse(null);
        }
        assertTrue(
                dropped != null,
                "a machine with the old version leaves the pool when one with the new version is ready");
        assertTrue(dropped.matchesPool(other) && !dropped.allows(other));
        w.writesEvery = 1;
        w.run(1);
        assertTrue(dropped.allows(other));
    }

    /** Seeded random runs with leader changes, jobs of another team, services that come and go, and worker restarts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void whateverHappensNothingIsClaimedThatIsNotSoAndAllMoneyIsPutDown(long seed) {
        play(seed, EffectListener.NONE);
    }

    public static void play(long seed, EffectListener effects) {
        SplittableRandom random = new SplittableRandom(seed);
        WarmPoolHarness w = new WarmPoolHarness(150, 15);
        w.effects = effects;
        w.keep(WarmPoolHarness.pool("a", "weights-a", 60, 4, 10, new BurstWindow(20, 25, 5)));
        w.keep(WarmPoolHarness.spot(WarmPoolHarness.pool("b", "weights-b", 100, 4, 8)));
        List<Job> served = new ArrayList<>();
        int ends = 0;
        for (int round = 0; round < 40; round++) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    w.newLeader();
                    ends++;
                }
                case 1 ->
                    w.array(
                            "guest-" + random.nextInt(5),
                            10 + random.nextInt(60),
                            1 + random.nextInt(30),
                            1 + random.nextInt(8),
                            5 + random.nextInt(60));
                case 2 ->
                    served.add(w.serve(
                            random.nextBoolean() ? "weights-a" : "weights-b",
                            random.nextBoolean() ? 60 : 100,
                            1 + random.nextInt(4)));
                case 3 -> {
                    if (!served.isEmpty()) {
                        w.cancel(served.remove(0));
                    }
                }
                case 4 ->
                    w.boxes.values().stream()
                            .filter(b -> b.up <= w.now)
                            .findFirst()
                            .ifPresent(b -> {
                                b.session++;
                                b.tasks.clear();
                                b.fetching = null;
                            });
                default -> {}
            }
            w.run(5 + random.nextInt(20), w::truthful);
        }
        double put = w.meter.sums().values().stream().mapToDouble(d -> d).sum();
        // Metering may miss one step and one check period per rented machine, and 5 s per change of leader.
        double bound = (w.rents * 3 + ends * 5) * 3.6 / 3600;
        assertEquals(w.charged(), put, bound);
        assertTrue(w.machines("a") >= 4, "a: " + w.machines("a"));
    }
}
