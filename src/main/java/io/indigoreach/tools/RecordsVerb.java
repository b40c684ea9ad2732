package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.core.ownership.RecordId;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Reply;
import io.indigoreach.net.Wire;
import io.indigoreach.ownership.OwnershipPart;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The registry of records, for people and for exports' scripts. */
@Command(
        name = "records",
        mixinStandardHelpOptions = true,
        description = "Who may bill which record: one at any time.",
        synopsisSubcommandLabel = "WHAT",
        subcommands = {
            RecordsVerb.Begin.class,
            RecordsVerb.Compared.class,
            RecordsVerb.Claim.class,
            RecordsVerb.Release.class,
            RecordsVerb.Billing.class,
            RecordsVerb.Billed.class,
            RecordsVerb.Show.class,
            RecordsVerb.Holders.class,
            RecordsVerb.Doubt.class,
            RecordsVerb.Resolve.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, or done before under the same name",
            "1:malformed, or refused for good",
            "2:a wrong command line",
            "4:not decided in time: say the same again",
            "5:refused: another has it, it was replaced, or it is in doubt"
        },
        footer = {
            "",
            "Example:",
            "  indigoreach records claim --run export-0412 --file ids.txt && \\",
            "  indigoreach records billing --run export-0412 --file ids.txt > fences.txt"
        })
