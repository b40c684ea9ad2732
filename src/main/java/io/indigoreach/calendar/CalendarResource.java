package io.indigoreach.calendar;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.NotFoundException;
import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.api.Resource;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.CalendarCheck;
import io.indigoreach.core.calendar.CalendarVersion;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.DayPage;
import io.indigoreach.core.calendar.Forecast;
import io.indigoreach.core.calendar.Mark;
import io.indigoreach.core.calendar.Occurrence;
import io.indigoreach.core.calendar.Occurrences;
import io.indigoreach.core.calendar.Outlook;
import io.indigoreach.core.calendar.PageChange;
import io.indigoreach.core.calendar.Plan;
import io.indigoreach.core.calendar.Publishing;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.core.records.ListRecords;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/** The calendar for people: {@code /api/calendar}, at any node. */
final class CalendarResource implements Resource {
    /** Rows of one answer; {@code from} asks on. */
    private static final int MOST_ROWS = 300;

    private static final int MOST_DAYS = CalendarCheck.AHEAD;
    private static final int OUTLOOK_DAYS = 14;
    private static final int LONGEST_NOTE = 200;
    private static final long DAY_MS = 86_400_000;

    private final RoutineRunner records;
    private final CalendarCache calendars;
    private final PlanForecasts forecasts;
    private final LongSupplier time;
    private final JavaZones zones = new JavaZones();

    CalendarResource(RoutineRunner records, CalendarCache calendars, PlanForecasts forecasts, LongSupplier time) {
        this.records = records;
        this.calendars = calendars;
        this.forecasts = forecasts;
        this.time = time;
    }

    @Override
    public Future<ApiResponse> serve(Call call) {
        List<String> path = call.path();
        String what = path.isEmpty() ? "" : path.get(0);
        if (call.isPost() && path.isEmpty()) {
            return set(call.body());
        }
        if (!call.isGet()) {
            return Future.succeededFuture(ApiResponse.error(405, "method not allowed"));
        }
        boolean foresees = "outlook".equals(what) || "explain".equals(what);
        if (foresees && !forecasts.isReady()) {
            return Future.succeededFuture(ApiResponse.retryLater("the machine types are not known yet"));
        }
        return switch (what + path.size()) {
            case "0" -> calendars.read(records).map(this::shown);
            case "versions2" ->
                calendars
                        .read(records, number(path.get(1), "version", 1, Integer.MAX_VALUE))
                        .map(this::shown);
            case "next1" -> calendars.read(records).map(c -> next(c, call.query()));
            case "outlook1" -> calendars.read(records).compose(c -> outlook(c, call.query()));
            case "explain3" -> calendars.read(records).compose(c -> explain(c, path.get(1), day(path.get(2), "day")));
            default -> throw new NotFoundException("no such path");
        };
    }

