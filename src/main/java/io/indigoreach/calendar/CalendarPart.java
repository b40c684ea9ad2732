package io.indigoreach.calendar;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.Resource;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.calendar.CalendarVersion;
import io.indigoreach.core.calendar.DayPage;
import io.indigoreach.core.calendar.TimeSense;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Part;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** The deadline calendar: plans whose jobs are to be ready before tankers leave. */
public final class CalendarPart implements Part {
    public static final List<RecordFamily> FAMILIES =
            List.of(CalendarVersion.FAMILY, CalendarVersion.TEXT_FAMILY, DayPage.FAMILY, RunTimes.FAMILY);

    private final Parts.Environment ground;
    private final LongSupplier time;
    private final CalendarCache calendars = new CalendarCache();
    private final PlanForecasts forecasts;
    private Function<Buffer, Future<ApiResponse>> desk;

    public CalendarPart(Parts.Environment ground) {
        this(ground, sensed(ground));
    }

    /** With another time of day, in milliseconds since 1970. */
    public CalendarPart(Parts.Environment ground, LongSupplier time) {
        this.ground = ground;
        this.time = time;
        this.forecasts = new PlanForecasts(ground.catalogue(), ground.config().teams());
    }

    private static LongSupplier sensed(Parts.Environment ground) {
        TimeSense sense = new TimeSense(ground.config().maxClockError());
        SteadyClock clock = ground.clock();
        return () -> sense.at(clock.now(), clock.timeOfDay());
    }

    @Override
    public String name() {
        return "calendar";
    }

    @Override
    public List<RecordFamily> recordFamilies() {
        return FAMILIES;
    }

    @Override
    public Resource resource() {
        return new CalendarResource(ground.recordRoutines(), calendars, forecasts, time);
    }

    @Override
    public SubmissionParticipant submissionParticipant() {
        return new PlanJoining(ground.recordRoutines(), time);
    }

    @Override
    public void setJobSubmitter(Function<Buffer, Future<ApiResponse>> submissions) {
        desk = submissions;
    }

    @Override
    public LeaderTask startLeaderTask(SchedulerCore core, RoutineRunner records) {
        return new PlanScheduler(ground.vertx(), core, records, calendars, forecasts, desk, ground.clock(), time)
                .start();
    }
}
