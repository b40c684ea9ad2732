package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Copies of reports in a {@link RandomSimulation} that are kept until another leader begins, some of them for the one after it too. */
final class DelayedHeartbeats {
    private static final int MOST = 40;

    private record Kept(Heartbeat report, long token) {}

    private final Random random;
    private final List<Kept> kept = new ArrayList<>();

    DelayedHeartbeats(Random random) {
        this.random = random;
    }

    /** Sent while the leader with this token led. */
    void keep(Heartbeat heartbeat, long token) {
        if (kept.size() == MOST) {
            kept.remove(random.nextInt(MOST));
        }
        kept.add(new Kept(heartbeat, token));
    }

    /** Hands some of the earlier leaders' to the one with this token, in any order; half of those go to a later one as well. */
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
