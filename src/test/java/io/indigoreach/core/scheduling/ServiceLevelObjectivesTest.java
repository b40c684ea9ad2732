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

/** A job that arrived at 0 with tasks of 20 s, to be finished in 150 s, or else in 250 s: by when it should start. */
class ServiceLevelObjectivesTest {
    @ParameterizedTest
    @CsvSource({
        "0,   1,  130, the first aim",
        "131, 1,  230, the first is missed",
        "40,  5,  130, five rounds still do",
        "60,  5,  230, five rounds are too many for the first",
        "0,   20, 600, out of reach of both however soon it starts",
        "240, 1,  600, both are missed"
    })
    void aimsOutOfReachGiveNoPrecedence(double now, int rounds, double latest, String why) {
        ServiceLevelObjectives aims = new ServiceLevelObjectives(List.of(
                new ServiceLevelObjectives.Objective("c", false, Span.seconds(250)),
                new ServiceLevelObjectives.Objective("c", false, Span.seconds(150))));
        Job job = new Job(spec(1, 9, 1, 20), 1, atSeconds(0), Revision.ABSENT, new BitSet(), 99, false);
        assertEquals(atSeconds(latest), aims.latestStart(job, Span.seconds(20), rounds, atSeconds(now)), why);
    }
}
