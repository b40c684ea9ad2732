package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.ListedMachine;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the rented machines. */
@Command(
        name = "machines",
        mixinStandardHelpOptions = true,
        description = "Lists the rented machines as the cloud does, which lags by some seconds.")
final class MachinesVerb implements Callable<Integer> {
    @Mixin
    private Cluster.Choice cluster;

    @Override
    public Integer call() throws ConfigException {
        try (Cluster c = cluster.open()) {
            for (ListedMachine m : c.machines()) {
                String status = m.status().name().toLowerCase(Locale.ROOT);
                System.out.println(
                        cluster.json
                                ? new JsonObject()
                                        .put("id", m.id().text())
                                        .put("type", m.pool().type())
                                        .put("zone", m.pool().zone())
                                        .put("spot", m.pool().spot())
                                        .put("status", status)
                                        .put("age_s", m.timeSinceRequest().seconds())
                                        .encode()
                                : String.format(
                                        Locale.ROOT,
                                        "%-12s %-16s %-18s %-8s %-9s %8.1f s",
                                        m.id(),
                                        m.pool().type(),
                                        m.pool().zone(),
                                        m.pool().spot() ? "spot" : "ordinary",
                                        status,
                                        m.timeSinceRequest().seconds()));
            }
        }
        return Tool.DONE;
    }
}
