package io.indigoreach.calendar;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenSamples;
import io.indigoreach.api.ApiException;
import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.ErrorResponses;
import io.indigoreach.api.Resource;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.Choice;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Depot;
import io.indigoreach.core.calendar.Mark;
import io.indigoreach.core.calendar.PageChange;
import io.indigoreach.core.calendar.Plan;
import io.indigoreach.core.calendar.Region;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.core.calendar.Season;
import io.indigoreach.core.calendar.TimeOfDay;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RoutineRunner;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.zip.InflaterInputStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calendars as they are sent and kept, the records of what was decided, and what people are answered. */
class GoldenCalendarTest {
    /** A Tuesday; the plan departs at half past four in Kochi, 23:00 UTC of the day before. */
    private static final Day DAY = Day.parse("2027-08-24");

    private static final long NOW = DAY.number() * 86_400_000L - 10 * 3_600_000L;
    private static final List<Integer> WEEK = List.of(1, 2, 3, 4, 5, 6, 7);

    private final Vertx vertx = Vertx.vertx();
    private final GoldenFile golden = new GoldenFile("calendar.txt");
    private StateStandIn state;

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static Calendar calendar() {
        Depot depot = new Depot(
                "kochi",
                "Asia/Kolkata",
                "kerala",
                List.of(new Depot.Weekly(WEEK, TimeOfDay.parse("04:30"))),
                List.of(
                        new Depot.Exceptional(Day.parse("2027-08-30"), TimeOfDay.parse("06:00")),
                        new Depot.Exceptional(Day.parse("2027-08-31"), null)));
        Region region =
                new Region("kerala", List.of(2027, 2028), List.of(new Region.Holiday(Day.parse("2027-08-26"), "Onam")));
        Season season = new Season(
                "onam",
                List.of(
                        new Season.Dates(Day.parse("2027-08-20"), Day.parse("2027-09-02")),
                        new Season.Dates(Day.parse("2028-08-20"), Day.parse("2028-09-02"))));
        Plan.Days any = new Plan.Days(List.of(), List.of(), List.of());
        Plan daily = new Plan(
                "kochi-tankers",
                "kochi",
                null,
                any,
                Span.seconds(900),
                Plan.OnHoliday.EARLIER,
                List.of(new Plan.Boost("onam", 2.5)),
                GoldenSamples.minimalJob(8));
        Plan monthly = new Plan(
                "kochi-month",
                "kochi",
                TimeOfDay.parse("12:15"),
                new Plan.Days(List.of(2), List.of(24, 31), List.of(8)),
                Span.seconds(60.5),
                Plan.OnHoliday.SKIP,
                List.of(),
                GoldenSamples.minimalJob(4));
        return new Calendar(64.5, List.of(region), List.of(season), List.of(depot), List.of(daily, monthly));
    }

    private static CalendarCodec.Stored stored() {
        Calendar calendar = calendar();
        return new CalendarCodec.Stored(
                calendar,
                Register.EMPTY.forPlans(calendar.plans(), GoldenSamples.TIME_OF_DAY_MS),
                "# as it was written\n");
    }

