package io.indigoreach.core.calendar;

import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A measurement, no test: the plans of 100 depots in seeded weeks, started as {@link Forecast} says, at a fixed hour, and at once
 * when the day's orders close. A coarse model of minutes: spot cores that others use in the evening and that go in waves,
 * ordinary ones for ten minutes' patience (a planned job has none), outages in which nothing is started. Run it with
 * {@code mvn -q test-compile} and {@code java -cp target/classes:target/test-classes io.indigoreach.core.calendar.DepotWeeks}.
 */
final class DepotWeeks {
    private static final int DEPOTS = 100;
    private static final int NIGHTS = 28;
    private static final int MINUTES = 10 * 60;
    private static final int SPOT = 1200;
    private static final int ORDINARY = 400;
    private static final double SPOT_PRICE = 0.3;
    private static final int BOOT = 2;
    private static final int PATIENCE = 10;
    private static final double HOT = 0.95;

    /** When plans start; the night begins at 20:00, when orders close. */
    private enum Way {
        CALENDAR,
        FIXED_HOUR,
        AT_ONCE
    }

    private static final class Work {
        Forecast.Entry entry;
        double minutes;
        int left;
        int start;
        int ready = -1;
        int departs;
        /** Minutes at which tasks on cores end. */
        final List<Integer> ends = new ArrayList<>();
    }

    private DepotWeeks() {}

    public static void main(String[] args) {
        System.out.println(
                "way          ready before departure   late, minutes in the mean   cost a night   of it ordinary");
        for (Way way : Way.values()) {
            double[] sum = new double[5];
            for (int seed = 1; seed <= 10; seed++) {
                weeks(way, seed, sum);
            }
            System.out.printf(
                    Locale.ROOT,
                    "%-12s %.4f                   %.1f                         %.1f          %.1f%n",
                    way,
                    sum[0] / sum[1],
                    sum[2] / Math.max(1, sum[1] - sum[0]),
                    sum[3] / NIGHTS / 10,
                    sum[4] / NIGHTS / 10);
        }
    }

    private static void weeks(Way way, long seed, double[] sum) {
        SplittableRandom random = new SplittableRandom(seed);
        int[] tasks = new int[DEPOTS];
        int[] departs = new int[DEPOTS];
        double[] real = new double[DEPOTS];
        for (int d = 0; d < DEPOTS; d++) {
            tasks[d] = 8 + random.nextInt(53);
            departs[d] = 8 * 60 + random.nextInt(MINUTES - 8 * 60 - 30);
            // Owners say 20 minutes; some are wrong by half, and one in ten by three times.
            real[d] = 20 * (d % 10 == 0 ? 3 : 0.5 + random.nextDouble());
        }
        Map<Integer, List<Double>> seen = new HashMap<>();
        for (int night = 0; night < NIGHTS; night++) {
            double busy = 0.5 + 0.4 * random.nextDouble();
            int wave = random.nextInt(4) == 0 ? 240 + random.nextInt(300) : -1;
            int outage = random.nextInt(5) == 0 ? random.nextInt(MINUTES - 60) : -100;
            double slow = random.nextInt(6) == 0 ? 1.4 : 1;
            List<Work> works = new ArrayList<>();
            for (int d = 0; d < DEPOTS; d++) {
                Work w = new Work();
                w.departs = departs[d];
                w.left = tasks[d];
                w.minutes = Math.max(1, real[d] * slow * (0.85 + 0.3 * random.nextDouble()));
                w.entry = entry(d, tasks[d], departs[d]);
                works.add(w);
            }
            plan(works, seen);
            for (Work w : works) {
                w.start = switch (way) {
                    case CALENDAR -> (int) Math.max(0, w.entry.latestStart() / 60_000);
                    case FIXED_HOUR -> 7 * 60;
                    case AT_ONCE -> 0;
                };
            }
            night(works, way, busy, wave, outage, sum);
            for (int d = 0; d < DEPOTS; d++) {
                List<Double> runs = seen.computeIfAbsent(d, k -> new ArrayList<>());
                runs.add(works.get(d).minutes * 60);
            }
        }
    }

