package io.indigoreach.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenHttp;
import io.indigoreach.GoldenSamples;
import io.indigoreach.api.HttpApi;
import io.indigoreach.cluster.PartRegistry;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.ownership.Beginning;
import io.indigoreach.core.ownership.Edit;
import io.indigoreach.core.ownership.Ending;
import io.indigoreach.core.ownership.Entry;
import io.indigoreach.core.ownership.Grant;
import io.indigoreach.core.ownership.JobRecords;
import io.indigoreach.core.ownership.Outcome;
import io.indigoreach.core.ownership.RecordId;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.ownership.Shown;
import io.indigoreach.core.ownership.Take;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Who may bill which record: the records that say so, people's words, and what they are answered. */
class GoldenOwnershipTest {
    private static final Set<String> OF_THE_MOMENT = Set.of("fence", "fences", "since_s");
    private static final long ERA = 7_000_001;

    /** What a part's routines have written, at times that are the same in every run. */
    private static final class Store {
        private final TreeMap<String, VersionedRecord> records = new TreeMap<>();
        private long now = GoldenSamples.TIME_OF_DAY_MS;
        private long revision = 10;

        <R> R run(Routine<R> routine) {
            StepResult seen = StepResult.nothing(ERA, now);
            while (true) {
                Step<R> next = routine.next(seen);
                now += 1000;
                if (next instanceof Step.End<R> end) {
                    return end.result();
                }
                Map<String, VersionedRecord> found = new LinkedHashMap<>();
                Revision written = null;
                if (next instanceof Step.Read<R> read) {
                    read.keys().forEach(k -> found.put(k, records.getOrDefault(k, VersionedRecord.absent(k))));
                } else if (next instanceof Step.Scan<R> scan) {
                    records.tailMap(scan.prefix()).forEach((k, v) -> {
                        if (k.startsWith(scan.prefix())) {
                            found.put(k, v);
                        }
                    });
                } else if (next instanceof Step.Write<R> write) {
                    written = commit(write.change());
                }
                seen = new StepResult(ERA, now, found, false, written, List.of());
            }
        }

        Revision commit(Transaction change) {
            Revision stamp = new Revision(++revision);
            change.writes().forEach((key, value) -> {
                if (value == null) {
                    records.remove(key);
                } else {
                    records.put(key, new VersionedRecord(key, value, stamp));
                }
            });
            return stamp;
        }
    }

    private static List<RecordId> ids(String... texts) {
        return Arrays.stream(texts).map(RecordId::new).toList();
    }

    private void kept(GoldenFile golden, String after, Store store) {
        golden.expectText("keys " + after, String.join(" ", store.records.keySet()));
        store.records.forEach((key, record) -> golden.expectEncoded(after + ", " + key, record.value()));
    }

    /** Each of them reads what those before it have written, so what is written is read too. */
    @Test
    void whatIsKept() {
        GoldenFile golden = new GoldenFile("ownership-records.txt");
        Store store = new Store();
        Registry registry = OwnershipPart.registry();
        store.run(new Beginning(true, "anna: first day"));
        kept(golden, "begun", store);
        store.run(new Take(registry, 12, "export-1", ids("a/1", "a/2", "b/1"), true));
        kept(golden, "claimed", store);
        store.run(Edit.billing(registry, 12, "export-1", "", 2, ids("a/1", "a/2")));
        kept(golden, "billing", store);
        Map<RecordId, Long> fences = new LinkedHashMap<>();
        Map<RecordId, Shown> shown = store.run(Edit.show(registry, ids("a/1")));
        shown.forEach((id, s) -> fences.put(id, s.fence()));
        store.run(Edit.billed(registry, 12, "export-1", "", 2, fences));
        kept(golden, "billed", store);
        store.run(Edit.resolve(registry, 12, Entry.State.DOUBT, "anna: gone", ids("a/2")));
        kept(golden, "in doubt", store);
        store.run(Edit.resolve(registry, 12, Entry.State.FREE, "anna: line 4711", ids("a/2")));
        kept(golden, "free again", store);
        store.run(new Ending("export-1"));
        kept(golden, "ended", store);
        JobRecords records = new JobRecords(ids("a/2", "c/1"), 2);
        Grant.Given given = store.run(new Grant(registry, 12, "run-1", records, new BitSet(), true));
        kept(golden, "prepared for a job", store);
        store.commit(given.commit());
        kept(golden, "accepted with a job", store);
        Registry another = OwnershipPart.registry();
        Map<RecordId, Shown> read = store.run(Edit.show(another, ids("a/1", "a/2", "b/1", "c/1", "d/1")));
        read.forEach((id, s) -> golden.expectEncoded("shown " + id, RecordsCodec.write(id, s)));
        golden.verify();
    }

