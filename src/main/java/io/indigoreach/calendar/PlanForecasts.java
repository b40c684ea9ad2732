package io.indigoreach.calendar;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Forecast;
import io.indigoreach.core.calendar.Means;
import io.indigoreach.core.calendar.Occurrence;
import io.indigoreach.core.calendar.Occurrences;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.core.model.Team;
import java.util.Collection;
import java.util.List;

/** Occurrences and forecasts of the version in force, for the leader's work and for people's questions alike. */
final class PlanForecasts {
    /** Days back in which an occurrence that was missed is still told of. */
    static final int BACK = 3;
    /** The earliest start of a later day's occurrence: a holiday moves it by 14 days, margin and run by some more. */
    static final int AHEAD = 18;

    private static final long DAY_MS = 86_400_000;

    private final Catalogue catalogue;
    private final Collection<Team> teams;

    PlanForecasts(Catalogue catalogue, Collection<Team> teams) {
        this.catalogue = catalogue;
        this.teams = teams;
    }

    static Day day(long now) {
        return new Day(Math.floorDiv(now, DAY_MS));
    }

    /** Of the days from one to another; those that departed before their plan was set are not its own. */
    static List<Occurrence> occurrences(CalendarCodec.Stored stored, Day from, Day to) {
        return new Occurrences(stored.calendar(), new JavaZones())
                .between(from, to).stream().filter(o -> isOwn(stored, o)).toList();
    }

    /** Of one day; {@code plan} null: of every plan. */
    static List<Occurrence> occurrences(CalendarCodec.Stored stored, String plan, Day day) {
        Occurrences all = new Occurrences(stored.calendar(), new JavaZones());
        return stored.calendar().plans().stream()
                .filter(p -> plan == null || plan.equals(p.name()))
                .map(p -> all.of(p, day))
                .filter(o -> o != null && isOwn(stored, o))
                .toList();
    }

    /** Without the machine types every plan would seem to have none. */
    boolean isReady() {
        return catalogue.isKnown();
    }

    private static boolean isOwn(CalendarCodec.Stored stored, Occurrence o) {
        Register.Entry entry = stored.register().entries().get(o.plan().name());
        return entry != null && o.departs() >= entry.since();
    }

    List<Forecast.Entry> forecast(Calendar calendar, List<Occurrence> occurrences, Means.Seen seen) {
        return Forecast.of(occurrences, new Means(calendar.cores(), catalogue.types(), teams, seen));
    }
}
