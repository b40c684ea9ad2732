package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.net.Fields;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.scenario.TextForm;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Machines that hold an image ahead of its replicas. */
@Command(
        name = "pools",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "VERB",
        description = "Warm pools: machines that hold an image ahead of its replicas, and who pays for them.",
        subcommands = {PoolsVerb.Set.class, PoolsVerb.Show.class, PoolsVerb.Explain.class, PoolsVerb.Pay.class},
        footer = {"", "Example:", "  indigoreach pools set examples/pools/pool.textproto"})
final class PoolsVerb implements Runnable {
    private static final String PATH = "/api/pools";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a verb is missing, such as show");
    }

    private static Fields ask(Cluster.Choice choice, String path, Map<String, Object> body) throws ConfigException {
        try (Cluster c = choice.open()) {
            ServiceResponse r = c.call(body == null ? "GET" : "POST", path, body);
            if (r.isOk()) {
                return r.body();
            }
            String against = r.body().has("against")
                    ? "; it is: " + new JsonObject(r.body().child("against").map()).encode()
                    : "";
            throw new Failure(
                    Tool.WRONG, "refused: " + r.status() + " " + r.body().optionalText("error") + against);
        }
    }

    /** Sets a pool. */
    @Command(name = "set", mixinStandardHelpOptions = true, description = "Sets a pool by a file (check --list pool).")
    static final class Set implements Callable<Integer> {
        @Mixin
        private Cluster.Choice cluster;

        @Option(
                names = "--if-version",
                paramLabel = "N",
                defaultValue = "-1",
                description = "only if the pool is at this version; 0: only if there is none")
        private long version;

        @Parameters(paramLabel = "FILE", description = "a pool (protobuf text format)")
        private Path file;

        @Override
        public Integer call() throws ConfigException {
            PoolFile pool = TextForm.read(file, PoolFile.class);
            Map<String, Object> body = pool.body();
            if (version >= 0) {
                body.put("if_version", version);
            }
            Fields f = ask(cluster, PATH + "/" + pool.name(), body);
            System.out.println(
                    cluster.json
                            ? new JsonObject(f.map()).encode()
                            : "pool " + f.text("name") + " is at version " + f.wholeNumber("version"));
            return Tool.DONE;
        }
    }

    /** Lists the pools. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Lists the pools.")
    static final class Show implements Callable<Integer> {
        @Mixin
        private Cluster.Choice cluster;

        @Override
        public Integer call() throws ConfigException {
            String after = "";
            for (boolean more = true; more; ) {
                Fields f = ask(cluster, PATH + (after.isEmpty() ? "" : "?after=" + after), null);
                for (Fields p : f.children("pools")) {
                    after = p.text("name");
                    System.out.println(
                            cluster.json
                                    ? new JsonObject(p.map()).encode()
                                    : String.format(
                                            Locale.ROOT,
                                            "%-24s %-14s %-24s least %4d most %4d version %d",
                                            after,
                                            p.text("team"),
                                            p.text("image"),
                                            p.wholeNumber("least"),
                                            p.wholeNumber("most"),
                                            p.wholeNumber("version")));
                }
                more = f.flag("more", false);
            }
            return Tool.DONE;
        }
    }

    /** Tells how a pool stands. */
    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = "Tells how many machines a pool wants and has, and why; some seconds old.")
    static final class Explain implements Callable<Integer> {
        @Mixin
        private Cluster.Choice cluster;

        @Parameters(paramLabel = "NAME", description = "the pool's name")
        private String name;

        @Override
        public Integer call() throws ConfigException {
            Fields f = ask(cluster, PATH + "/" + name, null);
            if (cluster.json) {
                System.out.println(new JsonObject(f.map()).encode());
                return Tool.DONE;
            }
            Fields s = f.child("stands");
            System.out.println("wanted     " + s.wholeNumber("target", 0) + " machines: " + s.text("why"));
            System.out.println("has        " + s.wholeNumber("machines", 0) + ", of which " + s.wholeNumber("ready", 0)
                    + " hold " + f.text("image") + " and " + s.wholeNumber("coming", 0) + " boot or fetch it");
            System.out.println("started    " + s.wholeNumber("hits", 0) + " replicas where it was held, "
                    + s.wholeNumber("misses", 0) + " where it was not, since the last change of leader");
            return Tool.DONE;
        }
    }

    /** Tells who pays. */
    @Command(
            name = "pay",
            mixinStandardHelpOptions = true,
            description = {
                "Tells what machines have cost so far, by pool and team;",
                "without a pool: those rented for the queue; without a team: idle ones of those."
            })
    static final class Pay implements Callable<Integer> {
        @Mixin
        private Cluster.Choice cluster;

        @Override
        public Integer call() throws ConfigException {
            double all = 0;
            for (List<?> s : ask(cluster, PATH + "?sums=1", null).lists("sums")) {
                double money = ((Number) s.get(2)).doubleValue();
                all += money;
                System.out.println(
                        cluster.json
                                ? new JsonObject()
                                        .put("pool", s.get(0))
                                        .put("team", s.get(1))
                                        .put("money", money)
                                        .encode()
                                : String.format(Locale.ROOT, "%-24s %-14s %12.4f", s.get(0), s.get(1), money));
            }
            if (!cluster.json) {
                System.out.printf(Locale.ROOT, "%-24s %-14s %12.4f%n", "all", "", all);
            }
            return Tool.DONE;
        }
    }
}
