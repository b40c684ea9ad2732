package io.indigoreach.tools;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenSamples;
import io.indigoreach.calendar.CalendarCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.scenario.TextForm;
import io.indigoreach.state.EraRecordCodec;
import io.indigoreach.state.JobRecordCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the operators' verbs ask a cluster, and what they print of its answers, for people and as JSON. */
class GoldenVerbsTest {
    private record Canned(int status, Map<String, Object> body) {}

    @TempDir
    private Path directory;

    private final Vertx vertx = Vertx.vertx();
    /** Answers by method and path, without the question. */
    private final Map<String, Canned> answers = new HashMap<>();

    private final List<String> asked = Collections.synchronizedList(new ArrayList<>());
    private final GoldenFile golden = new GoldenFile("verbs.txt");
    private String cluster;

    @BeforeEach
    void serve() throws Exception {
        int port = await(vertx.createHttpServer().requestHandler(this::answer).listen(0, "127.0.0.1"))
                .actualPort();
        String at = new Endpoint("127.0.0.1", port).toString();
        cluster = file("cluster", new ClusterFile(List.of(at), at, at, at).toText());
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private void answer(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            asked.add(request.method() + " " + request.uri() + " " + hex(body));
            Canned canned = answers.getOrDefault(
                    request.method() + " " + request.path(),
                    new Canned(404, MessagePackFormat.map("error", "no such path")));
            request.response().setStatusCode(canned.status).end(MessagePackFormat.write(canned.body));
        });
    }

    /** A packed calendar, and when it is asked for, depend on the day and on the version of Java. */
    private static String hex(Buffer body) {
        if (body.length() == 0) {
            return "";
        }
        Map<String, Object> map =
                new LinkedHashMap<>(MessagePackFormat.readMap(body).map());
        map.computeIfPresent("text", (k, v) -> CalendarCodec.unpack((String) v).file());
        return HexFormat.of().formatHex(MessagePackFormat.write(map).getBytes());
    }

    private void when(String methodAndPath, int status, Map<String, Object> body) {
        answers.put(methodAndPath, new Canned(status, body));
    }

    private String still(String text) {
        return text.replace(directory.toString(), "DIR")
                .replaceAll("for \\d+ s", "for N s")
                .replaceAll("\"text\":\"[^\"]*\"", "\"text\":\"PACKED\"")
                .replaceAll("from=\\d{4}-\\d\\d-\\d\\d", "from=TODAY");
    }

    /** Once for people and once as JSON. */
    private void tell(String name, String... line) {
        for (String json : new String[] {"", "--json"}) {
            asked.clear();
            List<String> all = new ArrayList<>(List.of(line));
            all.addAll(List.of("--cluster", cluster));
            if (!json.isEmpty()) {
                all.add(json);
            }
            ToolTest.Told told = ToolTest.tell(all.toArray(new String[0]));
            String as = name + (json.isEmpty() ? "" : " as JSON");
            golden.expectText(as + ", exit code", Integer.toString(told.code()))
                    .expectText(as + ", asked", still(String.join("\n", asked)))
                    .expectText(as + ", output", still(told.out()))
                    .expectText(as + ", errors", still(told.err()));
        }
    }

    private void jobs() throws Exception {
        Map<String, Object> done = MessagePackFormat.map("id", "run-5", "status", "done", "done", 2L, "running", 0L);
        when("POST /upload", 200, Map.of());
        when("POST /api/jobs", 201, MessagePackFormat.map("id", "run-000412", "status", "pending"));
        when("GET /api/jobs/run-5", 200, done);
        when("POST /api/jobs/run-5/cancel", 200, done);
        String job = file(
                "job",
                "id: \"run-000412\" job_class: \"c\" team: \"t\" image: \"i\" tasks: 3 estimate_s: 5 zone: \"a\"\n");
        tell("submit", "submit", job);
        when("POST /api/jobs", 422, MessagePackFormat.map("error", "unknown team t"));
        tell("submit, refused", "submit", job);
        tell("status", "status", "run-5");
        tell("status of no job", "status", "run-6");
        tell("cancel", "cancel", "run-5");
        tell("watch", "watch", "run-5");
        List<Object> items = new ArrayList<>();
        GoldenSamples.jobs().values().stream()
                .limit(2)
                .forEach(spec -> items.add(MessagePackFormat.map(
                        "path",
                        "j/run-00041" + items.size(),
                        "data",
                        JobRecordCodec.writeJob(
                                spec,
                                GoldenSamples.TIME_OF_DAY_MS,
                                JobStatus.RUNNING,
                                BitSet.valueOf(new long[] {5}),
                                3,
                                4),
                        "stamp",
                        9L)));
        when("GET /store", 200, MessagePackFormat.map("items", items, "truncated", false, "ledger_rev", 9L));
        tell("jobs", "jobs");
    }

    private void machines() {
        Map<String, Object> machine = MessagePackFormat.map(
                "id",
                "vm-1",
                "endpoint",
                "h:1",
                "boxkind",
                "quad",
                "hall",
                "a",
                "loaners",
                true,
                "status",
                "running",
                "held_s",
                12.5);
        when("GET /machines", 200, MessagePackFormat.map("boxes", List.of(machine), "truncated", false));
        tell("machines", "machines");
        when(
                "GET /store/leader",
                200,
                entry("leader", MessagePackFormat.map("node", "node-0", "process", "5f", "token", 7_000_001L)));
        when(
                "GET /store",
                200,
                MessagePackFormat.map(
                        "items",
                        List.of(entry(
                                "i/7000001",
                                MessagePackFormat.map(
                                        "rents",
                                        List.of(List.of(
                                                "7000001-1", "quad", "a", true, 50L, GoldenSamples.TIME_OF_DAY_MS)),
                                        "condemned",
                                        List.of("vm-9")))),
                        "truncated",
                        false,
                        "ledger_rev",
                        9L));
        when(
                "GET /store/era",
                200,
                entry(
                        "era",
                        EraRecordCodec.writeEra(
                                new FencingToken(7_000_001),
                                GoldenSamples.TIME_OF_DAY_MS,
                                List.of("era: 0 where 1 was known"),
                                12)));
        tell("duties", "duties");
        when("GET /store/leader", 404, MessagePackFormat.map("ledger_rev", 9L));
        when("GET /store/era", 404, MessagePackFormat.map("ledger_rev", 9L));
        tell("duties of nobody", "duties");
    }

    private static Map<String, Object> entry(String key, Map<String, Object> value) {
        return MessagePackFormat.map("path", key, "data", value, "stamp", 9L);
    }

    private void calendars() throws Exception {
        String form = Files.readString(Path.of("examples", "calendar", "depots.textproto"));
        String text = CalendarCodec.pack(new CalendarCodec.Stored(
                new Calendar(4, List.of(), List.of(), List.of(), List.of()), Register.EMPTY, "# a file\n"));
        when(
                "GET /api/calendar",
                200,
                MessagePackFormat.map(
                        "version",
                        3L,
                        "text",
                        text,
                        "history",
                        List.of(MessagePackFormat.map(
                                "version", 3L, "at", GoldenSamples.TIME_OF_DAY_MS, "note", "Onam's dates"))));
        String file = file("calendar", form);
        when("POST /api/calendar", 200, MessagePackFormat.map("version", 4L));
        tell("calendar set", "calendar", "set", file, "--note", "a note");
        when(
                "POST /api/calendar",
                409,
                MessagePackFormat.map(
                        "error",
                        "another version is in force",
                        "against",
                        MessagePackFormat.map("version", 9L, "at", GoldenSamples.TIME_OF_DAY_MS, "note", "by others")));
        tell("calendar set, another is in force", "calendar", "set", file, "--base", "2");
        when("POST /api/calendar", 422, MessagePackFormat.map("error", "text: why", "field", "text"));
        tell("calendar set, refused", "calendar", "set", file);
        tell("calendar show", "calendar", "show");
        tell("calendar file", "calendar", "show", "--file");
        Map<String, Object> next = MessagePackFormat.map(
                "plan",
                "kochi",
                "day",
                "2027-08-24",
                "kind",
                "runs",
                "departs",
                GoldenSamples.TIME_OF_DAY_MS,
                "departs_local",
                "2027-08-24T04:30+05:30",
                "tasks",
                8L,
                "reason",
                "",
                "id",
                "run-900000102105500");
        when(
                "GET /api/calendar/next",
                200,
                MessagePackFormat.map("version", 3L, "occurrences", List.of(next), "more", null));
        tell("calendar next", "calendar", "next", "--days", "3", "--plan", "kochi");
        Map<String, Object> late = new LinkedHashMap<>(next);
        late.putAll(MessagePackFormat.map(
                "verdict",
                "late",
                "late_s",
                600.0,
                "why",
                "too few cores",
                "mend",
                "4 more cores",
                "latest_start",
                GoldenSamples.TIME_OF_DAY_MS,
                "needed_s",
                1200.5,
                "alone_s",
                300.0,
                "state",
                "chosen",
                "decided_by",
                3L,
                "since",
                GoldenSamples.TIME_OF_DAY_MS,
                "note",
                ""));
        when(
                "GET /api/calendar/outlook",
                200,
                MessagePackFormat.map(
                        "version",
                        3L,
                        "bad",
                        1L,
                        "unknown",
                        List.of("p@2028-01-01: no year"),
                        "occurrences",
                        List.of(late)));
        tell("calendar outlook", "calendar", "outlook");
        when("GET /api/calendar/explain/kochi/2027-08-24", 200, late);
        tell("calendar explain", "calendar", "explain", "kochi@2027-08-24");
        tell("calendar explain, nothing there", "calendar", "explain", "kochi@2027-08-25");
    }

    private void pools() throws Exception {
        Map<String, Object> row = MessagePackFormat.map(
                "name", "model-a", "team", "vision", "image", "img-07", "least", 2L, "most", 40L, "version", 3L);
        when("POST /api/pools/models", 200, MessagePackFormat.map("name", "models", "version", 4L));
        String pool = file("pool", """
                name: "models" team: "vision" image: "img-07" image_gb: 6.2 cores: 2 machine_type: "quad" least: 2
                most: 40 window { from: "08:30" to: "10:00" replicas: 12.5 }
                """);
        tell("pools set", "pools", "set", pool, "--if-version", "3");
        when(
                "POST /api/pools/models",
                409,
                MessagePackFormat.map(
                        "error",
                        "the pool was changed: it is at version 5",
                        "against",
                        MessagePackFormat.map("team", "vision")));
        tell("pools set, changed", "pools", "set", pool);
        when("GET /api/pools", 200, MessagePackFormat.map("pools", List.of(row), "more", false));
        tell("pools show", "pools", "show");
        Map<String, Object> stands = MessagePackFormat.map(
                "target",
                12L,
                "why",
                "two bursts",
                "machines",
                10L,
                "ready",
                8L,
                "coming",
                2L,
                "hits",
                300L,
                "misses",
                4L,
                "lost_per_hour",
                0.125);
        Map<String, Object> explained = new LinkedHashMap<>(row);
        explained.put("stands", stands);
        when("GET /api/pools/model-a", 200, explained);
        tell("pools explain", "pools", "explain", "model-a");
        when(
                "GET /api/pools",
                200,
                MessagePackFormat.map(
                        "sums", List.of(List.of("model-a", "vision", 1.25), List.of("", "", 0.5)), "machines", 2L));
        tell("pools pay", "pools", "pay");
    }

    private void records() {
        when("POST /api/records/begin", 200, MessagePackFormat.map("fences", Map.of(), "billed", List.of()));
        when("POST /api/records/compared", 200, MessagePackFormat.map("fences", Map.of(), "billed", List.of()));
        Map<String, Object> done = MessagePackFormat.map(
                "fences", MessagePackFormat.map("a/1", 917L, "a/2", 918L), "billed", List.of("a/2"));
        for (String what : List.of("claim", "release", "billing", "billed", "resolve")) {
            when("POST /api/records/" + what, 200, done);
        }
        tell("records begin", "records", "begin", "--by", "anna", "--reason", "first day");
        tell("records compared", "records", "compared", "--by", "anna", "--reason", "books");
        tell("records claim", "records", "claim", "--run", "e1", "a/1", "a/2");
        tell("records claim of a range", "records", "claim", "--run", "e1", "--range", "a/", "1", "3");
        tell("records release", "records", "release", "--run", "e1");
        tell("records release of some", "records", "release", "--run", "e1", "a/1");
        tell("records billing", "records", "billing", "--run", "e1", "--attempt", "2", "a/1", "a/2");
        tell("records billing of a task", "records", "billing", "--job", "run-1", "--task", "3", "a/1");
        tell("records billed", "records", "billed", "--run", "e1", "a/1=917");
        tell("records billed without a fence", "records", "billed", "--run", "e1", "a/1");
        tell("records resolve", "records", "resolve", "--as", "doubt", "--by", "anna", "--reason", "x", "a/1");
        Map<String, Object> row = MessagePackFormat.map(
                "id", "a/1", "state", "billing", "by", "e1", "since_s", 1_700_000_000L, "fence", 917L, "attempt", 2L);
        when(
                "GET /api/records/show",
                200,
                MessagePackFormat.map("records", List.of(row, MessagePackFormat.map("id", "a/2", "state", "free"))));
        when("GET /api/records/doubt", 200, MessagePackFormat.map("records", List.of(row), "after", null));
        when(
                "GET /api/records/holders",
                200,
                MessagePackFormat.map(
                        "holders", MessagePackFormat.map("e1 billing", 2L, "e2 billed", 1L), "after", null));
        when(
                "GET /api/records/jobs/run-1",
                200,
                MessagePackFormat.map("id", "run-1", "records", 3L, "lacking", 1L, "waits_for", List.of(row)));
        tell("records show", "records", "show", "a/1", "a/2");
        tell("records show of a job", "records", "show", "--job", "run-1");
        tell("records doubt", "records", "doubt", "--group", "a");
        tell("records holders", "records", "holders");
        when(
                "POST /api/records/claim",
                409,
                MessagePackFormat.map(
                        "fences",
                        Map.of(),
                        "billed",
                        List.of(),
                        "error",
                        "a/1 is billed by e2",
                        "against",
                        List.of("a/1 is billed by e2")));
        tell("records claim, another has it", "records", "claim", "--run", "e1", "a/1");
        when("POST /api/records/claim", 400, MessagePackFormat.map("error", "invalid field run"));
        tell("records claim, malformed", "records", "claim", "--run", "run-1", "a/1");
    }

    @Test
    void whatVerbsAskAndPrint() throws Exception {
        jobs();
        machines();
        calendars();
        pools();
        records();
        golden.verify();
    }

    private static final Map<String, Class<? extends Record>> FORMS = new LinkedHashMap<>();

    static {
        FORMS.put("scenario", io.indigoreach.scenario.Scenario.class);
        FORMS.put("job", io.indigoreach.scenario.JobFile.class);
        FORMS.put("cluster", ClusterFile.class);
        FORMS.put("pool", PoolFile.class);
        FORMS.put("calendar", CalendarFile.class);
    }

    /** A good file of each form, changed in one place. */
    private static void wrong(GoldenFile golden, String form, String good, String... changes) {
        for (int i = 0; i < changes.length; i += 2) {
            String text = good.replace(changes[i], changes[i + 1]);
            golden.expectText(
                    "wrong " + form + ": " + changes[i] + " -> " + changes[i + 1],
                    GoldenFile.failureMessage(() -> TextForm.parse("f", text, FORMS.get(form))));
        }
    }

    @Test
    void filesAndWhatIsToldOfThem() throws ConfigException, IOException {
        GoldenFile forms = new GoldenFile("forms.txt");
        FORMS.forEach((name, form) -> forms.expectText("fields of " + name, String.join("\n", TextForm.fields(form))));
        String scenario = Files.readString(Path.of("examples", "emulate.textproto"));
        String job = Files.readString(Path.of("examples", "jobs", "refill-routes.textproto"));
        String pool = Files.readString(Path.of("examples", "pools", "pool.textproto"));
        String calendar = Files.readString(Path.of("examples", "calendar", "depots.textproto"));
        wrong(forms, "job", job, "job_class:", "jobclass:", "team:", "# team:", "tasks: ", "tasks: -");
        wrong(
                forms,
                "job",
                "job_class: \"c\"\nteam: \"t\"\nimage: \"i\"\nshape: array",
                "\"c\"",
                "3",
                "array",
                "round",
                "\nshape: array",
                "\ntasks: 0",
                "\nimage: \"i\"",
                "",
                "\"t\"",
                "\"t");
        wrong(forms, "cluster", "node: \"h:1\"\nstate: \"\"", "node: \"h:1\"", "", "h:1", "h", "state", "status");
        wrong(forms, "scenario", scenario, "controllers:", "nodes:", "zones:", "# zones:");
        wrong(forms, "scenario", "name: \"x\"\nlength_s: 5", "length_s: 5", "length_s: -1", "x\"", "x");
        wrong(forms, "pool", pool, "most:", "# most:", "image_gb:", "gb:");
        wrong(forms, "calendar", calendar, "depot {", "depo {", "zone:", "# zone:");
        forms.expectText("cluster, written", new ClusterFile(List.of("h:1", "h:2"), "s:1", "c:1", "d:1").toText());
        PoolFile read = TextForm.parse("f", pool, PoolFile.class);
        forms.expectEncoded("pool, as sent", read.body());
        forms.expectText(
                "settings, listed", ToolTest.tell("check", "--list", "settings").out());
        forms.verify();
    }
}
