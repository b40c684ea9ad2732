package io.indigoreach.core.calendar;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import java.util.List;

/**
 * Work that is to be ready before a departure, again and again.
 *
 * @param at by when, where that is not the depot's own departure; else null
 * @param days which days it is for
 * @param margin time between its end and the departure
 * @param template the job; its id stands for nothing
 */
public record Plan(
        String name,
        String depot,
        TimeOfDay at,
        Days days,
        Span margin,
        OnHoliday onHoliday,
        List<Boost> boosts,
        JobSpec template) {
    /** What becomes of it on a holiday of the depot's region. */
    public enum OnHoliday {
        RUN,
        SKIP,
        /** Ready for the last departure before that is no holiday's. */
        EARLIER
    }

    /** A rule of days; an empty list stands for any. Day 31 means only months that have one, and 29 in February leap years. */
    public record Days(List<Integer> weekdays, List<Integer> daysOfMonth, List<Integer> months) {
        public Days {
            weekdays = List.copyOf(weekdays);
            daysOfMonth = List.copyOf(daysOfMonth);
            months = List.copyOf(months);
        }

        boolean has(Day day) {
            return allows(weekdays, day.weekday())
                    && allows(daysOfMonth, day.dayOfMonth())
                    && allows(months, day.month());
        }

        private static boolean allows(List<Integer> any, int value) {
            return any.isEmpty() || any.contains(value);
        }
    }

    /** In a season it has so many times the tasks. */
    public record Boost(String season, double times) {}

    public Plan {
        boosts = List.copyOf(boosts);
    }
}
