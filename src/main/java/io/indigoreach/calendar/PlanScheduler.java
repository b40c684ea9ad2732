package io.indigoreach.calendar;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.JobCodec;
import io.indigoreach.core.calendar.Choice;
import io.indigoreach.core.calendar.DayPage;
import io.indigoreach.core.calendar.Fetching;
import io.indigoreach.core.calendar.Forecast;
import io.indigoreach.core.calendar.Mark;
import io.indigoreach.core.calendar.Occurrence;
import io.indigoreach.core.calendar.Outlook;
import io.indigoreach.core.calendar.PageChange;
import io.indigoreach.core.calendar.Replacing;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.ListRecords;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Part;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's work on the calendar: chooses the job of each occurrence whose time has come, submits it as a user would, sees it
 * to its end, and says what can't be ready. All that it must not do twice is decided on the occurrences' pages; what it remembers
 * only spares reading them. So it may end anywhere, and two of them at once do no harm.
 */
final class PlanScheduler implements Part.LeaderTask {
    private static final Logger LOG = LoggerFactory.getLogger(PlanScheduler.class);
    private static final Span STEP = Span.seconds(1);
    /** Between two submissions: 500 plans of one minute leave users most of the changes. See {@link Forecast}. */
    private static final Span PACE = Span.seconds(0.5);

    private static final Span LOOK = Span.seconds(5);
    /** Between two writes of run times. */
    private static final Span KEEP = Span.seconds(10);

    private static final Span RECKON = Span.seconds(60);
    /** A job that the service refuses is submitted again after this time. */
    private static final Span REFUSED = Span.seconds(30);

    private static final long TOLD_AHEAD_MS = 48 * 3_600_000L;

    private final SchedulerCore core;
    private final RoutineRunner records;
    private final CalendarCache calendars;
    private final PlanForecasts forecasts;
    private final RunTimes runs = new RunTimes();
    private final Function<Buffer, Future<ApiResponse>> desk;
    private final SteadyClock clock;
    private final LongSupplier time;
    private final PeriodicTask duty;

    private CalendarCache.Current current;
    private Moment looked = Moment.NEVER;
    private Moment reckoned = Moment.NEVER;
    private Moment kept = Moment.NEVER;
    private int reckonedFor = -1;
    private boolean runsRead;
    private List<Forecast.Entry> entries = List.of();
    /** By the occurrence's name, as last read or written. */
    private final Map<String, Mark> marks = new HashMap<>();

    private final Map<String, Moment> refused = new HashMap<>();
    private final Map<JobId, Integer> failures = new HashMap<>();
    private final Set<String> told = new HashSet<>();

    PlanScheduler(
            Vertx vertx,
            SchedulerCore core,
            RoutineRunner records,
            CalendarCache calendars,
            PlanForecasts forecasts,
            Function<Buffer, Future<ApiResponse>> desk,
            SteadyClock clock,
            LongSupplier time) {
        this.core = core;
        this.records = records;
        this.calendars = calendars;
        this.forecasts = forecasts;
        this.desk = desk;
        this.clock = clock;
        this.time = time;
        this.duty = new PeriodicTask(vertx, "calendar", STEP, this::step);
        core.onTaskCompleted(this::ran);
    }

    PlanScheduler start() {
        duty.start();
        return this;
    }

    @Override
    public void close() {
        duty.cancel();
    }

    /** Only classes that plans have are kept: their number is bounded. */
    private void ran(Job job, Span run) {
        if (current != null
                && current.stored().calendar().plans().stream()
                        .anyMatch(p -> p.template().jobClass().equals(job.spec().jobClass()))) {
            runs.ended(job.spec().jobClass(), job.spec().tasks(), run);
        }
    }

    private Future<Span> step() {
        return look().compose(v -> current.version() == null ? Future.succeededFuture(LOOK) : work());
    }

    private Future<Void> look() {
        Moment now = clock.now();
        if (current != null && now.since(looked).compareTo(LOOK) < 0) {
            return Future.succeededFuture();
        }
        return calendars.read(records).map(read -> {
            current = read;
            looked = now;
            return null;
        });
    }

    private Future<Span> work() {
        return learnt().compose(v -> {
                    reckon();
                    return choose();
                })
                .compose(v -> submit())
                .compose(more -> ends().compose(v -> keepRuns()).map(more ? PACE : STEP));
    }

    /** What earlier leaders saw of run times. */
    private Future<Void> learnt() {
        if (runsRead) {
            return Future.succeededFuture();
        }
        return records.run(new ListRecords(RunTimes.PREFIX)).map(all -> {
            all.forEach(runs::read);
            runsRead = true;
            return null;
        });
    }