    private static Forecast.Entry entry(int d, int tasks, int departs) {
        Plan plan = new Plan(
                "p" + d,
                "d",
                null,
                Samples.ANY,
                Span.seconds(900),
                Plan.OnHoliday.RUN,
                List.of(),
                Samples.job(tasks, 20 * 60));
        return new Forecast.Entry(
                new Occurrence(plan, new Day(0), Occurrence.Kind.RUNS, departs * 60_000L, tasks, ""),
                null,
                null,
                null,
                null,
                "");
    }

    /** Of each plan its own history: its class is its own. */
    private static void plan(List<Work> works, Map<Integer, List<Double>> seen) {
        List<Occurrence> all = works.stream().map(w -> w.entry.occurrence()).toList();
        Map<String, Forecast.Entry> byName = new HashMap<>();
        for (int d = 0; d < works.size(); d++) {
            // One by one for the history, all at once for what they need of each other: the longer of both.
            List<Double> runs = seen.getOrDefault(d, List.of());
            Means alone = Samples.means(SPOT, 0, runs.size() < 2 ? null : history(runs));
            Forecast.of(List.of(all.get(d)), alone)
                    .forEach(e -> byName.put(e.occurrence().name(), e));
        }
        Map<String, Forecast.Entry> shared = new HashMap<>();
        Forecast.of(all, Samples.means(SPOT, 0, null))
                .forEach(e -> shared.put(e.occurrence().name(), e));
        for (Work w : works) {
            Forecast.Entry own = byName.get(w.entry.occurrence().name());
            Forecast.Entry s = shared.get(w.entry.occurrence().name());
            double crowd = s.needed().seconds() / s.alone().seconds();
            w.entry = new Forecast.Entry(
                    own.occurrence(), own.needed().times(crowd), own.alone(), own.unlimited(), null, "");
        }
    }

    private static Means.Runs history(List<Double> runs) {
        double[] sorted =
                runs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        Means.Runs flat = Samples.runs(Arrays.stream(sorted).average().orElseThrow(), 0);
        return new Means.Runs() {
            @Override
            public long count() {
                return 5L * sorted.length;
            }

            @Override
            public double mean() {
                return flat.mean();
            }

            @Override
            public double quantile(double q) {
                return sorted[(int) Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
            }

            @Override
            public double failed() {
                return 0;
            }
        };
    }

    private static void night(List<Work> works, Way way, double busy, int wave, int outage, double[] sum) {
        List<Work> order = new ArrayList<>(works);
        order.sort(Comparator.comparingInt(w -> w.departs));
        for (int t = 0; t < MINUTES + 240; t++) {
            int now = t;
            double others = t < 300 ? busy : busy * 0.3;
            int spot = (int) (SPOT * (1 - Math.min(HOT, others)) * (wave >= 0 && t >= wave && t < wave + 45 ? 0.4 : 1));
            int used = 0;
            for (Work w : order) {
                w.ends.removeIf(e -> e <= now);
                used += w.ends.size();
                if (w.left == 0 && w.ends.isEmpty() && w.ready < 0) {
                    w.ready = t;
                }
            }
            sum[3] += Math.min(used, spot) * SPOT_PRICE / 60 + Math.max(0, used - spot) / 60.0;
            sum[4] += Math.max(0, used - spot) / 60.0;
            for (Work w : order) {
                int patience = way == Way.CALENDAR ? 0 : PATIENCE;
                if (w.left == 0 || t < w.start + BOOT || (t >= outage && t < outage + 30)) {
                    continue;
                }
                int room = spot - used + (t >= w.start + BOOT + patience ? ORDINARY : 0);
                int n = Math.max(0, Math.min(w.left, room));
                for (int i = 0; i < n; i++) {
                    w.ends.add(t + (int) Math.ceil(w.minutes));
                }
                w.left -= n;
                used += n;
            }
        }
        for (Work w : works) {
            sum[1]++;
            sum[0] += w.ready >= 0 && w.ready <= w.departs ? 1 : 0;
            sum[2] += w.ready < 0 ? 240 : Math.max(0, w.ready - w.departs);
        }
    }
}
