package io.indigoreach.tools;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** What a person decides about records, with a name and a reason. */
final class RecordsDecisions {
    private RecordsDecisions() {}

    @Command(
            name = "begin",
            mixinStandardHelpOptions = true,
            description = "Begins the registry, once: until then nothing is free.")
    static final class Begin extends RecordsAction {
        @Mixin
        private RecordsAuthor person;

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
    static final class Compared extends RecordsAction {
        @Mixin
        private RecordsAuthor person;

        @Override
        void ask(Cluster c) {
            post(c, "compared", person.body());
        }
    }

    @Command(
            name = "resolve",
            mixinStandardHelpOptions = true,
            description = "Says how records stand. What was begun is put in doubt first, then compared with the books.")
    static final class Resolve extends RecordsAction {
        @Option(names = "--as", required = true, description = "doubt, free or billed")
        private String as;

        @Mixin
        private RecordsAuthor person;

        @Mixin
        private RecordIds ids;

        @Override
        void ask(Cluster c) throws IOException {
            for (List<String[]> part : ids.parts()) {
                Map<String, Object> body = person.body();
                body.put("as", as);
                body.put("ids", RecordIds.first(part));
                Fields f = post(c, "resolve", body);
                f.child("fences")
                        .map()
                        .forEach((id, fence) ->
                                print(MessagePackFormat.map("id", id, "fence", fence), id + " " + fence));
            }
        }
    }
}
