package io.indigoreach.config;

import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import io.indigoreach.config.PlatformConfig.CloudLimits;
import io.indigoreach.config.PlatformConfig.Objective;
import io.indigoreach.config.PlatformConfig.Peer;
import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.SafetyTimes;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads the platform configuration from TOML. If a file has several errors, the first one in the order of reading is reported. */
final class PlatformConfigReader {
    private static final double DEFAULT_CLOCK_SKEW_MS = 100;
    private static final double DEFAULT_MAX_CONNECTIONS = 1000;

    private PlatformConfigReader() {}

    /** Parses a configuration; {@code fileName} is used in error messages. */
    static PlatformConfig parse(String fileName, String text) throws ConfigException {
        TomlSection root = root(fileName, text);
        TomlSection settings = root.section("settings");
        TomlSection workers = settings.section("workers");
        TomlSection state = settings.section("state");
        TomlSection cloud = settings.section("cloud");
        List<Peer> peers = peers(root);
        List<Team> teams = teams(fileName, settings);
        List<Objective> objectives = objectives(settings);
        SafetyTimes safetyTimes = safetyTimes(workers, cloud);
        TomlSection endpoints = root.section("endpoints");
        return new PlatformConfig(
                root.text("node"),
                root.text("domain"),
                root.endpoint("serve_on"),
                root.endpoint("cluster_listen"),
                peers,
                endpoints.endpoint("cloud"),
                endpoints.endpoint("state"),
                settings.texts("zones"),
                new Span((long) settings.amount("skew_ms", DEFAULT_CLOCK_SKEW_MS)),
                teams,
                objectives,
                safetyTimes,
                stateLimits(state),
                new CloudLimits(cloud.positive("rps"), Span.seconds(cloud.amount("list_lag_s", 0))),
                (int) settings.optionalSection("machine_limits").amount("max_connections", DEFAULT_MAX_CONNECTIONS));
    }

    private static TomlSection root(String fileName, String text) throws ConfigException {
        try {
            return new TomlSection(fileName, "", new TomlParser().parse(text));
        } catch (ParsingException e) {
            throw new ConfigException(fileName + ": not TOML: "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static List<Peer> peers(TomlSection root) throws ConfigException {
        List<Peer> peers = new ArrayList<>();
        for (TomlSection peer : root.sections("peers")) {
            peers.add(new Peer(peer.text("node"), peer.text("domain"), peer.endpoint("endpoint")));
        }
        return List.copyOf(peers);
    }

    private static List<Team> teams(String fileName, TomlSection settings) throws ConfigException {
        List<Team> teams = new ArrayList<>();
        for (TomlSection team : settings.sections("teams")) {
            teams.add(new Team(
                    team.text("name"),
                    team.amount("cpus", 0),
                    team.amount("cpus_max", 0),
                    team.amount("gpus", 0),
                    team.amount("gpus_max", 0)));
        }
        if (teams.isEmpty()) {
            throw new ConfigException(fileName + ": settings.teams: no team");
        }
        return List.copyOf(teams);
    }

    private static List<Objective> objectives(TomlSection settings) throws ConfigException {
        List<Objective> objectives = new ArrayList<>();
        for (TomlSection objective : settings.sections("objectives")) {
            objectives.add(new Objective(
                    objective.text("kind"),
                    objective.text("class"),
                    Span.seconds(objective.amount("within_s", 0)),
                    objective.amount("share", 0)));
        }
        return List.copyOf(objectives);
    }

    private static SafetyTimes safetyTimes(TomlSection workers, TomlSection cloud) throws ConfigException {
        return new SafetyTimes(
                workers.span("lease_s"),
                workers.span("report_s"),
                workers.span("cancel_s"),
                Span.seconds(cloud.amount("list_lag_s", 0)));
    }

    /** Applies announced limits immediately, because the time at which the service lowers its limits is unknown. */
    private static StateLimits stateLimits(TomlSection state) throws ConfigException {
        state.warnOfUnknownFields(Set.of("rps", "write_rps", "value_kb", "txn_ops", "next"));
        StateLimits current = new StateLimits(
                state.positive("rps"),
                state.positive("write_rps"),
                kibibytes(state.positive("value_kb")),
                txnOps(state, state.positive("txn_ops")));
        TomlSection next = state.optionalSection("next");
        next.warnOfUnknownFields(Set.of("write_rps", "value_kb", "txn_ops"));
        return current.minimum(new StateLimits(
                current.requestsPerS(),
                next.positiveOr("write_rps", current.writesPerS()),
                kibibytes(next.positiveOr("value_kb", current.valueBytes() / PlatformConfig.KIBIBYTE)),
                txnOps(next, next.positiveOr("txn_ops", current.txnOps()))));
    }

    private static int kibibytes(double amount) {
        return (int) (amount * PlatformConfig.KIBIBYTE);
    }

    private static int txnOps(TomlSection section, double amount) throws ConfigException {
        if (amount < StateLimits.MIN_TXN_OPS) {
            throw section.invalidField("txn_ops", "must be at least " + StateLimits.MIN_TXN_OPS);
        }
        return (int) amount;
    }
}
