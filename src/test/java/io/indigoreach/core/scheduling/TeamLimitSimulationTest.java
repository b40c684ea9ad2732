package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits, cancellations and changes of leader, each one on the others. */
class TeamLimitSimulationTest {
    private static final int SEEDS = 12;

    /** {@code everyS}: from one change of leader to the next. */
    @ParameterizedTest
    @CsvSource({
        "NONE, 1, 0",
        "CUT, 1, 0",
        "DEAF, 1, 0",
        "HUNG, 1, 0",
        "HELD_UP, 1, 0",
        "CUT, 2, 7",
        "DEAF, 2, 7",
        "HUNG, 2, 5",
        "HELD_UP, 2, 3",
        "CUT, 10, 9",
        "DEAF, 10, 9",
        "HUNG, 10, 9",
        "HELD_UP, 10, 9",
        "CUT, 10, 3",
        "AWAY, 1, 0",
        "AWAY, 3, 10",
        "ZONE, 1, 0",
        "ZONE, 2, 6"
    })
    void noTeamExceedsItsLimit(TeamLimitSimulation.Trouble trouble, int changes, double everyS) {
        int outOfReach = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            TeamLimitSimulation run = new TeamLimitSimulation(seed, trouble);
            run.play(changes, everyS);
            assertEquals(List.of(), run.site.violations, "seed " + seed);
            outOfReach += run.outOfReach;
        }
        assertTrue(
                trouble == TeamLimitSimulation.Trouble.NONE || outOfReach > 0,
                "cancelled tasks ran on where nobody heard of them");
    }
}
