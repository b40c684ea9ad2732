package io.indigoreach.config;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.InMemoryFormat;
import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import com.electronwill.nightconfig.toml.TomlWriter;
import io.indigoreach.core.Rules;
import io.indigoreach.core.Span;
import io.indigoreach.core.Team;
import io.indigoreach.net.Endpoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

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
        Rules rules,
        StateLimits stateLimits,
        CloudLimits cloudLimits,
        int maxConnections) {
    /** Another controller node. */
    public record Peer(String node, String zone, Endpoint endpoint) {}

    /** What the users expect of a class of jobs. */
    public record Objective(String kind, String jobClass, Span within, double share) {}

    /** The state service's limits. */
    public record StateLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {}

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
        Rules rules = new Rules(
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
                new StateLimits(
                        state.positive("rps"),
                        state.positive("write_rps"),
                        (int) (state.positive("value_kb") * 1024),
                        (int) state.positive("txn_ops")),
                new CloudLimits(cloud.positive("rps"), Span.seconds(cloud.amount("list_lag_s", 0))),
                (int) settings.optionalSection("machine_limits").amount("max_connections", 1000));
    }

    /** The file that {@link #parse} reads this from. */
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
                        rules.report().seconds(),
                        "lease_s",
                        rules.workerLease().seconds(),
                        "cancel_s",
                        rules.cancel().seconds()));
        settings.set(
                "state",
                table(
                        "rps",
                        stateLimits.requestsPerS,
                        "write_rps",
                        stateLimits.writesPerS,
                        "value_kb",
                        stateLimits.valueBytes / 1024.0,
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

        Span span(String field) throws ConfigException {
            return Span.seconds(positive(field));
        }
    }
}
