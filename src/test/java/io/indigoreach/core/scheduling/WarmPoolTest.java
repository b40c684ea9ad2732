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
    private static final String MODEL_IMAGE = WarmPoolHarness.MODEL_IMAGE;
    /** Steps until a machine is warm: boot, fetch of 40 GB at 1 GB/s, heartbeats and checks. */
    private static final int WARM_UP_STEPS = 20 + 40 + 12;

    @Test
    void filledPoolServesBurstWithoutFetch() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 20);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 10, 10));
        harness.run(WARM_UP_STEPS + 100, harness::assertCachesMatch);
        assertEquals(10, harness.poolMachineCount("p"));
        assertEquals(10, harness.machinesWithImage(MODEL_IMAGE));
        assertEquals(10, harness.rentedCount);
        int from = harness.now;
        Job burst = harness.submitService(MODEL_IMAGE, 40, 10);
        harness.run(20, harness::assertCachesMatch);
        List<Integer> startDelays = harness.startDelays(burst, from);
        assertEquals(10, startDelays.size());
        assertTrue(
                startDelays.get(9) <= 5,
                "each holder is stopped in the same answer that starts a replica on its machine: " + startDelays);
        assertEquals(10, harness.planner.told().get(0).hits());
        assertEquals(10, harness.rentedCount, "no machine is rented for replicas that start on warm machines");
    }

    @Test
    void burstWithoutPoolWaitsForBootAndFetch() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 20);
        harness.run(10);
        Job burst = harness.submitService(MODEL_IMAGE, 40, 10);
        int from = harness.now;
        harness.run(200);
        assertTrue(harness.startDelays(burst, from).get(0) >= 60);
    }

    @Test
    void poolRecoversFromSpotPreemptionsDuringBurst() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 40);
        harness.addPool(WarmPoolHarness.withSpot(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 20, 20)));
        harness.run(WARM_UP_STEPS + 20);
        int from = harness.now;
        Job burst = harness.submitService(MODEL_IMAGE, 40, 20);
        harness.preemptSpotMachines();
        harness.run(WARM_UP_STEPS + 20, harness::assertCachesMatch);
        List<Integer> startDelays = harness.startDelays(burst, from);
        assertEquals(20, startDelays.size());
        assertTrue(startDelays.get(9) <= 5, "the remaining half of the machines serves at once: " + startDelays);
        assertTrue(
                harness.poolMachineCount("p") >= 20, "the pool has its size again: " + harness.poolMachineCount("p"));
    }

    @Test
    void imagesThatExceedOneCacheUseSeparateMachines() {
        WarmPoolHarness harness = new WarmPoolHarness(100, 10);
        harness.addPool(WarmPoolHarness.poolSpec("a", "weights-a", 60, 5, 5));
        harness.addPool(WarmPoolHarness.poolSpec("b", "weights-b", 70, 5, 5));
        harness.run(200, harness::assertCachesMatch);
        assertEquals(5, harness.machinesWithImage("weights-a"));
        assertEquals(5, harness.machinesWithImage("weights-b"));
        Job serviceA = harness.submitService("weights-a", 60, 5);
        Job serviceB = harness.submitService("weights-b", 70, 5);
        int from = harness.now;
        harness.run(10, harness::assertCachesMatch);
        assertTrue(harness.startDelays(serviceA, from).size() == 5
                && harness.startDelays(serviceB, from).size() == 5);
    }

    @Test
    void poolShrinksToLoweredTeamLimit() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 20);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 12, 12));
        harness.run(WARM_UP_STEPS + 20);
        harness.teams = List.of(new Team("t", 0, 0.05, 0, 0), new Team("g", 0, 0, 0, 0));
        harness.startNewLeader();
        harness.run(120, harness::assertCachesMatch);
        assertEquals(5, harness.poolMachineCount("p"), "the team's limit allows five holders of 0.01 cores");
        assertEquals(5, harness.machines.size(), "the other machines are returned");
        assertTrue(harness.planner.told().get(0).why().contains("limit of team t"));
    }

    @Test
    void leaderChangesDuringFetchRentNoMachineTwice() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 200);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 200, 200));
        for (int leaderChangeStep : new int[] {6, 9, 25, 40}) {
            harness.run(leaderChangeStep - harness.now, harness::assertCachesMatch);
            harness.startNewLeader();
        }
        harness.run(WARM_UP_STEPS + 60, harness::assertCachesMatch);
        assertEquals(200, harness.poolMachineCount("p"));
        assertEquals(200, harness.machinesWithImage(MODEL_IMAGE));
        assertEquals(200, harness.rentedCount, "no machine is rented twice");
        assertTrue(harness.requests().stream().allMatch(r -> r.count() <= 50));
    }

    @Test
    void cancelledPoolReturnsMachinesWithoutReplicas() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 20);
        Job holder = harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 8, 8));
        harness.run(WARM_UP_STEPS + 20);
        Job burst = harness.submitService(MODEL_IMAGE, 40, 5);
        harness.run(6);
        harness.cancel(holder);
        harness.run(90, harness::assertCachesMatch);
        assertEquals(5, harness.startDelays(burst, 0).size(), "the replicas keep running");
        assertEquals(5, harness.machines.size(), "machines that no pool pays for are returned");
        assertEquals(0, harness.poolMachineCount("p"));
    }

    @Test
    void contendingPoolsShareScarceMachines() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 3);
        harness.capacity.replaceAll((pool, n) -> pool.spot() ? 0 : pool.zone().equals("east") ? 3 : 2);
        harness.addPool(WarmPoolHarness.poolSpec("a", "weights-a", 40, 4, 4));
        harness.addPool(WarmPoolHarness.poolSpec("b", "weights-b", 40, 4, 4));
        harness.run(300, harness::assertCachesMatch);
        assertEquals(5, harness.poolMachineCount("a") + harness.poolMachineCount("b"));
        assertTrue(Math.abs(harness.poolMachineCount("a") - harness.poolMachineCount("b")) == 1);
        long machinesOfA = harness.poolMachineCount("a");
        harness.run(120);
        assertEquals(machinesOfA, harness.poolMachineCount("a"), "the last machine stays in its pool");
    }

    @Test
    void imageUpdateUnderLoadKeepsMinimumReady() {
        WarmPoolHarness harness = new WarmPoolHarness(60, 30);
        Job oldHolder = harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 10, 10));
        harness.run(WARM_UP_STEPS + 20);
        harness.submitService(MODEL_IMAGE, 40, 2);
        harness.run(6);
        harness.addPool(WarmPoolHarness.poolSpec("p", "weights-2", 40, 10, 10));
        int[] fewestReady = {10};
        harness.run(1500, () -> {
            harness.assertCachesMatch();
            long ready = harness.core.machines().stream()
                    .filter(machine -> machine.poolMembership() != null
                            && !machine.poolMembership().isEnded()
                            && machine.imageCache()
                                    .isCached(machine.poolMembership().image()))
                    .count();
            fewestReady[0] = (int) Math.min(fewestReady[0], ready);
        });
        assertTrue(fewestReady[0] >= 10, "fewest ready machines: " + fewestReady[0]);
        assertTrue(
                harness.machinesWithImage("weights-2") >= 8,
                "machines with replicas of the old version keep its image: " + harness.machinesWithImage("weights-2"));
        harness.cancel(oldHolder);
        harness.run(200, harness::assertCachesMatch);
        assertTrue(harness.poolMachineCount("p") <= 12);
    }

    @Test
    void poolIsReplacedWhileZoneIsUnreachable() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 40);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 10, 20));
        harness.pools.put("p", withFullZonePart(harness));
        harness.planner.pools(harness.pools.values(), n -> null);
        harness.run(WARM_UP_STEPS + 20);
        harness.silentZone = "east";
        harness.run(WARM_UP_STEPS + 40, harness::assertCachesMatch);
        assertTrue(
                harness.core.machines().stream()
                                .filter(machine -> machine.poolMembership() != null
                                        && machine.isUsable()
                                        && machine.pool().zone().equals("west")
                                        && machine.imageCache().isCached(MODEL_IMAGE))
                                .count()
                        >= 10,
                "the other zone has the whole pool");
        harness.silentZone = null;
        harness.run(200, harness::assertCachesMatch);
        assertEquals(
                10, harness.poolMachineCount("p"), "surplus machines leave the pool when the zone is reachable again");
    }

    private static io.indigoreach.core.warm.PoolSpec withFullZonePart(WarmPoolHarness harness) {
        var spec = harness.pools.get("p");
        return new io.indigoreach.core.warm.PoolSpec(
                spec.name(),
                spec.team(),
                spec.image(),
                spec.gb(),
                spec.replica(),
                spec.types(),
                spec.zones(),
                1,
                spec.least(),
                spec.most(),
                spec.wanted(),
                spec.windows(),
                spec.learned(),
                spec.budget(),
                spec.spot());
    }

    @Test
    void afterStateLossMachinesAreReadyOnlyOnceHoldersStart() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 20);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 8, 8));
        harness.run(WARM_UP_STEPS + 20);
        harness.storedPages.clear();
        harness.startNewLeader();
        harness.run(1);
        assertEquals(0, harness.planner.told().stream().mapToInt(t -> t.ready()).sum());
        harness.run(30, harness::assertCachesMatch);
        assertEquals(8, harness.planner.told().get(0).ready(), "each holder starts without a fetch");
        assertEquals(8, harness.rentedCount);
    }

    @ParameterizedTest
    @ValueSource(doubles = {30, 90, 170})
    void otherTeamsArrayDoesNotEvictPoolImage(double gb) {
        WarmPoolHarness harness = new WarmPoolHarness(200, 8);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 140, 8, 8, new BurstWindow(12 * 60, 13 * 60, 8)));
        harness.run(300);
        assertEquals(8, harness.machinesWithImage(MODEL_IMAGE));
        for (int n = 0; n < 6; n++) {
            harness.submitArray("guest-" + n, gb, 40, 2, 20);
        }
        harness.run(600, () -> {
            harness.assertCachesMatch();
            assertTrue(harness.machinesWithImage(MODEL_IMAGE) >= 8);
        });
        long machinesWithBothImages = harness.machines.values().stream()
                .filter(b -> b.cache.containsKey(MODEL_IMAGE)
                        && b.cache.keySet().stream().anyMatch(i -> i.startsWith("guest")))
                .count();
        assertEquals(
                gb < 60, machinesWithBothImages > 0, "only jobs whose image fits beside the weights use idle cores");
        harness.run(900);
        assertTrue(
                harness.openJobs.values().stream()
                        .noneMatch(job -> job.spec().jobClass().equals("guest")),
                "all jobs of the other team have ended");
    }

    @Test
    void poolGivesMachineToTeamBelowGuarantee() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 4);
        harness.capacity.replaceAll((pool, n) -> pool.spot() ? 0 : 4);
        harness.teams = List.of(new Team("t", 0, 0, 0, 0), new Team("g", 16, 0, 0, 0));
        harness.startNewLeader();
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 8, 8));
        harness.run(WARM_UP_STEPS + 20);
        assertEquals(8, harness.poolMachineCount("p"));
        Job guaranteedJob = harness.submitArray("other", 170, 2, 8, 60);
        harness.run(250, harness::assertCachesMatch);
        assertTrue(
                harness.startSteps.get(guaranteedJob.id()).size() >= 1,
                "no machine can be rented, so the pool gives up an idle one");
        harness.run(400, harness::assertCachesMatch);
        assertEquals(2, harness.startSteps.get(guaranteedJob.id()).size());
        assertEquals(8, harness.poolMachineCount("p"), "the pool has its size again");
    }

    @Test
    void exhaustedBudgetEndsPoolAtTermEndAndLogsIt() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 8);
        harness.addPool(WarmPoolHarness.withBudget(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 4, 4), 1.0));
        harness.run(400, harness::assertCachesMatch);
        assertEquals(0, harness.machines.size());
        double spent = harness.meter.sums().entrySet().stream()
                .filter(e -> e.getKey().pool().equals("p"))
                .mapToDouble(e -> e.getValue())
                .sum();
        // Spending may exceed the budget by the cost of four machines at 3.6 per hour, for one paid term plus one check
        // interval.
        assertTrue(spent >= 1 && spent <= 1 + 4 * 3.6 * 20 / 3600, "spent " + spent);
        assertTrue(harness.logLines.stream().anyMatch(s -> s.contains("budget is over")));
    }

    @Test
    void poolGrowsBeforeWindowAndShrinksAfterIt() {
        WarmPoolHarness harness = new WarmPoolHarness(200, 40);
        // The first step is 1,000 s after midnight, so the window opens at 00:20, 200 s later, and closes at 00:25.
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 2, 40, new BurstWindow(20, 25, 12)));
        harness.run(80);
        assertEquals(2, harness.poolMachineCount("p"));
        harness.run(115);
        assertEquals(18, harness.machinesWithImage(MODEL_IMAGE), "P(D <= 18) >= 0.95 for a mean of 12");
        harness.run(400, harness::assertCachesMatch);
        assertEquals(2, harness.poolMachineCount("p"));
        assertEquals(2, harness.machines.size());
    }

    /**
     * A machine that left a pool keeps its image until the record shows that it left, because a new leader would assume
     * from the old record that the machine still has the image.
     */
    @Test
    void releasedMachineKeepsImageUntilReleaseIsRecorded() {
        WarmPoolHarness harness = new WarmPoolHarness(60, 8);
        harness.addPool(WarmPoolHarness.poolSpec("p", MODEL_IMAGE, 40, 6, 6));
        harness.run(WARM_UP_STEPS + 20);
        harness.addPool(WarmPoolHarness.poolSpec("p", "weights-2", 40, 6, 6));
        harness.pageWritePeriod = 100_000;
        JobSpec other = harness.submitArray("other", 50, 1, 8, 1).spec();
        Machine released = null;
        for (int step = 0; step < 3 * WARM_UP_STEPS && released == null; step++) {
            harness.run(1, harness::assertCachesMatch);
            released = harness.core.machines().stream()
                    .filter(machine -> machine.poolMembership() != null
                            && machine.poolMembership().isEnded())
                    .findFirst()
                    .orElse(null);
        }
        assertTrue(
                released != null,
                "a machine with the old version leaves the pool when one with the new version is ready");
        assertTrue(released.matchesPool(other) && !released.allows(other));
        harness.pageWritePeriod = 1;
        harness.run(1);
        assertTrue(released.allows(other));
    }

    /** Seeded random runs with leader changes, jobs of another team, services that come and go, and worker restarts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void randomEventsKeepCacheViewAndAccountsCorrect(long seed) {
        runRandomEvents(seed, EffectListener.NONE);
    }

    public static void runRandomEvents(long seed, EffectListener effects) {
        SplittableRandom random = new SplittableRandom(seed);
        WarmPoolHarness harness = new WarmPoolHarness(150, 15);
        harness.effects = effects;
        harness.addPool(WarmPoolHarness.poolSpec("a", "weights-a", 60, 4, 10, new BurstWindow(20, 25, 5)));
        harness.addPool(WarmPoolHarness.withSpot(WarmPoolHarness.poolSpec("b", "weights-b", 100, 4, 8)));
        List<Job> services = new ArrayList<>();
        int leaderChanges = 0;
        for (int round = 0; round < 40; round++) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    harness.startNewLeader();
                    leaderChanges++;
                }
                case 1 ->
                    harness.submitArray(
                            "guest-" + random.nextInt(5),
                            10 + random.nextInt(60),
                            1 + random.nextInt(30),
                            1 + random.nextInt(8),
                            5 + random.nextInt(60));
                case 2 ->
                    services.add(harness.submitService(
                            random.nextBoolean() ? "weights-a" : "weights-b",
                            random.nextBoolean() ? 60 : 100,
                            1 + random.nextInt(4)));
                case 3 -> {
                    if (!services.isEmpty()) {
                        harness.cancel(services.remove(0));
                    }
                }
                case 4 ->
                    harness.machines.values().stream()
                            .filter(b -> b.upAt <= harness.now)
                            .findFirst()
                            .ifPresent(b -> {
                                b.incarnation++;
                                b.tasks.clear();
                                b.fetchingImage = null;
                            });
                default -> {}
            }
            harness.run(5 + random.nextInt(20), harness::assertCachesMatch);
        }
        double metered =
                harness.meter.sums().values().stream().mapToDouble(d -> d).sum();
        // Metering may miss one step and one check period per rented machine, and 5 s per change of leader.
        double tolerance = (harness.rentedCount * 3 + leaderChanges * 5) * 3.6 / 3600;
        assertEquals(harness.totalCharge(), metered, tolerance);
        assertTrue(harness.poolMachineCount("a") >= 4, "a: " + harness.poolMachineCount("a"));
    }
}