    private void reckon() {
        Moment now = clock.now();
        if (reckonedFor == current.number() && now.since(reckoned).compareTo(RECKON) < 0) {
            return;
        }
        reckoned = now;
        reckonedFor = current.number();
        long today = time.getAsLong();
        List<Occurrence> all = PlanForecasts.occurrences(
                current.stored(),
                PlanForecasts.day(today).plus(-PlanForecasts.BACK),
                PlanForecasts.day(today).plus(PlanForecasts.AHEAD));
        entries = forecasts.forecast(current.stored().calendar(), all, runs);
        Set<String> names = new HashSet<>();
        all.forEach(o -> names.add(o.name()));
        marks.keySet().retainAll(names);
        told.retainAll(names);
        all.stream()
                .filter(o -> o.kind() == Occurrence.Kind.UNKNOWN
                        && o.departs() > today
                        && o.departs() < today + TOLD_AHEAD_MS)
                .forEach(occurrence -> {
                    if (told.add(occurrence.name())) {
                        LOG.warn("plan run rejected plan={} reason={}", occurrence.name(), occurrence.reason());
                    }
                });
        entries.forEach(e -> foretell(e, today));
    }

    private void foretell(Forecast.Entry entry, long now) {
        Mark mark = marks.get(entry.occurrence().name());
        boolean unread = mark == null && entry.latestStart() <= now;
        if (unread || entry.occurrence().departs() <= now || entry.occurrence().departs() > now + TOLD_AHEAD_MS) {
            return;
        }
        Outlook outlook = Outlook.of(entry, mark, now);
        if (outlook.verdict().isBad() && told.add(entry.occurrence().name())) {
            LOG.warn(
                    "plan run predicted late plan={} late_min={} cause=\"{}\" remedy=\"{}\"",
                    entry.occurrence().name(),
                    inMinutes(outlook.lateBy().ms()),
                    outlook.why(),
                    outlook.mend());
        }
    }

    private static String inMinutes(long ms) {
        return String.format(Locale.ROOT, "%.1f", ms / 60_000.0);
    }

    /** Those whose time has come and that have no job yet. */
    private List<Forecast.Entry> due(long now) {
        List<Forecast.Entry> due = new ArrayList<>();
        for (Forecast.Entry e : entries) {
            if (e.latestStart() > now) {
                break;
            }
            Mark mark = marks.get(e.occurrence().name());
            if (mark == null || !mark.isSettled()) {
                due.add(e);
            }
        }
        return due;
    }

    /** A page after the other: all of it that is due is chosen with one write. */
    private Future<Void> choose() {
        long now = time.getAsLong();
        Map<String, List<Forecast.Entry>> byPage = new LinkedHashMap<>();
        for (Forecast.Entry e : due(now)) {
            Mark mark = marks.get(e.occurrence().name());
            if (mark == null || e.occurrence().departs() <= now || choice(e).mark(mark, false, now) != null) {
                byPage.computeIfAbsent(
                                DayPage.key(
                                        e.occurrence().day(),
                                        e.occurrence().plan().name()),
                                k -> new ArrayList<>())
                        .add(e);
            }
        }
        Future<Void> done = Future.succeededFuture();
        for (List<Forecast.Entry> page : byPage.values()) {
            done = done.compose(v -> decide(page, false));
        }
        return done;
    }

    private Choice choice(Forecast.Entry e) {
        return new Choice(
                e,
                current.number(),
                current.stored().register().entries().get(e.occurrence().plan().name()));
    }

    /** {@code taken}: a user's job has the id that was chosen. */
    private Future<Void> decide(List<Forecast.Entry> ofOnePage, boolean taken) {
        Occurrence first = ofOnePage.get(0).occurrence();
        List<Mark> out = new ArrayList<>();
        return records.run(new PageChange(first.day(), first.plan().name(), page -> {
                    out.clear();
                    for (Forecast.Entry e : ofOnePage) {
                        Mark mark =
                                choice(e).mark(page.mark(e.occurrence().plan().name()), taken, time.getAsLong());
                        if (mark != null) {
                            out.add(mark);
                        }
                    }
                    return out;
                }))
                .map(page -> {
                    if (page != null) {
                        ofOnePage.forEach(e -> remember(
                                e.occurrence(), page.mark(e.occurrence().plan().name())));
                        out.forEach(mark -> decided(first.day().toString(), mark));
                        ofOnePage.forEach(e -> foretell(e, time.getAsLong()));
                    }
                    return null;
                });
    }

    private static void decided(String day, Mark mark) {
        if (mark.state() == Mark.State.MISSED) {
            LOG.error("plan run skipped plan={} day={} reason={}", mark.plan(), day, mark.note());
        } else {
            LOG.info(
                    "plan run started plan={} day={} job={} calendar={} note={}",
                    mark.plan(),
                    day,
                    mark.id(),
                    mark.version(),
                    mark.note());
        }
    }

