package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.Span;
import io.indigoreach.experiment.Experiment;
import io.indigoreach.experiment.Report;
import io.indigoreach.load.Arrivals;
import io.indigoreach.load.Users;
import io.indigoreach.scenario.JobFile;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the whole on one machine. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Starts an emulated cloud and state service with three controllers, runs the jobs of examples/jobs until all are done, "
                    + "and prints what it cost. Takes about a minute and leaves nothing running."
        },
        footer = {"", "Example:", "  indigoreach demo"})
final class DemoVerb implements Callable<Integer> {
    @Option(
            names = "--dir",
            paramLabel = "DIR",
            defaultValue = "target/demo",
            description = "where report, settings and logs go; default: ${DEFAULT-VALUE}")
    private Path directory;

    @Option(names = "--json", description = "print the report as JSON")
    private boolean json;

    @Override
    public Integer call() throws ConfigException, IOException, InterruptedException {
        Path examples = Tool.home().resolve("examples");
        Scenario scenario = TextForm.read(examples.resolve("demo.textproto"), Scenario.class);
        List<Arrivals.Arrival> arrivals = new ArrayList<>(Arrivals.of(scenario));
        try (Stream<Path> files = Files.list(examples.resolve("jobs"))) {
            for (Path file : files.sorted().toList()) {
                JobFile job = TextForm.read(file, JobFile.class);
                // A service runs until its user cancels it.
                Span cancel = job.shape() == io.indigoreach.core.model.JobKind.SERVICE
                        ? Span.seconds(scenario.lengthS())
                        : null;
                arrivals.add(new Arrivals.Arrival(
                        Span.ZERO, job.spec(SubmitVerb.madeUp()), SubmitVerb.conduct(job), cancel));
            }
        }
        if (!json) {
            System.out.printf(
                    "Three controllers, an emulated cloud and %d jobs; logs and report in %s%n",
                    arrivals.size(), directory);
        }
        Experiment.Outcome outcome = ExperimentVerb.run(scenario, arrivals, directory, json);
        Report report = new Report(outcome);
        report.write(directory);
        if (json) {
            System.out.println(report.json().encodePrettily());
        } else {
            for (Users.Mine m : outcome.jobs()) {
                System.out.printf(
                        Locale.ROOT,
                        "%-18s %-18s %4d tasks  %-10s %s%n",
                        m.spec().id(),
                        m.spec().jobClass(),
                        m.spec().taskCount(),
                        m.status() == null ? "refused" : m.status().name().toLowerCase(Locale.ROOT),
                        m.overAfter() == null
                                ? ""
                                : String.format(
                                        Locale.ROOT,
                                        "after %5.1f s",
                                        m.overAfter().seconds()));
            }
            System.out.printf(
                    Locale.ROOT,
                    "It cost %.4f on emulated machines, in %.0f s; rules broken: %d.%n",
                    outcome.spent(),
                    outcome.took().seconds(),
                    outcome.breaches().size());
        }
        boolean all = outcome.jobs().stream().allMatch(m -> m.isOver() && !m.isRefused());
        return !outcome.breaches().isEmpty() ? Tool.BROKEN : all ? Tool.DONE : Tool.WRONG;
    }
}
