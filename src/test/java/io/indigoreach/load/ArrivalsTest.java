package io.indigoreach.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.Span;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The load of an experiment: by the seed alone, at the rates asked for. */
class ArrivalsTest {
    private static List<Arrivals.Arrival> arrivals(long seed, String jobs) throws ConfigException {
        return Arrivals.of(TextForm.parse("s", """
                name: "x"
                seed: %d
                length_s: 600
                deployment {
                  zones: "z"
                  machine_type { name: "m" cores: 2 ram_gb: 4 price: 1 }
                  capacity { type: "m" zone: "z" count: 3 }
                  team { name: "t" }
                }
                %s
                """.formatted(seed, jobs), Scenario.class));
    }

    @Test
    void repeatsItselfBySeed() throws ConfigException {
        String jobs = "jobs { name: \"a\" team: \"t\" run_s: 5 per_minute: 20 tasks: 9 cancel_share: 0.3 }";
        assertEquals(arrivals(1, jobs), arrivals(1, jobs));
        assertNotEquals(arrivals(1, jobs), arrivals(2, jobs));
    }

    @Test
    void comesAtItsRateAndInBursts() throws ConfigException {
        List<Arrivals.Arrival> all = arrivals(3, """
                jobs { name: "a" team: "t" run_s: 5 at_start: 7 per_minute: 30 tasks: 9 most_tasks: 20
                       burst_times: 4 burst_at_s: 300 burst_for_s: 60 due_times: 2 cancel_share: 0.5 mistake_share: 0.1 }
                jobs { name: "s" team: "t" shape: service run_s: 50 at_start: 2 }
                jobs { name: "ever" team: "t" shape: service at_start: 1 }
                """);
        long burst = all.stream()
                .filter(a -> a.at().seconds() >= 300 && a.at().seconds() < 360)
                .count();
        long usual = all.stream()
                .filter(a -> a.at().seconds() >= 1 && a.at().seconds() < 300)
                .count();
        assertTrue(burst > 90 && burst < 150, "" + burst);
        assertTrue(usual > 115 && usual < 185, "" + usual);
        assertEquals(
                9,
                all.stream()
                        .filter(a -> a.at().seconds() <= 1 && !a.at().equals(Span.ZERO))
                        .mapToDouble(a -> 1)
                        .sum(),
                2);
        assertEquals(all.size(), all.stream().map(a -> a.spec().id()).distinct().count());
        double tasks = all.stream()
                .filter(a -> a.spec().jobClass().equals("a"))
                .mapToInt(a -> a.spec().taskCount())
                .average()
                .orElseThrow();
        assertTrue(tasks > 7.5 && tasks < 10, "" + tasks);
        assertTrue(all.stream()
                .allMatch(a -> a.spec().taskCount() <= 20 || a.spec().isService()));
        double mean = all.stream()
                .mapToDouble(a -> a.conduct().run().seconds())
                .filter(s -> s < 20)
                .average()
                .orElseThrow();
        assertTrue(mean > 4.5 && mean < 5.5, "" + mean);
        long cancelled = all.stream()
                .filter(a -> a.cancelAfter() != null && !a.spec().isService())
                .count();
        assertTrue(Math.abs(cancelled - all.size() / 2.0) < all.size() * 0.1, "" + cancelled);
        assertTrue(all.stream()
                .filter(a -> a.spec().isService())
                .allMatch(a -> (a.cancelAfter() == null) == a.spec().jobClass().equals("ever")
                        && a.spec().estimatedRunTime().equals(Span.ZERO)));
    }
}
