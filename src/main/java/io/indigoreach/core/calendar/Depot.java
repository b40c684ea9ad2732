package io.indigoreach.core.calendar;

import java.util.List;

/**
 * Where tankers leave from.
 *
 * @param region whose holidays it keeps; empty: none
 * @param weekly its first departures; at most one for a weekday
 * @param exceptions days that go otherwise
 */
public record Depot(String name, String zone, String region, List<Weekly> weekly, List<Exceptional> exceptions) {
    /** The first departure on some weekdays (1 is Monday). */
    public record Weekly(List<Integer> weekdays, TimeOfDay at) {
        public Weekly {
            weekdays = List.copyOf(weekdays);
        }
    }

    /** The first departure of one day; {@code at} null: nobody leaves. */
    public record Exceptional(Day day, TimeOfDay at) {}

    public Depot {
        weekly = List.copyOf(weekly);
        exceptions = List.copyOf(exceptions);
    }

    /** The day's first departure; null if nobody leaves. */
    public TimeOfDay departure(Day day) {
        for (Exceptional e : exceptions) {
            if (e.day().equals(day)) {
                return e.at();
            }
        }
        return weekly.stream()
                .filter(w -> w.weekdays().contains(day.weekday()))
                .map(Weekly::at)
                .findFirst()
                .orElse(null);
    }
}
