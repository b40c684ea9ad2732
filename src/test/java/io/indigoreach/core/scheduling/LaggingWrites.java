package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The leader's writes in a {@link RandomSimulation}. While the state service lags, they are applied 2 s to 12 s later,
 * in any order, and some are never answered. A write is conditional on its leader's key, so it is not applied if
 * another leader has begun.
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

    /**
     * Applies a write now, or later while the service lags. {@code answered} runs on its answer, which one in three
     * late writes lack.
     */
    void write(double now, long token, Runnable effect, Runnable answered) {
        if (!lags(now)) {
            effect.run();
            answered.run();
            return;
        }
        double due = now + LEAST_LAG_S + LAG_RANGE_S * random.nextDouble();
        open.add(new Write(due, token, effect, random.nextInt(3) == 0 ? () -> {} : answered));
    }

    /** Applies due writes whose leader still leads with {@code token}, and drops the other due ones. */
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
