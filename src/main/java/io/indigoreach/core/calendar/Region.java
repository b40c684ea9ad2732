package io.indigoreach.core.calendar;

import java.util.List;

/**
 * The holidays of a place, entered year by year: what nobody entered is not guessed.
 *
 * @param years those that are entered, though they may have no holiday
 */
public record Region(String name, List<Integer> years, List<Holiday> holidays) {
    public record Holiday(Day day, String name) {}

    public Region {
        years = List.copyOf(years);
        holidays = List.copyOf(holidays);
    }

    public boolean isEntered(int year) {
        return years.contains(year);
    }

    /** Its name; null if the day is none. */
    public String holiday(Day day) {
        return holidays.stream()
                .filter(h -> h.day().equals(day))
                .map(Holiday::name)
                .findFirst()
                .orElse(null);
    }
}
