package io.indigoreach.core.calendar;

import java.util.List;

/** A festival's season, such as Onam, whose dates move from year to year; a year that nobody entered is not guessed. */
public record Season(String name, List<Dates> years) {
    /** First and last day. */
    public record Dates(Day from, Day to) {
        boolean overlaps(Dates other) {
            return from.compareTo(other.to) <= 0 && other.from.compareTo(to) <= 0;
        }
    }

    public Season {
        years = List.copyOf(years);
    }

    public boolean isEntered(int year) {
        return years.stream().anyMatch(d -> d.from().year() == year || d.to().year() == year);
    }

    public boolean has(Day day) {
        return years.stream().anyMatch(d -> d.from().compareTo(day) <= 0 && day.compareTo(d.to()) <= 0);
    }
}