final class RecordsVerb implements Runnable {
    private static final String PATH = "/api/records/";
    /** A request takes 400; fences are longer than ids. */
    private static final int AT_ONCE = 300;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "say what: such as claim, billing or show");
    }

    /** What all of them share. */
    private abstract static class Verb implements Callable<Integer> {
        @Mixin
        Cluster.Choice cluster;

        private int code = Tool.DONE;

        @Override
        public final Integer call() throws ConfigException, IOException {
            try (Cluster c = cluster.open()) {
                ask(c);
            }
            return code;
        }

        abstract void ask(Cluster c) throws IOException;

        /** The answer; a conflict is told and remembered as the exit code. */
        Fields post(Cluster c, String what, Map<String, Object> body) {
            return told(c.call("POST", PATH + what, body));
        }

        Fields get(Cluster c, String path) {
            return told(c.call("GET", PATH + path, null));
        }

        private Fields told(Reply r) {
            if (r.status() == 409) {
                r.body().optionalTexts("against").forEach(line -> System.err.println("indigoreach: " + line));
                code = Tool.REFUSED;
            } else if (!r.isOk()) {
                throw new Failure(Tool.WRONG, r.body().optionalText("error"));
            }
            return r.body();
        }

        boolean isRefused() {
            return code != Tool.DONE;
        }

        void refuse() {
            code = Tool.REFUSED;
        }

        void print(Map<String, Object> map, String line) {
            System.out.println(cluster.json ? new JsonObject(map).encode() : line);
        }
    }

    /** Who says so, and why. */
    private static final class Person {
        @Option(names = "--by", required = true, description = "who says so")
        String by;

        @Option(names = "--reason", required = true, description = "why, up to 120 characters; stays with the record")
        String reason;

        Map<String, Object> body() {
            return Wire.map("by", by, "reason", reason);
        }
    }

    /** Ids from the command line, from a file, or a range. */
    private static final class Ids {
        @Parameters(arity = "0..*", paramLabel = "ID", description = "records")
        private List<String> ids = new ArrayList<>();

        @Option(names = "--file", description = "a record a line, as first word; - is standard input")
        private Path file;

        @Option(
                names = "--range",
                arity = "3",
                paramLabel = "PREFIX FROM TO",
                description = "PREFIXn for these numbers",
                hideParamSyntax = true)
        private List<String> range;

        /** Lines cut at spaces. */
        List<String[]> lines() throws IOException {
            List<String[]> lines = new ArrayList<>();
            ids.forEach(id -> lines.add(id.split("=")));
            if (range != null) {
                for (long n = Long.parseLong(range.get(1)); n <= Long.parseLong(range.get(2)); n++) {
                    lines.add(new String[] {range.get(0) + n});
                }
            }
            if (file != null) {
                List<String> read = file.toString().equals("-")
                        ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                                .lines()
                                .toList()
                        : Files.readAllLines(file);
                read.stream()
                        .filter(l -> !l.isBlank())
                        .forEach(l -> lines.add(l.trim().split("\\s+")));
            }
            return lines;
        }

        /** Parts that a request takes, in the order of the registry's pages. */
        List<List<String[]>> parts() throws IOException {
            List<String[]> all = lines();
            if (all.isEmpty()) {
                throw new Failure(Tool.USAGE, "no records: name them, or --file, or --range");
            }
            Comparator<RecordId> order = OwnershipPart.registry().order();
            all.stream().filter(l -> !RecordId.isValid(l[0])).findFirst().ifPresent(l -> {
                throw new Failure(Tool.WRONG, l[0] + ": not a record's id");
            });
            all.sort((a, b) -> order.compare(new RecordId(a[0]), new RecordId(b[0])));
            List<List<String[]>> parts = new ArrayList<>();
            for (int from = 0; from < all.size(); from += AT_ONCE) {
                parts.add(all.subList(from, Math.min(all.size(), from + AT_ONCE)));
            }
            return parts;
        }

        private static List<Object> first(List<String[]> lines) {
            return new ArrayList<>(lines.stream().map(l -> l[0]).toList());
        }
    }

    /** An export run, or a job's task. */
    private static final class Holder {
        @Option(names = "--run", description = "the export run: a name used for one claim, and never again")
        private String run;

        @Option(names = "--job", description = "the job, with --task")
        private String job;

        @Option(names = "--task", description = "the task's number")
        private Long task;

        @Option(
                names = "--attempt",
                defaultValue = "0",
                description = "raised by a run or task that was begun again (default 0)")
        private long attempt;

        Map<String, Object> body() {
            return Wire.map("run", run, "job", job, "task", task, "attempt", attempt);
        }
    }

    @Command(
            name = "begin",
            mixinStandardHelpOptions = true,
            description = "Begins the registry, once: until then nothing is free.")
    static final class Begin extends Verb {
        @Mixin
        private Person person;

        @Override
        void ask(Cluster c) {
            post(c, "begin", person.body());
        }
    }

    @Command(
            name = "compared",
            mixinStandardHelpOptions = true,
            description =
                    "After lost data: says that the registry was compared with the books, so that what it lacks is free.")
    static final class Compared extends Verb {
        @Mixin
        private Person person;

        @Override
        void ask(Cluster c) {
            post(c, "compared", person.body());
        }
    }

    @Command(
            name = "claim",
            mixinStandardHelpOptions = true,
            description = "Claims records for an export run, all or none.")
    static final class Claim extends Verb {
        @Option(
                names = "--run",
                required = true,
                description = "the export run: a name used for one claim, and never again")
        private String run;

        @Mixin
        private Ids ids;

        @Override
        void ask(Cluster c) throws IOException {
            List<List<String[]>> parts = ids.parts();
            int claimed = 0;
            for (int i = 0; i < parts.size() && !isRefused(); i++) {
                post(c, "claim", Wire.map("run", run, "ids", Ids.first(parts.get(i)), "last", i == parts.size() - 1));
                claimed += parts.get(i).size();
            }
            if (!isRefused()) {
                print(Wire.map("run", run, "records", claimed), run + " holds " + claimed + " records");
            }
        }
    }

    @Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = "Gives back what was not begun: these records, or without any the whole claim.")
    static final class Release extends Verb {
        @Option(names = "--run", required = true, description = "the export run")
        private String run;

        @Mixin
        private Ids ids;

        @Override
        void ask(Cluster c) throws IOException {
            if (ids.lines().isEmpty()) {
                post(c, "release", Wire.map("run", run));
                return;
            }
            for (List<String[]> part : ids.parts()) {
                post(c, "release", Wire.map("run", run, "ids", Ids.first(part)));
            }
        }
    }

    @Command(
            name = "billing",
            mixinStandardHelpOptions = true,
            description =
                    "Before the effect: prints each record with its fence, or with the word billed if it is already.")
    static final class Billing extends Verb {
        @Mixin
        private Holder holder;

        @Mixin
        private Ids ids;

        @Override
        void ask(Cluster c) throws IOException {
            for (List<String[]> part : ids.parts()) {
                Map<String, Object> body = holder.body();
                body.put("ids", Ids.first(part));
                Fields f = post(c, "billing", body);
                List<String> billed = f.optionalTexts("billed");
                f.child("fences")
                        .map()
                        .forEach((id, fence) -> print(
                                Wire.map("id", id, "fence", fence, "billed", billed.contains(id)),
                                id + " " + (billed.contains(id) ? "billed" : fence)));
            }
        }
    }

    @Command(
            name = "billed",
            mixinStandardHelpOptions = true,
            description = "After the effect: ID=FENCE, or with --file the lines that billing printed.")
    static final class Billed extends Verb {
        @Mixin
        private Holder holder;

        @Mixin
        private Ids ids;

        @Override
        void ask(Cluster c) throws IOException {
            for (List<String[]> part : ids.parts()) {
                Map<String, Object> fences = new LinkedHashMap<>();
                for (String[] line : part) {
                    if (line.length < 2 || !line[1].matches("\\d{1,18}|billed")) {
                        throw new Failure(Tool.USAGE, line[0] + ": its fence is missing, as records billing told it");
                    }
                    if (!line[1].equals("billed")) {
                        fences.put(line[0], Long.parseLong(line[1]));
                    }
                }
                if (!fences.isEmpty()) {
                    Map<String, Object> body = holder.body();
                    body.put("fences", fences);
                    post(c, "billed", body);
                }
            }
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "How records stand; with --job, for whom its tasks wait.")
    static final class Show extends Verb {
        @Option(names = "--job", description = "an open job that names records")
        private String job;

        @Mixin
        private Ids ids;

        @Override
        void ask(Cluster c) throws IOException {
            if (job != null) {
                Fields f = get(c, "jobs/" + job);
                print(
                        f.map(),
                        job + " has " + (f.whole("records") - f.whole("lacking")) + " of " + f.whole("records")
                                + " records; it waits for");
                if (!cluster.json) {
                    f.children("waits_for").forEach(r -> print(r.map(), line(r)));
                }
                return;
            }
            for (List<String[]> part : ids.parts()) {
                for (int from = 0; from < part.size(); from += 12) {
                    String some = String.join(
                            ",",
                            part.subList(from, Math.min(part.size(), from + 12)).stream()
                                    .map(l -> l[0])
                                    .toList());
                    get(c, "show?id=" + some).children("records").forEach(r -> print(r.map(), line(r)));
                }
            }
        }
    }

    private static String line(Fields r) {
        return String.format(
                Locale.ROOT,
                "%-40s %-13s %s",
                r.text("id"),
                r.text("state"),
                !r.has("by") ? "" : r.text("by") + " since " + Instant.ofEpochSecond(r.whole("since_s")));
    }

    @Command(
            name = "holders",
            mixinStandardHelpOptions = true,
            description = "How many records each job, run or person has, by state.")
    static final class Holders extends Verb {
        @Option(names = "--group", description = "only of this group")
        private String group;

        @Override
        void ask(Cluster c) {
            Map<String, Long> counts = new TreeMap<>();
            String after = null;
            do {
                Fields f = get(c, "holders" + query(group, after));
                f.child("holders").map().forEach((k, n) -> counts.merge(k, (Long) n, Long::sum));
                after = f.optionalText("after");
            } while (after != null);
            counts.forEach((who, n) ->
                    print(Wire.map("holder", who, "records", n), String.format(Locale.ROOT, "%8d  %s", n, who)));
        }
    }

    private static String query(String group, String after) {
        return "?" + (group == null ? "" : "group=" + group + "&") + (after == null ? "" : "after=" + after);
    }

    @Command(
            name = "doubt",
            mixinStandardHelpOptions = true,
            description =
                    "What is in doubt, unknown, or claimed or being billed for over ten minutes; exit code 5 if there is any.")
    static final class Doubt extends Verb {
        @Option(names = "--group", description = "only of this group")
        private String group;

        @Override
        void ask(Cluster c) {
            String after = null;
            do {
                Fields f = get(c, "doubt" + query(group, after));
                f.children("records").forEach(r -> {
                    refuse();
                    print(r.map(), line(r));
                });
                after = f.optionalText("after");
            } while (after != null);
        }
    }

    @Command(
            name = "resolve",
            mixinStandardHelpOptions = true,
            description = "Says how records stand. What was begun is put in doubt first, then compared with the books.")
    static final class Resolve extends Verb {
        @Option(names = "--as", required = true, description = "doubt, free or billed")
        private String as;

        @Mixin
        private Person person;

        @Mixin
        private Ids ids;

        @Override
        void ask(Cluster c) throws IOException {
            for (List<String[]> part : ids.parts()) {
                Map<String, Object> body = person.body();
                body.put("as", as);
                body.put("ids", Ids.first(part));
                Fields f = post(c, "resolve", body);
                f.child("fences")
                        .map()
                        .forEach((id, fence) -> print(Wire.map("id", id, "fence", fence), id + " " + fence));
            }
        }
    }
}