    private static String told(Fields f, Function<Fields, Object> reader) {
        return String.valueOf(reader.apply(f));
    }

    private static String one(String name, Object value) {
        return name + "=" + value;
    }

    @Test
    void whatPeopleSay() {
        GoldenFile golden = new GoldenFile("ownership-words.txt");
        golden.expectText(
                        "list",
                        told(
                                new Fields(MessagePackFormat.map("ids", List.of("a/1", "b"))),
                                f -> RecordsCodec.ids(f, 400)))
                .expectText(
                        "range",
                        told(
                                new Fields(MessagePackFormat.map("prefix", "KL-1/farm-", "from", 9L, "to", 11L)),
                                f -> RecordsCodec.ids(f, 400)))
                .expectText("run", RecordsCodec.run(new Fields(MessagePackFormat.map("run", "export-1"))))
                .expectText("task", holder(MessagePackFormat.map("job", "run-1", "task", 3L, "attempt", 2L)))
                .expectText("export", holder(MessagePackFormat.map("run", "export-1")))
                .expectText(
                        "fences",
                        RecordsCodec.fences(new Fields(
                                        MessagePackFormat.map("fences", MessagePackFormat.map("a/1", 7L, "a/2", 8L))))
                                .toString())
                .expectText(
                        "reason",
                        RecordsCodec.reason(new Fields(MessagePackFormat.map("by", "anna", "reason", " why "))));
        assertEquals(
                List.of(Entry.State.FREE, Entry.State.BILLED, Entry.State.DOUBT),
                Stream.of("free", "billed", "doubt")
                        .map(as -> RecordsCodec.state(new Fields(MessagePackFormat.map("as", as))))
                        .toList());
        golden.expectRejected("no ids", Map.of(), f -> RecordsCodec.ids(f, 400))
                .expectRejected(
                        "too many ids", MessagePackFormat.map("ids", List.of("a", "b")), f -> RecordsCodec.ids(f, 1))
                .expectRejected(
                        "malformed id", MessagePackFormat.map("ids", List.of("a//b")), f -> RecordsCodec.ids(f, 400))
                .expectRejected(
                        "id twice", MessagePackFormat.map("ids", List.of("a", "a")), f -> RecordsCodec.ids(f, 400))
                .expectRejected(
                        "range backwards",
                        MessagePackFormat.map("prefix", "a/", "from", 2L, "to", 1L),
                        f -> RecordsCodec.ids(f, 400))
                .expectRejected("job's name for a run", MessagePackFormat.map("run", "run-1"), RecordsCodec::run)
                .expectRejected("malformed job", MessagePackFormat.map("job", "1", "task", 1L), RecordsCodec::holder)
                .expectRejected(
                        "negative task", MessagePackFormat.map("job", "run-1", "task", -1L), RecordsCodec::holder)
                .expectRejected(
                        "negative attempt", MessagePackFormat.map("run", "e", "attempt", -1L), RecordsCodec::holder)
                .expectRejected("no fences", MessagePackFormat.map("fences", Map.of()), RecordsCodec::fences)
                .expectRejected(
                        "malformed author", MessagePackFormat.map("by", "an na", "reason", "why"), RecordsCodec::reason)
                .expectRejected("no reason", MessagePackFormat.map("by", "anna", "reason", " "), RecordsCodec::reason)
                .expectRejected(
                        "reason with quotes", MessagePackFormat.map("by", "anna", "reason", "\""), RecordsCodec::reason)
                .expectRejected("another state", MessagePackFormat.map("as", "gone"), RecordsCodec::state);
        Map<RecordId, Entry> done = new LinkedHashMap<>();
        for (Entry.State s : Entry.State.values()) {
            done.put(new RecordId("a/" + s.ordinal()), new Entry(s, 900 + s.ordinal(), "export-1", "", 2, 5));
        }
        golden.expectEncoded("outcome", RecordsCodec.write(new Outcome(done, List.of(), false)))
                .expectEncoded(
                        "outcome against others",
                        RecordsCodec.write(new Outcome(Map.of(), List.of("a/1 is billed by x", "and b"), false)))
                .expectEncoded(
                        "shown",
                        RecordsCodec.write(
                                new RecordId("a/1"),
                                new Shown("billing", "run-1/3", 917, 2, GoldenSamples.TIME_OF_DAY_MS)))
                .expectEncoded("shown as free", RecordsCodec.write(new RecordId("a/2"), new Shown("free", "", 0, 0, 0)))
                .expectText(
                        "records of a job",
                        RecordsCodec.readField(GoldenSamples.jobs().get("with records"))
                                .list()
                                .toString())
                .expectText(
                        "records of a service",
                        GoldenFile.failureMessage(() -> RecordsCodec.readField(GoldenSamples.fullJob(1, Urgency.HIGH)
                                .with("records", MessagePackFormat.map("ids", List.of("a"))))));
        golden.verify();
    }

