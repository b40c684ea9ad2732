package io.indigoreach.calendar;

import io.indigoreach.api.Answer;
import io.indigoreach.api.Joining;
import io.indigoreach.api.Resource;
import io.indigoreach.core.LeaderCore;
import io.indigoreach.core.calendar.DayPage;
import io.indigoreach.core.calendar.Head;
import io.indigoreach.core.calendar.TimeSense;
import io.indigoreach.core.records.Family;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.Records;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** The deadline calendar: plans whose jobs are to be ready before tankers leave. */
public final class CalendarPart implements Part {
    public static final List<Family> FAMILIES = List.of(Head.FAMILY, Head.TEXT_FAMILY, DayPage.FAMILY, RunTimes.FAMILY);

    private final Parts.Ground ground;
    private final LongSupplier time;
    private final CalendarCache calendars = new CalendarCache();
    private final PlanForecasts forecasts;
    private Function<Buffer, Future<Answer>> desk;

    public CalendarPart(Parts.Ground ground) {
        this(ground, sensed(ground));
    }

    /** With another time of day, in milliseconds since 1970. */
    public CalendarPart(Parts.Ground ground, LongSupplier time) {
        this.ground = ground;
        this.time = time;
        this.forecasts = new PlanForecasts(ground.catalogue(), ground.config().teams());
    }

    private static LongSupplier sensed(Parts.Ground ground) {
        TimeSense sense = new TimeSense(ground.config().clockOff());
        SteadyClock clock = ground.clock();
        return () -> sense.at(clock.now(), clock.timeOfDay());
    }

    @Override
    public String name() {
        return "calendar";
    }

    @Override
    public List<Family> families() {
        return FAMILIES;
    }

    @Override
    public Resource resource() {
        return new CalendarResource(ground.records(), calendars, forecasts, time);
    }

    @Override
    public Joining joining() {
        return new PlanJoining(ground.records(), time);
    }

    @Override
    public void submitting(Function<Buffer, Future<Answer>> submissions) {
        desk = submissions;
    }

    @Override
    public Reigning reigning(LeaderCore core, Records records) {
        return new PlanScheduler(ground.vertx(), core, records, calendars, forecasts, desk, ground.clock(), time)
                .start();
    }
}
