package io.indigoreach.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Controllers in processes of their own; whichever takes the leadership is killed within a heartbeat's period, again and again, while
 * replicas are cancelled. A longer run is started by hand, with a larger {@code length_s} and {@code for_s}.
 */
class ShortLeadershipsIT {
    private static final Path FILE = Path.of("examples/short-leaderships.textproto");
    private static final int LEAST_LEADERSHIPS = 6;
    private static final int LEAST_RENEWALS_TO_OLDER_TOKENS = 30;

    @TempDir
    private Path directory;

    @Test
    void noCancelledTaskOutlivesItsTime() throws Exception {
        Scenario scenario = TextForm.parse(FILE.toString(), Files.readString(FILE), Scenario.class);
        Experiment.Outcome outcome = ExperimentRun.of(scenario, directory);
        LeadershipFigures figures = new Figures(outcome).leadership;
        assertEquals(List.of(), outcome.breaches(), figures.toString());
        assertEquals(List.of(), outcome.endedBySelf());
        assertTrue(figures.leaderships() >= LEAST_LEADERSHIPS, figures.toString());
        assertTrue(figures.renewalsToOlderTokens() >= LEAST_RENEWALS_TO_OLDER_TOKENS, figures.toString());
    }
}
