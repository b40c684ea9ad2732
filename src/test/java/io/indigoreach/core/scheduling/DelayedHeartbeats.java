package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Copies of heartbeats in a {@link RandomSimulation} that are delayed until a later leader begins. */
final class DelayedHeartbeats {
    private static final int MAX_COPIES = 40;

    private record Copy(Heartbeat heartbeat, long token) {}

    private final Random random;
    private final List<Copy> copies = new ArrayList<>();

    DelayedHeartbeats(Random random) {
        this.random = random;
    }

    /** Keeps a copy of a heartbeat that was sent while the leader with this token led. */
    void keep(Heartbeat heartbeat, long token) {
        if (copies.size() == MAX_COPIES) {
            copies.remove(random.nextInt(MAX_COPIES));
        }
        copies.add(new Copy(heartbeat, token));
    }

    /**
     * Delivers some copies from earlier leaderships to the leader with this token; half of these stay for a later
     * leader.
     */
    void deliver(long token, Consumer<Heartbeat> receiver) {
        for (Copy copy : List.copyOf(copies)) {
            if (copy.token < token && random.nextInt(3) > 0) {
                receiver.accept(copy.heartbeat);
                if (random.nextBoolean()) {
                    copies.remove(copy);
                }
            }
        }
    }
}
