package io.indigoreach.config;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.InMemoryFormat;
import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import com.electronwill.nightconfig.toml.TomlWriter;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.SafetyTimes;
import io.indigoreach.net.Endpoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's file: who this node is, whom it talks to, and the limits it lives under. Unknown fields are ignored.
 */
public record PlatformConfig(
        String node,
        String zone,
        Endpoint listen,
        Endpoint peerListen,
        List<Peer> peers,
        Endpoint cloud,
        Endpoint state,
        List<String> zones,
        Span clockOff,
        List<Team> teams,
        List<Objective> objectives,
        SafetyTimes rules,
        StateLimits stateLimits,
        CloudLimits cloudLimits,
        int maxConnections) {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformConfig.class);
    private static final double KIBIBYTE = 1024;

    /** Another controller node. */
    public record Peer(String node, String zone, Endpoint endpoint) {}

    /** What the users expect of a class of jobs. */
    public record Objective(String kind, String jobClass, Span within, double share) {}

    /** The state service's limits that hold or may come to hold: for each the smaller of today's and the announced one. */
    public record StateLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {
        /** A lease's key and the counter, and a job's two keys, change together: with less there is no service. */
        public static final int LEAST_TXN_OPS = 2;

        /** Part of a value's limit that is filled: a service that counts spaces or escapes takes the rest. */
        private static final double FILLED = 0.8;

        /** The smaller of each of the two. */
        public StateLimits atMost(StateLimits other) {
            return new StateLimits(
                    Math.min(requestsPerS, other.requestsPerS),
                    Math.min(writesPerS, other.writesPerS),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(txnOps, other.txnOps));
        }

        /** How long a value may become, counted by {@link io.indigoreach.net.JsonSize}. */
        public int room() {
            return (int) (valueBytes * FILLED);
        }
    }

    /** The cloud's limits. */
    public record CloudLimits(double requestsPerS, Span listLag) {}

    /** Reads and checks the file. */
    public static PlatformConfig read(Path file) throws ConfigException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(file.toString(), text);
    }

    public static PlatformConfig parse(String name, String text) throws ConfigException {
        Section root;
        try {
            root = new Section(name, "", new TomlParser().parse(text));
        } catch (ParsingException e) {
            throw new ConfigException(
                    name + ": not TOML: " + e.getMessage().lines().findFirst().orElse(""));
        }
        Section settings = root.section("settings");
        Section workers = settings.section("workers");
        Section state = settings.section("state");
        Section cloud = settings.section("cloud");
        List<Peer> peers = new ArrayList<>();
        for (Section peer : root.sections("peers")) {
            peers.add(new Peer(peer.text("node"), peer.text("domain"), peer.endpoint("endpoint")));
        }
        List<Team> teams = new ArrayList<>();
        for (Section team : settings.sections("teams")) {
            teams.add(new Team(
                    team.text("name"),
                    team.amount("cpus", 0),
                    team.amount("cpus_max", 0),
                    team.amount("gpus", 0),
                    team.amount("gpus_max", 0)));
        }
        if (teams.isEmpty()) {
            throw new ConfigException(name + ": settings.teams: no team");
        }
        List<Objective> objectives = new ArrayList<>();
        for (Section o : settings.sections("objectives")) {
            objectives.add(new Objective(
                    o.text("kind"), o.text("class"), Span.seconds(o.amount("within_s", 0)), o.amount("share", 0)));
        }
        SafetyTimes rules = new SafetyTimes(
                workers.span("lease_s"),
                workers.span("report_s"),
                workers.span("cancel_s"),
                Span.seconds(cloud.amount("list_lag_s", 0)));
        Section endpoints = root.section("endpoints");
        return new PlatformConfig(
                root.text("node"),
                root.text("domain"),
                root.endpoint("serve_on"),
                root.endpoint("cluster_listen"),
                List.copyOf(peers),
                endpoints.endpoint("cloud"),
                endpoints.endpoint("state"),
                settings.texts("zones"),
                new Span((long) settings.amount("skew_ms", 100)),
                List.copyOf(teams),
                List.copyOf(objectives),
                rules,
                stateLimits(state),
                new CloudLimits(cloud.positive("rps"), Span.seconds(cloud.amount("list_lag_s", 0))),
                (int) settings.optionalSection("machine_limits").amount("max_connections", 1000));
    }

    /** The limits to come hold from the first start on: nobody says when the service will lower them. */
    private static StateLimits stateLimits(Section state) throws ConfigException {
        state.warnOfOthers(Set.of("rps", "write_rps", "value_kb", "txn_ops", "next"));
        StateLimits today = new StateLimits(
                state.positive("rps"),
                state.positive("write_rps"),
                kibibytes(state.positive("value_kb")),
                txnOps(state, state.positive("txn_ops")));
        Section next = state.optionalSection("next");
        next.warnOfOthers(Set.of("write_rps", "value_kb", "txn_ops"));
        return today.atMost(new StateLimits(
                today.requestsPerS,
                next.positiveOr("write_rps", today.writesPerS),
                kibibytes(next.positiveOr("value_kb", today.valueBytes / KIBIBYTE)),
                txnOps(next, next.positiveOr("txn_ops", today.txnOps))));
    }

    private static int kibibytes(double amount) {
        return (int) (amount * KIBIBYTE);
    }

    private static int txnOps(Section section, double amount) throws ConfigException {
        if (amount < StateLimits.LEAST_TXN_OPS) {
            throw section.fault("txn_ops", "must be at least " + StateLimits.LEAST_TXN_OPS);
        }
        return (int) amount;
    }

    /** The file that {@link #parse} reads this from; announced limits are written as if they held already. */
    public String toText() {
        Config root = table();
        root.set("node", node);
        root.set("domain", zone);
        root.set("serve_on", listen.toString());
        root.set("cluster_listen", peerListen.toString());
        root.set(
                "peers",
                peers.stream()
                        .map(p -> table("node", p.node, "domain", p.zone, "endpoint", p.endpoint.toString()))
                        .toList());
        root.set("endpoints", table("cloud", cloud.toString(), "state", state.toString()));
        Config settings = table("size", peers.size() + 1, "zones", zones, "skew_ms", (double) clockOff.ms());
        settings.set(
                "teams",
                teams.stream()
                        .map(t -> table(
                                "name",
                                t.name(),
                                "cpus",
                                t.cores(),
                                "cpus_max",
                                t.coresMax(),
                                "gpus",
                                t.gpus(),
                                "gpus_max",
                                t.gpusMax()))
                        .toList());
        settings.set(
                "objectives",
                objectives.stream()
                        .map(o -> table(
                                "kind", o.kind, "class", o.jobClass, "within_s", o.within.seconds(), "share", o.share))
                        .toList());
        settings.set(
                "workers",
                table(
                        "report_s",
                        rules.heartbeatPeriod().seconds(),
                        "lease_s",
                        rules.workerLease().seconds(),
                        "cancel_s",
                        rules.cancellationTime().seconds()));
        settings.set(
                "state",
                table(
                        "rps",
                        stateLimits.requestsPerS,
                        "write_rps",
                        stateLimits.writesPerS,
                        "value_kb",
                        stateLimits.valueBytes / KIBIBYTE,
                        "txn_ops",
                        stateLimits.txnOps));
        settings.set("cloud", table("rps", cloudLimits.requestsPerS, "list_lag_s", cloudLimits.listLag.seconds()));
        settings.set("machine_limits", table("max_connections", maxConnections));
        root.set("settings", settings);
        return new TomlWriter().writeToString(root);
    }

    private static Config table(Object... keysAndValues) {
        Config table = Config.of(LinkedHashMap::new, InMemoryFormat.defaultInstance());
        for (int i = 0; i < keysAndValues.length; i += 2) {
            table.set((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return table;
    }

    /** A table of the file, read with checks that name the field at fault. */
    private record Section(String file, String path, UnmodifiableConfig config) {
        private ConfigException fault(String field, String what) {
            return new ConfigException(file + ": " + (path.isEmpty() ? "" : path + ".") + field + ": " + what);
        }

        Section section(String field) throws ConfigException {
            Object value = config.get(List.of(field));
            if (!(value instanceof UnmodifiableConfig c)) {
                throw fault(field, value == null ? "missing" : "not a table");
            }
            return new Section(file, path.isEmpty() ? field : path + "." + field, c);
        }

        Section optionalSection(String field) throws ConfigException {
            return config.get(List.of(field)) == null ? new Section(file, field, Config.inMemory()) : section(field);
        }

        List<Section> sections(String field) throws ConfigException {
            Object value = config.get(List.of(field));
            List<Section> out = new ArrayList<>();
            if (value == null) {
                return out;
            }
            if (!(value instanceof List<?> list)) {
                throw fault(field, "not a list of tables");
            }
            for (Object o : list) {
                if (!(o instanceof UnmodifiableConfig c)) {
                    throw fault(field, "not a list of tables");
                }
                out.add(new Section(file, (path.isEmpty() ? "" : path + ".") + field + "[" + out.size() + "]", c));
            }
            return out;
        }

        String text(String field) throws ConfigException {
            Object value = config.get(List.of(field));
            if (!(value instanceof String s) || s.isEmpty()) {
                throw fault(field, value == null ? "missing" : "not a text");
            }
            return s;
        }

        List<String> texts(String field) throws ConfigException {
            Object value = config.get(List.of(field));
            if (!(value instanceof List<?> list) || !list.stream().allMatch(o -> o instanceof String)) {
                throw fault(field, value == null ? "missing" : "not a list of texts");
            }
            return list.stream().map(o -> (String) o).toList();
        }

        Endpoint endpoint(String field) throws ConfigException {
            try {
                return Endpoint.parse(text(field));
            } catch (IllegalArgumentException e) {
                throw fault(field, "not an address with a port");
            }
        }

        double amount(String field, double absent) throws ConfigException {
            Object value = config.get(List.of(field));
            if (value == null) {
                return absent;
            }
            if (!(value instanceof Number n) || !Double.isFinite(n.doubleValue()) || n.doubleValue() < 0) {
                throw fault(field, "not a number of at least 0");
            }
            return n.doubleValue();
        }

        double positive(String field) throws ConfigException {
            double value = amount(field, -1);
            if (value <= 0) {
                throw fault(field, value < 0 ? "missing" : "must be above 0");
            }
            return value;
        }

        double positiveOr(String field, double absent) throws ConfigException {
            return config.get(List.of(field)) == null ? absent : positive(field);
        }

        /** A newer platform may say more than this version knows: that is no fault. */
        void warnOfOthers(Set<String> known) {
            config.valueMap().keySet().stream()
                    .filter(field -> !known.contains(field))
                    .forEach(field -> LOG.warn("{}: {}.{}: not known here, and ignored", file, path, field));
        }

        Span span(String field) throws ConfigException {
            return Span.seconds(positive(field));
        }
    }
}
