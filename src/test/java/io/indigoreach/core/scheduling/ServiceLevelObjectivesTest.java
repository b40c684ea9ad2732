package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The latest start of a job that arrived at 0 s with tasks of 20 s and objectives to finish within 150 s and 250 s. */
class ServiceLevelObjectivesTest {
    @ParameterizedTest
    @CsvSource({
        "0,   1,  130, the first objective",
        "131, 1,  230, the first objective is missed",
        "40,  5,  130, five rounds can still meet the first objective",
        "60,  5,  230, five rounds cannot meet the first objective",
        "0,   20, 600, neither objective can be met",
        "240, 1,  600, both objectives are missed"
    })
    void unreachableObjectivesGiveNoPrecedence(double now, int rounds, double latest, String reason) {
        ServiceLevelObjectives objectives = new ServiceLevelObjectives(List.of(
                new ServiceLevelObjectives.Objective("c", false, Span.seconds(250)),
                new ServiceLevelObjectives.Objective("c", false, Span.seconds(150))));
        Job job = new Job(spec(1, 9, 1, 20), 1, atSeconds(0), Revision.ABSENT, new BitSet(), 99, false);
        assertEquals(atSeconds(latest), objectives.latestStart(job, Span.seconds(20), rounds, atSeconds(now)), reason);
    }
}
