package io.indigoreach.tools;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** What export runs and tasks do with records: claim, give back, and bill once. */
final class RecordsBilling {
    private RecordsBilling() {}

    @Command(
            name = "claim",
            mixinStandardHelpOptions = true,
            description = "Claims records for an export run, all or none.")
    static final class Claim extends RecordsAction {
        @Option(
                names = "--run",
                required = true,
                description = "the export run: a name used for one claim, and never again")
        private String run;

        @Mixin
        private RecordIds ids;

        @Override
        void ask(Cluster c) throws IOException {
            List<List<String[]>> parts = ids.parts();
            int claimed = 0;
            for (int i = 0; i < parts.size() && !isRefused(); i++) {
                post(
                        c,
                        "claim",
                        MessagePackFormat.map(
                                "run", run, "ids", RecordIds.first(parts.get(i)), "last", i == parts.size() - 1));
                claimed += parts.get(i).size();
            }
            if (!isRefused()) {
                print(MessagePackFormat.map("run", run, "records", claimed), run + " holds " + claimed + " records");
            }
        }
    }

    @Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = "Gives back what was not begun: these records, or without any the whole claim.")
    static final class Release extends RecordsAction {
        @Option(names = "--run", required = true, description = "the export run")
        private String run;

        @Mixin
        private RecordIds ids;

        @Override
        void ask(Cluster c) throws IOException {
            if (ids.lines().isEmpty()) {
                post(c, "release", MessagePackFormat.map("run", run));
                return;
            }
            for (List<String[]> part : ids.parts()) {
                post(c, "release", MessagePackFormat.map("run", run, "ids", RecordIds.first(part)));
            }
        }
    }

    @Command(
            name = "billing",
            mixinStandardHelpOptions = true,
            description =
                    "Before the effect: prints each record with its fence, or with the word billed if it is already.")
    static final class Billing extends RecordsAction {
        @Mixin
        private RecordsBiller holder;

        @Mixin
        private RecordIds ids;

        @Override
        void ask(Cluster c) throws IOException {
            for (List<String[]> part : ids.parts()) {
                Map<String, Object> body = holder.body();
                body.put("ids", RecordIds.first(part));
                Fields f = post(c, "billing", body);
                List<String> billed = f.optionalTexts("billed");
                f.child("fences")
                        .map()
                        .forEach((id, fence) -> print(
                                MessagePackFormat.map("id", id, "fence", fence, "billed", billed.contains(id)),
                                id + " " + (billed.contains(id) ? "billed" : fence)));
            }
        }
    }

    @Command(
            name = "billed",
            mixinStandardHelpOptions = true,
            description = "After the effect: ID=FENCE, or with --file the lines that billing printed.")
    static final class Billed extends RecordsAction {
        @Mixin
        private RecordsBiller holder;

        @Mixin
        private RecordIds ids;

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
}
