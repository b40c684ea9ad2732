package io.indigoreach.core.calendar;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A day of the civil calendar, counted from 1970-01-01; it belongs to no time zone. The sums are those of H. Hinnant,
 * "chrono-compatible low-level date algorithms" (2014): years begin in March, so that 29 February is a year's last day.
 */
public record Day(long number) implements Comparable<Day> {
    private static final Pattern FORM = Pattern.compile("([0-9]{4})-([0-9]{2})-([0-9]{2})");
    private static final long TO_1970 = 719_468;
    private static final long DAYS_400_YEARS = 146_097;

    /** Throws if there is no such day. */
    public static Day of(int year, int month, int dayOfMonth) {
        long y = month <= 2 ? year - 1 : year;
        long era = Math.floorDiv(y, 400);
        long yearOfEra = y - era * 400;
        long dayOfYear = (153L * (month > 2 ? month - 3 : month + 9) + 2) / 5 + dayOfMonth - 1;
        Day day =
                new Day(era * DAYS_400_YEARS + yearOfEra * 365 + yearOfEra / 4 - yearOfEra / 100 + dayOfYear - TO_1970);
        if (day.year() != year || day.month() != month || day.dayOfMonth() != dayOfMonth) {
            throw new IllegalArgumentException("there is no such day");
        }
        return day;
    }

    /** Reads {@code 2026-12-24}; throws with a short reason. */
    public static Day parse(String text) {
        Matcher m = FORM.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("must be a day such as 2026-12-24");
        }
        return of(Integer.parseInt(m.group(1)), Integer.parseInt(m.group(2)), Integer.parseInt(m.group(3)));
    }

    private long era() {
        return Math.floorDiv(number + TO_1970, DAYS_400_YEARS);
    }

    private long yearOfEra() {
        long day = dayOfEra();
        return (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    }

    private long dayOfEra() {
        return number + TO_1970 - era() * DAYS_400_YEARS;
    }

    /** From 1 March. */
    private long dayOfYear() {
        long y = yearOfEra();
        return dayOfEra() - (365 * y + y / 4 - y / 100);
    }

    public int year() {
        return (int) (yearOfEra() + era() * 400) + (month() <= 2 ? 1 : 0);
    }

    public int month() {
        long m = (5 * dayOfYear() + 2) / 153;
        return (int) (m < 10 ? m + 3 : m - 9);
    }

    public int dayOfMonth() {
        long m = (5 * dayOfYear() + 2) / 153;
        return (int) (dayOfYear() - (153 * m + 2) / 5 + 1);
    }

    /** 1 is Monday, 7 is Sunday. */
    public int weekday() {
        return (int) Math.floorMod(number + 3, 7L) + 1;
    }

    public Day plus(long days) {
        return new Day(number + days);
    }

    @Override
    public int compareTo(Day other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return pad(year(), 4) + "-" + pad(month(), 2) + "-" + pad(dayOfMonth(), 2);
    }

    private static String pad(long n, int digits) {
        String text = Long.toString(n);
        return "0".repeat(Math.max(0, digits - text.length())) + text;
    }
}
