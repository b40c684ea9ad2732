package io.indigoreach.tools;

import io.indigoreach.api.JobCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.scenario.JobFile;
import io.indigoreach.scenario.TextForm;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits jobs. */
@Command(
        name = "submit",
        mixinStandardHelpOptions = true,
        description = "Submits jobs, and prints their ids.",
        footer = {"", "Example:", "  indigoreach submit examples/jobs/refill-routes.textproto --wait"})
final class SubmitVerb implements Callable<Integer> {
    private static final long FIRST_ID = 100_000_000_000L;

    @Mixin
    private Cluster.Choice cluster;

    @Option(names = "--wait", description = "wait until all are over")
    private boolean wait;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "a job (protobuf text format; see check --list job)")
    private List<Path> files;

    @Override
    public Integer call() throws ConfigException, InterruptedException {
        List<JobFile> jobs = new ArrayList<>();
        for (Path file : files) {
            jobs.add(TextForm.read(file, JobFile.class));
        }
        try (Cluster c = cluster.open()) {
            List<JobId> ids = new ArrayList<>();
            for (JobFile job : jobs) {
                JobSpec spec = job.spec(madeUp());
                JobCodec.Progress p = c.submit(spec, conduct(job));
                ids.add(spec.id());
                System.out.println(Lines.of(p, cluster.json));
            }
            return wait ? WatchVerb.follow(c, ids, cluster.json) : Tool.DONE;
        }
    }

    static JobId madeUp() {
        return new JobId("run-" + ThreadLocalRandom.current().nextLong(FIRST_ID, 10 * FIRST_ID));
    }

    static Depot.Conduct conduct(JobFile job) {
        return new Depot.Conduct(
                Span.seconds(job.emulatedS()), Depot.Conduct.AS_ESTIMATED.spread(), job.emulatedFails());
    }
}
