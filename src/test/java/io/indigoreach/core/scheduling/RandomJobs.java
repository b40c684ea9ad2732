package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Urgency;
import java.util.Random;

/** Jobs of a {@link RandomSimulation}: arrays of every urgency and placement, and each fourth a service. */
final class RandomJobs {
    private RandomJobs() {}

    static JobSpec next(Random random, int id) {
        JobSpec s = SchedulerFixture.spec(id, 1 + random.nextInt(12), 1 + random.nextInt(4), 3 + random.nextInt(20));
        boolean oneZone = random.nextInt(4) == 0;
        s = SchedulerFixture.withOptions(
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
        return JobSpec.builder(s.id())
                .jobClass(s.jobClass())
                .team(s.team())
                .kind(JobKind.SERVICE)
                .urgency(s.urgency())
                .tasks(1 + random.nextInt(3))
                .demand(new Demand(1, 0, 1))
                .image(s.image())
                .imageGb(0)
                .zone(s.zone())
                .oneZone(oneZone)
                .spotAllowed()
                .build();
    }
}
