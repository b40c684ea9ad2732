package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.experiment.Experiment;
import io.indigoreach.experiment.Report;
import io.indigoreach.load.Arrivals;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs an experiment and checks the rules. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = {
            "Runs real controllers against the emulator under the load and the faults of a scenario, watches every message and "
                    + "checks the rules.",
            "Exits with 3 if a rule was broken, and shows by what; or if too little of a class or team was served."
        },
        footer = {"", "Example:", "  indigoreach experiment examples/outage.textproto"})
final class ExperimentVerb implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "a scenario (protobuf text format; see check --list scenario)")
    private Path file;

    @Option(
            names = "--dir",
            paramLabel = "DIR",
            defaultValue = "target/experiment",
            description = "where report, settings and logs go; default: ${DEFAULT-VALUE}")
    private Path directory;

    @Option(names = "--seed", paramLabel = "N", description = "another seed than the scenario's")
    private Long seed;

    @Option(
            names = "--least-served",
            paramLabel = "SHARE",
            defaultValue = "0",
            description =
                    "exit with 3 as well if less than this share of any class of jobs, of its largest jobs or of any team was served")
    private double leastServed;

    @Option(
            names = "--begin-within",
            paramLabel = "SECONDS",
            defaultValue = "240",
            description = "with --least-served: exit "
                    + "with 3 as well if any job waits longer until its first task runs; default: ${DEFAULT-VALUE}")
    private double beginWithin;

    @Option(names = "--json", description = "print the report as JSON")
    private boolean json;

    @Override
    public Integer call() throws ConfigException, IOException, InterruptedException {
        Scenario read = TextForm.read(file, Scenario.class);
        Scenario scenario = seed == null
                ? read
                : new Scenario(
                        read.name(), seed, read.lengthS(), read.drainS(), read.deployment(), read.jobs(), read.fault());
        Experiment.Outcome outcome = run(scenario, Arrivals.of(scenario), directory, json);
        Report report = new Report(outcome);
        Path page = report.write(directory);
        if (json) {
            System.out.println(report.json().encodePrettily());
        } else {
            System.out.print(report.text());
            System.out.println("report     " + page);
        }
        return outcome.breaches().isEmpty()
                        && report.leastServed() >= leastServed
                        && (leastServed <= 0 || report.latestBegin() <= beginWithin)
                ? Tool.DONE
                : Tool.BROKEN;
    }

    static Experiment.Outcome run(Scenario scenario, List<Arrivals.Arrival> arrivals, Path directory, boolean quiet)
            throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        try {
            return new Experiment(vertx, scenario, Tool.home(), directory, line -> {
                        if (!quiet) {
                            Console.progress(line);
                        }
                    })
                    .run(arrivals)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get();
        } catch (ExecutionException e) {
            throw new Failure(
                    Tool.WRONG,
                    "the experiment could not be run: " + e.getCause().getMessage());
        } finally {
            Console.over();
            vertx.close();
        }
    }
}
