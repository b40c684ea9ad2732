package io.indigoreach.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobStatus;
import io.indigoreach.load.Users;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Controllers as the platform starts them, killed and started again at once, one and all, and stopped in the middle: each job
 * reaches its one end, none is left.
 */
class ProcessesIT {
    private static final String SCENARIO = """
            name: "processes"
            seed: 2
            length_s: 8
            drain_s: 100
            deployment {
              controllers: 3
              zones: "a"
              zones: "b"
              state { rps: 300 write_rps: 100 value_kb: 8 }
              cloud { rps: 20 list_lag_s: 0.5 boot_never: 0 boot_late: 0 }
              workers { report_s: 0.5 lease_s: 4 cancel_s: 12 }
              machine_type { name: "quad" cores: 4 ram_gb: 16 price: 1 spot_price: 0.3 boot_s: 1 fetch_gb_per_s: 10 }
              capacity { type: "quad" zone: "a" count: 5 spot: 5 }
              capacity { type: "quad" zone: "b" count: 5 spot: 5 }
              team { name: "t" cpus_max: 30 }
            }
            jobs { name: "c" team: "t" at_start: 4 per_minute: 30 tasks: 6 run_s: 2 cancel_share: 0.2 }
            fault { kind: kill at_s: 4 for_s: 0.1 to: "node-0" }
            fault { kind: kill at_s: 5 for_s: 0.1 to: "node-0" }
            fault { kind: kill at_s: 6 for_s: 0.2 to: "node-0" }
            fault { kind: kill at_s: 7 for_s: 1 to: "node-1" }
            fault { kind: pause at_s: 10 for_s: 3 to: "node-2" }
            fault { kind: kill at_s: 11 for_s: 1 to: "node-0" }
            fault { kind: kill at_s: 15 for_s: 0.1 to: "node-0" }
            fault { kind: kill at_s: 15 for_s: 0.1 to: "node-1" }
            fault { kind: kill at_s: 15 for_s: 0.1 to: "node-2" }
            """;

    @TempDir
    private Path directory;

    private static Set<Long> children() {
        return ProcessHandle.current()
                .descendants()
                .filter(ProcessHandle::isAlive)
                .map(ProcessHandle::pid)
                .collect(Collectors.toSet());
    }

    @Test
    void areKilledInTheMiddle() throws Exception {
        Set<Long> before = children();
        Scenario scenario = TextForm.parse("it", SCENARIO, Scenario.class);
        Experiment.Outcome outcome = ExperimentRun.of(scenario, directory);
        assertEquals(List.of(), outcome.breaches());
        assertEquals(List.of(), outcome.endedBySelf());
        assertTrue(outcome.jobs().size() >= 4);
        for (Users.Mine job : outcome.jobs()) {
            assertTrue(
                    job.status() == JobStatus.DONE || job.status() == JobStatus.CANCELLED,
                    job.spec().id().text());
        }
        Set<Long> after = children();
        after.removeAll(before);
        assertEquals(Set.of(), after, "processes left behind");
        Report report = new Report(outcome);
        assertTrue(report.text().contains("rules      none broken"), report.text());
        String page = Files.readString(report.write(directory));
        assertTrue(page.contains("uPlot") && page.contains("No rule was broken.") && !page.contains("/*PLOTS*/"));
    }
}
