package io.indigoreach.tools;

import io.indigoreach.api.JobCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.JobId;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Tells how a job stands. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Tells how a job stands.",
        footer = {"", "Example:", "  indigoreach status run-000412"})
final class StatusVerb implements Callable<Integer> {
    @Mixin
    private Cluster.Choice cluster;

    @Parameters(paramLabel = "ID", description = "the job's id")
    private String id;

    @Override
    public Integer call() throws ConfigException {
        return show(cluster, id, false);
    }

    static int show(Cluster.Choice choice, String id, boolean cancels) throws ConfigException {
        if (!JobId.isValid(id)) {
            throw new Failure(Tool.USAGE, "not a job's id: " + id + "; it is run- and digits");
        }
        try (Cluster c = choice.open()) {
            JobCodec.Progress p = cancels ? c.cancel(new JobId(id)) : c.status(new JobId(id));
            if (p == null) {
                throw new Failure(Tool.WRONG, "no such job: " + id);
            }
            System.out.println(Lines.of(p, choice.json));
            return Tool.DONE;
        }
    }
}
