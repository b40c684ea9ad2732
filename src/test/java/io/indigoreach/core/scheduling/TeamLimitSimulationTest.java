package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Team limits hold during cancellations, leader changes and machine faults. */
class TeamLimitSimulationTest {
    private static final int SEEDS = 12;

    /** {@code intervalS} is the time from one leader change to the next. */
    @ParameterizedTest
    @CsvSource({
        "NONE, 1, 0",
        "PARTITIONED, 1, 0",
        "RESPONSES_LOST, 1, 0",
        "PAUSED, 1, 0",
        "RESPONSES_DELAYED, 1, 0",
        "PARTITIONED, 2, 7",
        "RESPONSES_LOST, 2, 7",
        "PAUSED, 2, 5",
        "RESPONSES_DELAYED, 2, 3",
        "PARTITIONED, 10, 9",
        "RESPONSES_LOST, 10, 9",
        "PAUSED, 10, 9",
        "RESPONSES_DELAYED, 10, 9",
        "PARTITIONED, 10, 3",
        "CONTROLLERS_DOWN, 1, 0",
        "CONTROLLERS_DOWN, 3, 10",
        "ZONE_PARTITIONED, 1, 0",
        "ZONE_PARTITIONED, 2, 6"
    })
    void noTeamExceedsItsLimit(TeamLimitSimulation.Fault fault, int leaderChanges, double intervalS) {
        int cancelledTasksOnFaultyMachines = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            TeamLimitSimulation simulation = new TeamLimitSimulation(seed, fault);
            simulation.simulate(leaderChanges, intervalS);
            assertEquals(List.of(), simulation.cluster.violations, "seed " + seed);
            cancelledTasksOnFaultyMachines += simulation.cancelledTasksOnFaultyMachines;
        }
        assertTrue(
                fault == TeamLimitSimulation.Fault.NONE || cancelledTasksOnFaultyMachines > 0,
                "no cancelled task was on a machine with a fault");
    }
}