    private static int number(String text, String field, int least, int most) {
        try {
            int n = Integer.parseInt(text);
            if (n >= least && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw RequestRejectedException.of(field, "must be " + least + " to " + most);
    }

    private static Day day(String text, String field) {
        try {
            return Day.parse(text);
        } catch (IllegalArgumentException e) {
            throw RequestRejectedException.of(field, e.getMessage());
        }
    }

    private ApiResponse shown(CalendarCache.Current c) {
        if (c == null) {
            throw new NotFoundException("no such version, or none that is still listed");
        }
        List<Object> history = new ArrayList<>();
        c.head()
                .versions()
                .forEach(
                        v -> history.add(MessagePackFormat.map("version", v.number(), "at", v.at(), "note", v.note())));
        return ApiResponse.ok(MessagePackFormat.map("version", c.number(), "text", c.text(), "history", history));
    }

    /** The next version, if the one that it was made from is still in force. */
    private Future<ApiResponse> set(Fields body) {
        int base = (int) body.wholeNumber("base");
        String note = body.has("note") ? body.text("note") : "";
        if (note.length() > LONGEST_NOTE) {
            throw Fields.invalid("note");
        }
        if (body.text("text").length() > CalendarCodec.LONGEST_TEXT) {
            throw RequestRejectedException.of(
                    "text", "a calendar may have " + CalendarCodec.LONGEST_TEXT + " characters packed");
        }
        CalendarCodec.Stored sent = CalendarCodec.unpack(body.text("text"));
        long now = time.getAsLong();
        List<CalendarCheck.Finding> findings =
                CalendarCheck.of(sent.calendar(), zones, PlanForecasts.day(now), CalendarCheck.SOON);
        if (!findings.isEmpty()) {
            throw RequestRejectedException.of(
                    findings.get(0).field(), findings.get(0).reason());
        }
        return calendars.read(records).compose(c -> {
            if (c.number() != base) {
                throw standing(c);
            }
            CalendarCodec.Stored next = new CalendarCodec.Stored(
                    sent.calendar(),
                    c.stored().register().forPlans(sent.calendar().plans(), now),
                    sent.file());
            String text = CalendarCodec.pack(next);
            return records.run(new Publishing(c.head(), CalendarCodec.digest(text), text, now, note))
                    .compose(done -> {
                        if (done) {
                            return Future.succeededFuture(ApiResponse.ok(MessagePackFormat.map("version", base + 1)));
                        }
                        return calendars.read(records).map(other -> {
                            if (other.number() == base) {
                                return ApiResponse.retryLater("try again");
                            }
                            throw standing(other);
                        });
                    });
        });
    }

    private static RequestRejectedException standing(CalendarCache.Current c) {
        CalendarVersion.Version v = c.version();
        return RequestRejectedException.conflict(
                "another version is in force",
                v == null
                        ? MessagePackFormat.map("version", 0)
                        : MessagePackFormat.map("version", v.number(), "at", v.at(), "note", v.note()));
    }

    private ApiResponse next(CalendarCache.Current c, Map<String, String> query) {
        Day today = PlanForecasts.day(time.getAsLong());
        Day from = query.containsKey("from") ? day(query.get("from"), "from") : today;
        int days = number(query.getOrDefault("days", "30"), "days", 1, MOST_DAYS);
        String plan = query.get("plan");
        List<Object> rows = new ArrayList<>();
        Day day = from;
        for (; day.number() < from.number() + days && rows.size() < MOST_ROWS; day = day.plus(1)) {
            for (Occurrence o : PlanForecasts.occurrences(c.stored(), plan, day)) {
                rows.add(row(c, o));
            }
        }
        return ApiResponse.ok(MessagePackFormat.map(
                "version",
                c.number(),
                "occurrences",
                rows,
                "more",
                day.number() < from.number() + days ? day.toString() : null));
    }

    private Map<String, Object> row(CalendarCache.Current c, Occurrence o) {
        String zone = c.stored().calendar().depot(o.plan().depot()).zone();
        Register.Entry block = c.stored().register().entries().get(o.plan().name());
        return MessagePackFormat.map(
                "plan",
                o.plan().name(),
                "day",
                o.day().toString(),
                "kind",
                word(o.kind()),
                "departs",
                o.departs(),
                "departs_local",
                o.runs() ? zones.text(zone, o.departs()) : null,
                "tasks",
                o.tasks(),
                "reason",
                o.reason(),
                "id",
                block.id(o.day(), 0).text());
    }

    private static String word(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT);
    }

    private Future<RunTimes> seen() {
        return records.run(new ListRecords(RunTimes.PREFIX)).map(all -> {
            RunTimes runs = new RunTimes();
            all.forEach(runs::read);
            return runs;
        });
    }

    /** What leaves within some days, the bad ones first. */
    private Future<ApiResponse> outlook(CalendarCache.Current c, Map<String, String> query) {
        int days = number(query.getOrDefault("days", "2"), "days", 1, OUTLOOK_DAYS);
        long now = time.getAsLong();
        return seen().compose(runs -> {
            List<Occurrence> all = PlanForecasts.occurrences(
                    c.stored(),
                    PlanForecasts.day(now).plus(-PlanForecasts.BACK),
                    PlanForecasts.day(now).plus(days + PlanForecasts.AHEAD));
            List<Forecast.Entry> entries = forecasts.forecast(c.stored().calendar(), all, runs).stream()
                    .filter(e -> e.occurrence().departs() > now - DAY_MS
                            && e.occurrence().departs() <= now + days * DAY_MS)
                    .toList();
            return marks(entries.stream().filter(e -> e.latestStart() <= now).toList())
                    .map(marks -> {
                        List<Outlook> out = new ArrayList<>();
                        entries.forEach(e ->
                                out.add(Outlook.of(e, marks.get(e.occurrence().name()), now)));
                        List<Object> rows = new ArrayList<>();
                        out.stream()
                                .filter(o -> o.verdict().isBad())
                                .limit(MOST_ROWS)
                                .forEach(o -> rows.add(row(c, o)));
                        out.stream()
                                .filter(o -> !o.verdict().isBad())
                                .limit(MOST_ROWS - rows.size())
                                .forEach(o -> rows.add(row(c, o)));
                        List<String> unknown = all.stream()
                                .filter(o -> o.kind() == Occurrence.Kind.UNKNOWN && o.departs() <= now + days * DAY_MS)
                                .map(o -> o.name() + ": " + o.reason())
                                .limit(MOST_ROWS)
                                .toList();
                        return ApiResponse.ok(MessagePackFormat.map(
                                "version",
                                c.number(),
                                "bad",
                                out.stream().filter(o -> o.verdict().isBad()).count(),
                                "unknown",
                                unknown,
                                "occurrences",
                                rows));
                    });
        });
    }

    /** What stands on the pages of these: a page is read once for all that it has. */
    private Future<Map<String, Mark>> marks(List<Forecast.Entry> entries) {
        Map<String, List<Occurrence>> byPage = new LinkedHashMap<>();
        entries.forEach(e -> byPage.computeIfAbsent(
                        DayPage.key(e.occurrence().day(), e.occurrence().plan().name()), k -> new ArrayList<>())
                .add(e.occurrence()));
        Map<String, Mark> marks = new LinkedHashMap<>();
        Future<Void> done = Future.succeededFuture();
        for (List<Occurrence> ofOne : byPage.values()) {
            done = done.compose(v -> records.run(PageChange.reading(
                            ofOne.get(0).day(), ofOne.get(0).plan().name()))
                    .map(page -> {
                        ofOne.forEach(o -> marks.put(
                                o.name(),
                                page == null ? null : page.mark(o.plan().name())));
                        return null;
                    }));
        }
        return done.map(marks);
    }

    private Map<String, Object> row(CalendarCache.Current c, Outlook o) {
        Map<String, Object> row = row(c, o.entry().occurrence());
        row.putAll(MessagePackFormat.map(
                "verdict",
                word(o.verdict()),
                "late_s",
                o.lateBy().seconds(),
                "why",
                o.why(),
                "mend",
                o.mend(),
                "latest_start",
                o.entry().latestStart(),
                "needed_s",
                o.entry().isPossible() ? o.entry().needed().seconds() : null,
                "alone_s",
                o.entry().isPossible() ? o.entry().alone().seconds() : null));
        if (o.mark() != null) {
            row.putAll(decided(o.mark()));
        }
        return row;
    }

    private static Map<String, Object> decided(Mark m) {
        return MessagePackFormat.map(
                "state",
                word(m.state()),
                "id",
                m.id() == null ? null : m.id().text(),
                "decided_by",
                m.version(),
                "decided_departs",
                m.departs(),
                "decided_latest",
                m.latest(),
                "since",
                m.at(),
                "note",
                m.note());
    }

    private Future<ApiResponse> explain(CalendarCache.Current c, String name, Day day) {
        Calendar calendar = c.stored().calendar();
        Plan plan = calendar.plan(name);
        Occurrence o = plan == null ? null : new Occurrences(calendar, zones).of(plan, day);
        return records.run(PageChange.reading(day, name)).compose(page -> {
            Mark mark = page == null ? null : page.mark(name);
            if (o == null && mark == null) {
                throw new NotFoundException(
                        plan == null ? "no plan " + name + " is in force" : "plan " + name + " has nothing on " + day);
            }
            if (o == null || !o.runs()) {
                Map<String, Object> row = o == null
                        ? MessagePackFormat.map("plan", name, "day", day.toString(), "kind", "removed")
                        : row(c, o);
                row.putAll(mark == null ? Map.of() : decided(mark));
                return Future.succeededFuture(ApiResponse.ok(row));
            }
            return seen().map(runs -> {
                List<Occurrence> around = PlanForecasts.occurrences(
                        c.stored(), day.plus(-PlanForecasts.BACK), day.plus(PlanForecasts.BACK));
                Forecast.Entry entry = forecasts.forecast(calendar, around, runs).stream()
                        .filter(e -> e.occurrence().name().equals(o.name()))
                        .findFirst()
                        .orElse(null);
                if (entry == null) {
                    Map<String, Object> row = row(c, o);
                    row.put("reason", "it departed before its plan was set");
                    return ApiResponse.ok(row);
                }
                return ApiResponse.ok(row(c, Outlook.of(entry, mark, time.getAsLong())));
            });
        });
    }
}
