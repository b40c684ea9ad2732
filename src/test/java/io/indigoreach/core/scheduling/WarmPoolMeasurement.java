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
    private static final int HOUR = 3600;
    /** Step in which the burst comes. The simulation begins at 00:16:40, and the window opens one minute earlier. */
    private static final int BURST = 800 + 60;

    private static final int LASTS = 600;

    @Test
    void measure() {
        for (int machines : new int[] {100, 1000}) {
            for (double gb : new double[] {10, 40, 140}) {
                for (String way : List.of("none", "pool", "all")) {
                    one(machines, gb, way);
                }
            }
        }
    }

    /** Simulates an hour with one burst of replicas for about 40 % of the machines, beside another team's jobs. */
    private static void one(int machines, double gb, String way) {
        double mean = machines * 0.4;
        int replicas = poisson(new SplittableRandom(machines + (long) gb), mean);
        WarmPoolHarness w = new WarmPoolHarness(200, machines / 2);
        if (!way.equals("none")) {
            boolean all = way.equals("all");
            w.keep(WarmPoolHarness.pool(
                    "p",
                    WarmPoolHarness.MODEL,
                    gb,
                    all ? machines : machines / 50,
                    machines,
                    all ? new BurstWindow[0] : new BurstWindow[] {new BurstWindow(30, 40, mean)}));
        }
        for (int minute = 0; minute < 60; minute++) {
            if (minute % 5 == 0) {
                w.array("guest", 5, machines / 5, 2, 60);
            }
            if (minute * 60 + 20 == BURST - BURST % 60 + 20) {
                w.run(BURST - w.now);
                Job burst = w.serve(WarmPoolHarness.MODEL, gb, replicas);
                w.run(LASTS);
                List<Integer> waits = w.waits(burst, BURST);
                w.cancel(burst);
                int n = waits.size();
                System.out.printf(
                        Locale.ROOT,
                        "%5d %5.0f GB %-5s replicas %4d began %4d: median %4s s, 99th %4s s",
                        machines,
                        gb,
                        way,
                        replicas,
                        n,
                        n < (replicas + 1) / 2 ? "-" : waits.get((replicas + 1) / 2 - 1),
                        n < Math.ceil(replicas * 0.99) ? "-" : waits.get((int) Math.ceil(replicas * 0.99) - 1));
            }
            w.run(Math.max(0, (minute + 1) * 60 - w.now));
        }
        w.run(HOUR - w.now);
        Map<Account, Double> sums = w.meter.sums();
        String hits = w.plan.told().isEmpty()
                ? ""
                : String.format(
                        Locale.ROOT,
                        " hits %.3f",
                        w.plan.told().get(0).hits()
                                / Math.max(
                                        1.0,
                                        (double) w.plan.told().get(0).hits()
                                                + w.plan.told().get(0).misses()));
        System.out.printf(
                Locale.ROOT,
                "%s; metered cost %.2f of %.2f charged: pool %.2f, its team on other machines %.2f, other team %.2f, idle %.2f%n",
                hits,
                sums.values().stream().mapToDouble(d -> d).sum(),
                w.charged(),
                sum(sums, "p", "t"),
                sum(sums, "", "t"),
                sum(sums, "p", "g") + sum(sums, "", "g"),
                sum(sums, "", ""));
    }

    private static double sum(Map<Account, Double> sums, String pool, String team) {
        return sums.getOrDefault(new Account(pool, team), 0.0);
    }

    private static int poisson(SplittableRandom random, double mean) {
        int n = 0;
        for (double t = random.nextExponential(); t < mean; t += random.nextExponential()) {
            n++;
        }
        return n;
    }
}
