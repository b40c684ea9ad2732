package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(
        name = "cancel",
        mixinStandardHelpOptions = true,
        description = "Cancels a job, and tells how it stands.",
        footer = {"", "Example:", "  indigoreach cancel run-000412"})
final class CancelVerb implements Callable<Integer> {
    @Mixin
    private Cluster.Choice cluster;

    @Parameters(paramLabel = "ID", description = "the job's id")
    private String id;

    @Override
    public Integer call() throws ConfigException {
        return StatusVerb.show(cluster, id, true);
    }
}
