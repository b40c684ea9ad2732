package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.Random;

/** Jobs of a {@link RandomSimulation}: arrays of every urgency and placement, and each fourth a service. */
final class RandomJobs {
    private RandomJobs() {}

    static JobSpec next(Random random, int id) {
        JobSpec s = SimulatedWorld.spec(id, 1 + random.nextInt(12), 1 + random.nextInt(4), 3 + random.nextInt(20));
        boolean oneZone = random.nextInt(4) == 0;
        s = SimulatedWorld.with(
                s,
                Urgency.values()[random.nextInt(4)],
                oneZone,
                !oneZone && random.nextInt(4) == 0,
                true,
                random.nextInt(6) == 0 ? "east" : null,
                random.nextInt(2) * 5);
        if (id % 4 != 0) {
            return s;
        }
        return new JobSpec(
                s.id(),
                s.jobClass(),
                s.team(),
                JobKind.SERVICE,
                s.urgency(),
                1 + random.nextInt(3),
                new Demand(1, 0, 1),
                s.image(),
                0,
                null,
                s.zone(),
                oneZone,
                false,
                true,
                Span.ZERO,
                Span.ZERO,
                Span.ZERO,
                null);
    }
}
