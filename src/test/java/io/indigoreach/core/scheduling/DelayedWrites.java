package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The leader's writes in a {@link RandomSimulation}. While the state service lags, they are applied 2 s to 12 s later,
 * in any order, and some are never answered. A write is conditional on its leader's key, so it is not applied if
 * another leader has begun.
 */
final class DelayedWrites {
    private static final double MIN_LAG_S = 2;
    private static final double LAG_RANGE_S = 10;

    private record Write(double dueAt, long token, Runnable effect, Runnable onAnswered) {}

    private final Random random;
    private final List<Write> pending = new ArrayList<>();
    private double laggingUntil;

    DelayedWrites(Random random) {
        this.random = random;
    }

    void setLaggingUntil(double end) {
        laggingUntil = end;
    }

    boolean isLagging(double now) {
        return now < laggingUntil;
    }

    /**
     * Applies a write now, or later while the service lags. {@code onAnswered} runs on its answer, which one in three
     * late writes lack.
     */
    void write(double now, long token, Runnable effect, Runnable onAnswered) {
        if (!isLagging(now)) {
            effect.run();
            onAnswered.run();
            return;
        }
        double dueAt = now + MIN_LAG_S + LAG_RANGE_S * random.nextDouble();
        pending.add(new Write(dueAt, token, effect, random.nextInt(3) == 0 ? () -> {} : onAnswered));
    }

    /** Applies due writes whose leader still leads with {@code token}, and drops the other due ones. */
    void applyDue(double now, long token) {
        List<Write> due = pending.stream().filter(write -> write.dueAt <= now).toList();
        pending.removeAll(due);
        for (Write write : due) {
            if (write.token == token) {
                write.effect.run();
                write.onAnswered.run();
            }
        }
    }
}