    private static String holder(Map<String, Object> words) {
        RecordsCodec.Holder h = RecordsCodec.holder(new Fields(words));
        return String.join(" ", one("name", h.name()), one("task", h.task()), one("attempt", h.attempt()));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static String post(Endpoint node, String what, Object... body) throws Exception {
        return GoldenHttp.exchange(
                node,
                "POST",
                "/api/records/" + what,
                MessagePackFormat.write(MessagePackFormat.map(body)).getBytes(),
                OF_THE_MOMENT);
    }

    private static String get(Endpoint node, String what) throws Exception {
        return GoldenHttp.exchange(node, "GET", "/api/records/" + what, new byte[0], OF_THE_MOMENT);
    }

    private static PlatformConfig config() {
        return new PlatformConfig(
                "a",
                "z",
                null,
                null,
                List.of(),
                null,
                null,
                List.of("z"),
                Span.ZERO,
                List.of(),
                List.of(),
                null,
                new PlatformConfig.StateLimits(1000, 1000, 8192, 12),
                null,
                100);
    }

    @Test
    void whatPeopleAreAnswered() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            Settings settings = SettingsFile.parse("test", "record_ownership: 1");
            StateClient client = new StateClient(
                    new ServiceClient(vertx, state.endpoint(), 8), new ServiceClient(vertx, state.endpoint(), 1));
            Parts parts = Parts.of(
                    PartRegistry.enabled(settings), vertx, client, new SteadyClock(), null, config(), settings);
            HttpApi door = new HttpApi(new HttpApi.Context(
                    vertx, new Endpoint("127.0.0.1", 0), null, null, () -> true, parts.resources()));
            Endpoint node = new Endpoint("127.0.0.1", await(door.open()));
            answers(node, client);
        } finally {
            await(vertx.close());
        }
    }

    private void answers(Endpoint node, StateClient client) throws Exception {
        GoldenFile golden = new GoldenFile("ownership-http.txt");
        golden.expectText("claim before the beginning", post(node, "claim", "run", "e1", "ids", List.of("a/1")))
                .expectText("begin", post(node, "begin", "by", "anna", "reason", "first day"))
                .expectText("begin again", post(node, "begin", "by", "anna", "reason", "once more"))
                .expectText("compared", post(node, "compared", "by", "anna", "reason", "books"))
                .expectText("claim", post(node, "claim", "run", "e1", "ids", List.of("a/1", "a/2", "b/1")))
                .expectText("claim of another", post(node, "claim", "run", "e2", "ids", List.of("a/1", "a/3")))
                .expectText("billing", post(node, "billing", "run", "e1", "ids", List.of("a/1", "a/2")))
                .expectText("billing of another", post(node, "billing", "run", "e2", "ids", List.of("a/1")))
                .expectText(
                        "billed under another fence",
                        post(node, "billed", "run", "e1", "fences", MessagePackFormat.map("a/2", 1L)))
                .expectText("show", get(node, "show?id=a/1,b/1,c/1"))
                .expectText("show of a malformed id", get(node, "show?id=a//1"))
                .expectText("holders", get(node, "holders"))
                .expectText("holders of a group", get(node, "holders?group=b"))
                .expectText("holders of a malformed group", get(node, "holders?group=a/b"))
                .expectText(
                        "put in doubt",
                        post(node, "resolve", "as", "doubt", "by", "anna", "reason", "gone", "ids", List.of("a/2")))
                .expectText("doubt", get(node, "doubt"))
                .expectText(
                        "resolved",
                        post(node, "resolve", "as", "billed", "by", "anna", "reason", "x", "ids", List.of("a/2")))
                .expectText("billing what is billed", post(node, "billing", "run", "e3", "ids", List.of("a/2")))
                .expectText("release", post(node, "release", "run", "e1"))
                .expectText("malformed run", post(node, "claim", "run", "run-1", "ids", List.of("a/1")))
                .expectText("no open job", get(node, "jobs/run-1"))
                .expectText("no path", post(node, "dance"))
                .expectText("no question", get(node, "dance"));
        await(client.commit(new StateClient.Txn()
                .put("j/run-1", job(GoldenSamples.jobs().get("with records")))
                .put("j/run-2", job(GoldenSamples.minimalJob(1)))));
        golden.expectText("what a job waits for", get(node, "jobs/run-1"))
                .expectText("a job without records", get(node, "jobs/run-2"));
        golden.verify();
    }

    private static Map<String, Object> job(JobSpec spec) {
        return JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 0);
    }
}
