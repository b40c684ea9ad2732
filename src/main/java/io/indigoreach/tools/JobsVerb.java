package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.state.JobRecord;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the open jobs. */
@Command(
        name = "jobs",
        mixinStandardHelpOptions = true,
        description = "Lists the open jobs as the state service has them; their counts lag by some seconds.")
final class JobsVerb implements Callable<Integer> {
    @Mixin
    private Cluster.Choice cluster;

    @Override
    public Integer call() throws ConfigException {
        try (Cluster c = cluster.open()) {
            for (JobRecord record : c.openJobs()) {
                String status = record.status().name().toLowerCase(Locale.ROOT);
                System.out.println(
                        cluster.json
                                ? new JsonObject()
                                        .put("id", record.id().text())
                                        .put("class", record.spec().jobClass())
                                        .put("team", record.spec().team())
                                        .put("status", status)
                                        .put("tasks", record.spec().taskCount())
                                        .put("done", record.doneCount())
                                        .put("running", record.running())
                                        .encode()
                                : String.format(
                                        Locale.ROOT,
                                        "%-24s %-20s %-14s %-8s %6d tasks %6d done %6d running",
                                        record.id(),
                                        record.spec().jobClass(),
                                        record.spec().team(),
                                        status,
                                        record.spec().taskCount(),
                                        record.doneCount(),
                                        record.running()));
            }
        }
        return Tool.DONE;
    }
}
