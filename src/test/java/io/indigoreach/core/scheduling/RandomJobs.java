package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Urgency;
import java.util.Random;

/**
 * Generates the jobs of a {@link RandomSimulation}: arrays of every urgency and placement, with every fourth a service.
 */
final class RandomJobs {
    private RandomJobs() {}

    static JobSpec next(Random random, int id) {
        JobSpec spec = SchedulerFixture.spec(id, 1 + random.nextInt(12), 1 + random.nextInt(4), 3 + random.nextInt(20));
        boolean oneZone = random.nextInt(4) == 0;
        spec = SchedulerFixture.withOptions(
                spec,
                Urgency.values()[random.nextInt(4)],
                oneZone,
                !oneZone && random.nextInt(4) == 0,
                true,
                random.nextInt(6) == 0 ? "east" : null,
                random.nextInt(2) * 5);
        if (id % 4 != 0) {
            return spec;
        }
        return JobSpec.builder(spec.id())
                .jobClass(spec.jobClass())
                .team(spec.team())
                .kind(JobKind.SERVICE)
                .urgency(spec.urgency())
                .taskCount(1 + random.nextInt(3))
                .demand(new Resources(1, 0, 1))
                .image(spec.image())
                .imageGb(0)
                .zone(spec.zone())
                .singleZone(oneZone)
                .spotAllowed()
                .build();
    }
}
