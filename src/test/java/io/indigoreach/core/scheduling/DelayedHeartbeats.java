package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Copies of reports in a {@link RandomSimulation} that are kept until another leader begins, some of them for the one after it too. */
final class DelayedHeartbeats {
    private static final int MAX_COPIES = 40;

    private record Copy(Heartbeat heartbeat, long token) {}

    private final Random random;
    private final List<Copy> copies = new ArrayList<>();

    DelayedHeartbeats(Random random) {
        this.random = random;
    }

    /** Sent while the leader with this token led. */
    void keep(Heartbeat heartbeat, long token) {
        if (copies.size() == MAX_COPIES) {
            copies.remove(random.nextInt(MAX_COPIES));
        }
        copies.add(new Copy(heartbeat, token));
    }

    /** Hands some of the earlier leaders' to the one with this token, in any order; half of those go to a later one as well. */
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
