package io.indigoreach.core.scheduling;

import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.warm.BurstWindow;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Measures the start times and the cost of warm pools on simulated machines. It is not a test and runs only with
 * {@code mvn test -Dtest=WarmPoolMeasurement -Dwarm.measure=1}.
 */
@EnabledIfSystemProperty(named = "warm.measure", matches = "1")
class WarmPoolMeasurement {
    private static final int HOUR_STEPS = 3600;
    /** Step in which the burst comes. The simulation begins at 00:16:40, and the window opens one minute earlier. */
    private static final int BURST_STEP = 800 + 60;

    private static final int BURST_STEPS = 600;

    @Test
    void measure() {
        for (int machines : new int[] {100, 1000}) {
            for (double gb : new double[] {10, 40, 140}) {
                for (String mode : List.of("none", "pool", "all")) {
                    measureBurst(machines, gb, mode);
                }
            }
        }
    }

    /** Simulates an hour with one burst of replicas for about 40 % of the machines, beside another team's jobs. */
    private static void measureBurst(int machines, double gb, String mode) {
        double meanReplicas = machines * 0.4;
        int replicas = poisson(new SplittableRandom(machines + (long) gb), meanReplicas);
        WarmPoolHarness harness = new WarmPoolHarness(200, machines / 2);
        if (!mode.equals("none")) {
            boolean wholeFleet = mode.equals("all");
            harness.addPool(WarmPoolHarness.poolSpec(
                    "p",
                    WarmPoolHarness.MODEL_IMAGE,
                    gb,
                    wholeFleet ? machines : machines / 50,
                    machines,
                    wholeFleet ? new BurstWindow[0] : new BurstWindow[] {new BurstWindow(30, 40, meanReplicas)}));
        }
        for (int minute = 0; minute < 60; minute++) {
            if (minute % 5 == 0) {
                harness.submitArray("guest", 5, machines / 5, 2, 60);
            }
            if (minute * 60 + 20 == BURST_STEP - BURST_STEP % 60 + 20) {
                harness.run(BURST_STEP - harness.now);
                Job burst = harness.submitService(WarmPoolHarness.MODEL_IMAGE, gb, replicas);
                harness.run(BURST_STEPS);
                List<Integer> startDelays = harness.startDelays(burst, BURST_STEP);
                harness.cancel(burst);
                int started = startDelays.size();
                System.out.printf(
                        Locale.ROOT,
                        "%5d %5.0f GB %-5s replicas %4d began %4d: median %4s s, 99th %4s s",
                        machines,
                        gb,
                        mode,
                        replicas,
                        started,
                        started < (replicas + 1) / 2 ? "-" : startDelays.get((replicas + 1) / 2 - 1),
                        started < Math.ceil(replicas * 0.99)
                                ? "-"
                                : startDelays.get((int) Math.ceil(replicas * 0.99) - 1));
            }
            harness.run(Math.max(0, (minute + 1) * 60 - harness.now));
        }
        harness.run(HOUR_STEPS - harness.now);
        Map<Account, Double> sums = harness.meter.sums();
        String hits = harness.planner.told().isEmpty()
                ? ""
                : String.format(
                        Locale.ROOT,
                        " hits %.3f",
                        harness.planner.told().get(0).hits()
                                / Math.max(
                                        1.0,
                                        (double) harness.planner.told().get(0).hits()
                                                + harness.planner.told().get(0).misses()));
        System.out.printf(
                Locale.ROOT,
                "%s; metered cost %.2f of %.2f charged: pool %.2f, its team on other machines %.2f, other team %.2f, idle %.2f%n",
                hits,
                sums.values().stream().mapToDouble(d -> d).sum(),
                harness.totalCharge(),
                sum(sums, "p", "t"),
                sum(sums, "", "t"),
                sum(sums, "p", "g") + sum(sums, "", "g"),
                sum(sums, "", ""));
    }

    private static double sum(Map<Account, Double> sums, String pool, String team) {
        return sums.getOrDefault(new Account(pool, team), 0.0);
    }

    private static int poisson(SplittableRandom random, double mean) {
        int count = 0;
        for (double time = random.nextExponential(); time < mean; time += random.nextExponential()) {
            count++;
        }
        return count;
    }
}
