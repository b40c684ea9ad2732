package io.indigoreach.config;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.InMemoryFormat;
import com.electronwill.nightconfig.toml.TomlWriter;
import io.indigoreach.config.PlatformConfig.CloudLimits;
import io.indigoreach.config.PlatformConfig.Objective;
import io.indigoreach.config.PlatformConfig.Peer;
import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.SafetyTimes;
import java.util.LinkedHashMap;

/** Writes a platform configuration as TOML. Used by tools that start nodes. */
final class PlatformConfigWriter {
    private PlatformConfigWriter() {}

    /** Returns the text of the file. */
    static String write(PlatformConfig config) {
        Config root = table(
                "node", config.node(),
                "domain", config.zone(),
                "serve_on", config.listen().toString(),
                "cluster_listen", config.peerListen().toString());
        root.set(
                "peers", config.peers().stream().map(PlatformConfigWriter::peer).toList());
        root.set(
                "endpoints",
                table(
                        "cloud",
                        config.cloud().toString(),
                        "state",
                        config.state().toString()));
        root.set("settings", settings(config));
        return new TomlWriter().writeToString(root);
    }

    private static Config settings(PlatformConfig config) {
        Config settings = table("size", config.peers().size() + 1, "zones", config.zones(), "skew_ms", (double)
                config.maxClockError().ms());
        settings.set(
                "teams", config.teams().stream().map(PlatformConfigWriter::team).toList());
        settings.set(
                "objectives",
                config.objectives().stream()
                        .map(PlatformConfigWriter::objective)
                        .toList());
        settings.set("workers", workers(config.safetyTimes()));
        settings.set("state", state(config.stateLimits()));
        settings.set("cloud", cloud(config.cloudLimits()));
        settings.set("machine_limits", table("max_connections", config.maxConnections()));
        return settings;
    }

    private static Config peer(Peer peer) {
        return table(
                "node", peer.node(),
                "domain", peer.zone(),
                "endpoint", peer.endpoint().toString());
    }

    private static Config team(Team team) {
        return table(
                "name", team.name(),
                "cpus", team.guaranteedCores(),
                "cpus_max", team.maxCores(),
                "gpus", team.guaranteedGpus(),
                "gpus_max", team.maxGpus());
    }

    private static Config objective(Objective objective) {
        return table(
                "kind", objective.kind(),
                "class", objective.jobClass(),
                "within_s", objective.targetTime().seconds(),
                "share", objective.share());
    }

    private static Config workers(SafetyTimes safetyTimes) {
        return table(
                "report_s", safetyTimes.heartbeatPeriod().seconds(),
                "lease_s", safetyTimes.workerLease().seconds(),
                "cancel_s", safetyTimes.cancellationTime().seconds());
    }

    private static Config state(StateLimits limits) {
        return table(
                "rps", limits.requestsPerS(),
                "write_rps", limits.writesPerS(),
                "value_kb", limits.valueBytes() / PlatformConfig.KIBIBYTE,
                "txn_ops", limits.txnOps());
    }

    private static Config cloud(CloudLimits limits) {
        return table(
                "rps", limits.requestsPerS(), "list_lag_s", limits.maxListAge().seconds());
    }

    private static Config table(Object... keysAndValues) {
        Config table = Config.of(LinkedHashMap::new, InMemoryFormat.defaultInstance());
        for (int i = 0; i < keysAndValues.length; i += 2) {
            table.set((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return table;
    }
}