    /** What is packed, as the deflated bytes may differ between versions of Java. */
    private static Map<String, Object> unpacked(String text) {
        try (InflaterInputStream in = new InflaterInputStream(
                new ByteArrayInputStream(Base64.getDecoder().decode(text)))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            in.transferTo(out);
            return MessagePackFormat.readMap(Buffer.buffer(out.toByteArray())).map();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String packed(Fields f) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (java.util.zip.DeflaterOutputStream deflated = new java.util.zip.DeflaterOutputStream(out)) {
            deflated.write(MessagePackFormat.write(f.map()).getBytes());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return Base64.getEncoder().encodeToString(out.toByteArray());
    }

    private static Map<String, Object> pack(CalendarCodec.Stored s) {
        return unpacked(CalendarCodec.pack(s));
    }

    private static CalendarCodec.Stored unpack(Fields f) {
        return CalendarCodec.unpack(packed(f));
    }

    private static Map<String, Object> with(String field, Object value) {
        Map<String, Object> map = new LinkedHashMap<>(pack(stored()));
        map.put(field, value);
        return map;
    }

    private void texts() {
        golden.expectRoundTrip("calendar", stored(), GoldenCalendarTest::pack, GoldenCalendarTest::unpack)
                .expectRoundTrip(
                        "empty calendar",
                        new CalendarCodec.Stored(Calendar.EMPTY, Register.EMPTY, ""),
                        GoldenCalendarTest::pack,
                        GoldenCalendarTest::unpack)
                .expectRejected("calendar without cores", with("cores", null), GoldenCalendarTest::unpack)
                .expectRejected(
                        "calendar with a plan of another kind",
                        with(
                                "plans",
                                List.of(MessagePackFormat.map("name", "p", "depot", "d", "at", 1L, "margin_ms", 1L))),
                        GoldenCalendarTest::unpack)
                .expectRejected("calendar with other depots", with("depots", List.of(1L)), GoldenCalendarTest::unpack)
                .expectText("not packed", GoldenFile.failureMessage(() -> CalendarCodec.unpack("no base 64!")))
                .expectText("digest", CalendarCodec.digest("a text"));
    }

    private void runs() {
        RunTimes runs = new RunTimes();
        for (int n = 1; n <= 40; n++) {
            runs.ended("tours", 30, Span.seconds(n * 1.5));
        }
        runs.failed("tours", 30, 3);
        String key = runs.nextChanged();
        golden.expectText("key of run times", key).expectReencoded("run times", runs, r -> r.value(key), f -> {
            RunTimes read = new RunTimes();
            read.read(new VersionedRecord(key, f.map(), Revision.ABSENT));
            return read;
        });
    }

    private static Mark mark(Mark.State state, JobId id) {
        return new Mark(
                "kochi-tankers", state, id, 3, NOW + 1, NOW - 1, NOW, 20, state == Mark.State.MISSED ? "too late" : "");
    }

    private static RoutineRunner records(Vertx vertx, StateStandIn state) {
        return new RoutineRunner(
                vertx,
                new StateClient(
                        new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1)),
                new SteadyClock(),
                new RecordCache(CalendarPart.FAMILIES));
    }

    private void kept(String name, String prefix) {
        List<String> keys = state.keys(prefix);
        golden.expectText("keys of " + name, String.join(" ", keys).replaceAll("[0-9a-f]{32}", "DIGEST"));
        keys.forEach(key -> golden.expectEncodedUnordered(
                name + " " + key.replaceAll("[0-9a-f]{32}", "DIGEST"),
                withoutText(state.value(key).map())));
    }

    /** The packed text and its digest depend on the deflater. */
    private static Map<String, Object> withoutText(Map<String, Object> value) {
        Map<String, Object> out = new LinkedHashMap<>(value);
        out.computeIfPresent("text", (k, v) -> "TEXT");
        out.computeIfPresent(
                "versions",
                (k, v) -> ((List<?>) v)
                        .stream()
                                .map(row -> {
                                    List<Object> r = new ArrayList<>((List<?>) row);
                                    r.set(1, "DIGEST");
                                    return r;
                                })
                                .toList());
        return out;
    }

    private void pages(RoutineRunner records) throws Exception {
        List<Mark> marks = new ArrayList<>();
        for (Mark.State s : Mark.State.values()) {
            marks.add(mark(s, s == Mark.State.MISSED ? null : new JobId("run-900000102105500")));
        }
        for (Mark m : marks) {
            await(records.run(new PageChange(DAY, m.plan(), page -> List.of(m))));
            kept("page of state " + m.state().ordinal(), "cal/day/");
        }
        Mark read = await(records.run(PageChange.reading(DAY, "kochi-tankers"))).mark("kochi-tankers");
        golden.expectText("page, read", Boolean.toString(read.equals(marks.get(marks.size() - 1))));
    }

    private Resource.Call call(String method, String path, Map<String, Object> body) {
        int question = path.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (question >= 0) {
            Arrays.stream(path.substring(question + 1).split("&"))
                    .map(q -> q.split("="))
                    .forEach(q -> query.put(q[0], q[1]));
        }
        String only = question < 0 ? path : path.substring(0, question);
        return new Resource.Call(
                method, Arrays.stream(only.split("/")).filter(s -> !s.isEmpty()).toList(), query, new Fields(body));
    }

    private void ask(Resource resource, String name, String method, String path, Map<String, Object> body)
            throws Exception {
        ApiResponse answer;
        try {
            answer = await(resource.serve(call(method, path, body)));
        } catch (ExecutionException e) {
            if (!(e.getCause() instanceof ApiException failure)) {
                throw e;
            }
            answer = ErrorResponses.of(failure);
        } catch (ApiException e) {
            answer = ErrorResponses.of(e);
        } catch (WireException e) {
            answer = ApiResponse.error(400, e.getMessage());
        }
        golden.expectText("status of " + name, answer.status() + " " + answer.retryAfterS())
                .expectEncoded("answer " + name, withoutText(answer.body()));
    }

    private void resource(RoutineRunner records, Catalogue catalogue) throws Exception {
        CalendarResource resource = new CalendarResource(
                records,
                new CalendarCache(),
                new PlanForecasts(catalogue, List.of(new Team("fleet-ops", 0, 0, 0, 0))),
                () -> NOW);
        Map<String, Object> set =
                MessagePackFormat.map("base", 0L, "text", CalendarCodec.pack(stored()), "note", "Onam's dates");
        ask(resource, "no calendar", "GET", "", Map.of());
        ask(resource, "outlook before the types are known", "GET", "/outlook", Map.of());
        catalogue.start();
        while (!catalogue.isKnown()) {
            Thread.onSpinWait();
        }
        ask(resource, "calendar set", "POST", "", set);
        kept("calendar", "cal/head/");
        kept("text", "cal/text/");
        ask(resource, "calendar set again", "POST", "", set);
        ask(resource, "calendar in force", "GET", "", Map.of());
        ask(resource, "version", "GET", "/versions/1", Map.of());
        ask(resource, "version that is not there", "GET", "/versions/9", Map.of());
        ask(resource, "version that is none", "GET", "/versions/one", Map.of());
        ask(resource, "next days", "GET", "/next?from=2027-08-24&days=9", Map.of());
        ask(resource, "next days of a plan", "GET", "/next?from=2027-08-24&days=2&plan=kochi-month", Map.of());
        ask(resource, "next days of a malformed day", "GET", "/next?from=today", Map.of());
        ask(resource, "outlook", "GET", "/outlook?days=3", Map.of());
        ask(resource, "explanation", "GET", "/explain/kochi-tankers/2027-08-25", Map.of());
        ask(resource, "explanation of what was decided", "GET", "/explain/kochi-tankers/2027-08-24", Map.of());
        ask(resource, "explanation of a holiday", "GET", "/explain/kochi-month/2027-08-31", Map.of());
        ask(resource, "explanation of no plan", "GET", "/explain/nothing/2027-08-24", Map.of());
        ask(resource, "no path", "GET", "/nowhere", Map.of());
        ask(resource, "another method", "DELETE", "", Map.of());
        ask(resource, "text of another kind", "POST", "", MessagePackFormat.map("base", 1L, "text", "no"));
        ask(resource, "set without a text", "POST", "", MessagePackFormat.map("base", 1L));
        Calendar wrong = new Calendar(
                0, List.of(), List.of(), List.of(new Depot("kochi", "Nowhere", "", List.of(), List.of())), List.of());
        ask(
                resource,
                "calendar with a fault",
                "POST",
                "",
                MessagePackFormat.map(
                        "base", 1L, "text", CalendarCodec.pack(new CalendarCodec.Stored(wrong, Register.EMPTY, ""))));
    }

    /** A plan's job that nobody started, or whose occurrence is settled. */
    private void joining(RoutineRunner records) {
        PlanJoining joining = new PlanJoining(records, () -> NOW);
        golden.expectText("field of plans", joining.field());
        for (String day : List.of("2027-08-24", "2027-08-25", "tomorrow")) {
            JobSpec spec = GoldenSamples.fullJob(2, Urgency.HIGH)
                    .with(Choice.FIELD, MessagePackFormat.map("name", "kochi-tankers", "day", day));
            ApiResponse answer;
            try {
                joining.check(spec);
                await(joining.accepting(spec));
                answer = ApiResponse.ok(Map.of());
            } catch (WireException e) {
                answer = ApiResponse.error(400, e.getMessage());
            } catch (Exception e) {
                answer = ErrorResponses.of((ApiException) e.getCause());
            }
            golden.expectText("status of a plan's job " + day, answer.status() + " " + answer.retryAfterS())
                    .expectEncodedUnordered("answer to a plan's job " + day, answer.body());
        }
    }

    @Test
    void whatIsKeptAndSaid() throws Exception {
        texts();
        runs();
        state = await(new StateStandIn().listen(vertx));
        StateClient client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        await(client.commit(new StateClient.Txn()
                .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(GoldenSamples.MACHINE_TYPES))));
        RoutineRunner records = records(vertx, state);
        pages(records);
        Catalogue catalogue =
                new Catalogue(vertx, client, new CloudClient(new ServiceClient(vertx, state.endpoint(), 1)));
        resource(records, catalogue);
        joining(records);
        golden.verify();
    }
}
