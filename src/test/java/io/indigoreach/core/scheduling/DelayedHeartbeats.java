package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Copies of heartbeats in a {@link RandomSimulation} that are delayed until a later leader begins. */
final class DelayedHeartbeats {
    private static final int MOST = 40;

    private record Kept(Heartbeat report, long token) {}

    private final Random random;
    private final List<Kept> kept = new ArrayList<>();

    DelayedHeartbeats(Random random) {
        this.random = random;
    }

    /** Keeps a copy of a heartbeat that was sent while the leader with this token led. */
    void keep(Heartbeat heartbeat, long token) {
        if (kept.size() == MOST) {
            kept.remove(random.nextInt(MOST));
        }
        kept.add(new Kept(heartbeat, token));
    }

    /**
     * Delivers some copies from earlier leaderships to the leader with this token; half of these stay for a later
     * leader.
     */
    void arrive(long token, Consumer<Heartbeat> leader) {
        for (Kept copy : List.copyOf(kept)) {
            if (copy.token < token && random.nextInt(3) > 0) {
                leader.accept(copy.report);
                if (random.nextBoolean()) {
                    kept.remove(copy);
                }
            }
        }
    }
}
