package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Tells what only one controller may do: who does it, and what is under way. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description = {
            "Tells which controller leads, which requests to the "
                    + "cloud are under way and under whose token, and what was lost and rebuilt last, by the state service's records."
        },
        footer = {"", "Example:", "  indigoreach duties --json"})
final class DutiesVerb implements Callable<Integer> {
    private static final int LABEL = 11;

    @Mixin
    private Cluster.Choice cluster;

    @Override
    public Integer call() throws ConfigException {
        List<String> lines;
        try (Cluster c = cluster.open()) {
            lines = c.duties();
        }
        for (String line : lines) {
            System.out.println(
                    cluster.json
                            ? new JsonObject()
                                    .put("what", line.substring(0, LABEL).strip())
                                    .put("is", line.substring(LABEL))
                                    .encode()
                            : line);
        }
        return Tool.DONE;
    }
}