    private void remember(Occurrence o, Mark mark) {
        Mark before = marks.put(o.name(), mark);
        if (mark != null && before == null && mark.version() > current.number()) {
            LOG.error(
                    "calendar rolled back plan={} decided_by={} in_force={}",
                    o.name(),
                    mark.version(),
                    current.number());
        }
    }

    /** Submits one; whether there are more. */
    private Future<Boolean> submit() {
        long now = time.getAsLong();
        List<Forecast.Entry> ready = due(now).stream()
                .filter(e -> {
                    Mark mark = marks.get(e.occurrence().name());
                    return mark != null
                            && e.occurrence().departs() > now
                            && !clock.now()
                                    .isBefore(
                                            refused.getOrDefault(e.occurrence().name(), Moment.NEVER));
                })
                .toList();
        return ready.isEmpty()
                ? Future.succeededFuture(false)
                : submit(ready.get(0), now).map(ready.size() > 1);
    }

    private Future<Void> submit(Forecast.Entry entry, long now) {
        Occurrence o = entry.occurrence();
        Mark mark = marks.get(o.name());
        refused.put(o.name(), clock.now().plus(STEP));
        return desk.apply(MessagePackFormat.write(JobCodec.write(Choice.job(o, mark, now))))
                .compose(answer -> {
                    // Whatever the answer says, the page says whether the job is this occurrence's.
                    return records.run(PageChange.reading(o.day(), o.plan().name()))
                            .compose(page -> {
                                if (page != null) {
                                    remember(o, page.mark(o.plan().name()));
                                }
                                Mark there =
                                        page == null ? null : page.mark(o.plan().name());
                                if (there != null && there.isSettled()) {
                                    refused.remove(o.name());
                                } else if (answer.status() == 200) {
                                    LOG.warn("plan job id taken plan={} job={}", o.name(), mark.id());
                                    return decide(List.of(entry), true);
                                } else if (answer.status() != 503) {
                                    refused.put(o.name(), clock.now().plus(REFUSED));
                                    LOG.error(
                                            "plan job rejected plan={} status={} error={}",
                                            o.name(),
                                            answer.status(),
                                            answer.body().get("error"));
                                }
                                return Future.succeededFuture();
                            });
                });
    }

    /** Jobs that are over: the leader's core has them no more, and their end is recorded. */
    private Future<Void> ends() {
        Future<Void> done = Future.succeededFuture();
        for (Forecast.Entry e : entries) {
            if (e.latestStart() > time.getAsLong()) {
                break;
            }
            Mark mark = marks.get(e.occurrence().name());
            if (mark == null || mark.state() != Mark.State.ACCEPTED) {
                continue;
            }
            Job job = core.job(mark.id());
            if (job == null) {
                done = done.compose(v -> ended(e.occurrence(), mark));
            } else if (job.failures() > failures.getOrDefault(job.id(), 0)) {
                int more = job.failures() - failures.getOrDefault(job.id(), 0);
                failures.put(job.id(), job.failures());
                runs.failed(job.spec().jobClass(), job.spec().tasks(), more);
            }
        }
        return done;
    }

    private Future<Void> ended(Occurrence o, Mark mark) {
        String key = RecordKeys.finalKey(mark.id());
        return records.run(new Fetching(key)).compose(read -> {
            if (!read.exists()) {
                return Future.succeededFuture();
            }
            FinalRecord end = JobRecordCodec.readFinal(mark.id(), new Fields(read.value()));
            long now = time.getAsLong();
            failures.remove(mark.id());
            return records.run(new PageChange(o.day(), o.plan().name(), page -> {
                        Mark there = page.mark(o.plan().name());
                        return there == null || there.state() != Mark.State.ACCEPTED
                                ? List.of()
                                : List.of(there.become(
                                        Mark.State.ENDED,
                                        now,
                                        end.status().name().toLowerCase(Locale.ROOT)));
                    }))
                    .map(page -> {
                        if (page != null) {
                            remember(o, page.mark(o.plan().name()));
                            long late = now - o.departs();
                            if (late > 0) {
                                LOG.error("plan run late plan={} late_min={}", o.name(), inMinutes(late));
                            } else {
                                LOG.info("plan run finished plan={} early_min={}", o.name(), inMinutes(-late));
                            }
                        }
                        return null;
                    });
        });
    }

    private Future<Void> keepRuns() {
        String key = runs.nextChanged();
        if (key == null || clock.now().since(kept).compareTo(KEEP) < 0) {
            return Future.succeededFuture();
        }
        kept = clock.now();
        runs.written(key);
        return records.run(new Replacing(key, runs.value(key))).mapEmpty();
    }
}
