package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The leader's writes in a {@link RandomSimulation}. While the state service lags they are carried out 2 s to 12 s later, in any order,
 * some without an answer; a write whose leader's key is gone by then is not carried out, as it is conditional on that key.
 */
final class LaggingWrites {
    private static final double LEAST_LAG_S = 2;
    private static final double LAG_RANGE_S = 10;

    private record Write(double due, long token, Runnable effect, Runnable answered) {}

    private final Random random;
    private final List<Write> open = new ArrayList<>();
    private double lagsUntil;

    LaggingWrites(Random random) {
        this.random = random;
    }

    void lagUntil(double until) {
        lagsUntil = until;
    }

    boolean lags(double now) {
        return now < lagsUntil;
    }

    /** {@code answered}: what the leader does once it is told; it is not told of one in three that come late. */
    void write(double now, long token, Runnable effect, Runnable answered) {
        if (!lags(now)) {
            effect.run();
            answered.run();
            return;
        }
        double due = now + LEAST_LAG_S + LAG_RANGE_S * random.nextDouble();
        open.add(new Write(due, token, effect, random.nextInt(3) == 0 ? () -> {} : answered));
    }

    /** Carries out what is due, if its leader still leads under {@code token}. */
    void advance(double now, long token) {
        List<Write> due = open.stream().filter(w -> w.due <= now).toList();
        open.removeAll(due);
        for (Write w : due) {
            if (w.token == token) {
                w.effect.run();
                w.answered.run();
            }
        }
    }
}
