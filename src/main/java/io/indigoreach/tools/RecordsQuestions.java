package io.indigoreach.tools;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Questions about records; nothing is changed. */
final class RecordsQuestions {
    private RecordsQuestions() {}

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "How records stand; with --job, for whom its tasks wait.")
    static final class Show extends RecordsAction {
        @Option(names = "--job", description = "an open job that names records")
        private String job;

        @Mixin
        private RecordIds ids;

        @Override
        void ask(Cluster c) throws IOException {
            if (job != null) {
                Fields f = get(c, "jobs/" + job);
                print(
                        f.map(),
                        job + " has " + (f.wholeNumber("records") - f.wholeNumber("lacking")) + " of "
                                + f.wholeNumber("records") + " records; it waits for");
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

    @Command(
            name = "holders",
            mixinStandardHelpOptions = true,
            description = "How many records each job, run or person has, by state.")
    static final class Holders extends RecordsAction {
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
            counts.forEach((who, n) -> print(
                    MessagePackFormat.map("holder", who, "records", n), String.format(Locale.ROOT, "%8d  %s", n, who)));
        }
    }

    @Command(
            name = "doubt",
            mixinStandardHelpOptions = true,
            description =
                    "What is in doubt, unknown, or claimed or being billed for over ten minutes; exit code 5 if there is any.")
    static final class Doubt extends RecordsAction {
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

    private static String line(Fields r) {
        return String.format(
                Locale.ROOT,
                "%-40s %-13s %s",
                r.text("id"),
                r.text("state"),
                !r.has("by") ? "" : r.text("by") + " since " + Instant.ofEpochSecond(r.wholeNumber("since_s")));
    }

    private static String query(String group, String after) {
        return "?" + (group == null ? "" : "group=" + group + "&") + (after == null ? "" : "after=" + after);
    }
}
