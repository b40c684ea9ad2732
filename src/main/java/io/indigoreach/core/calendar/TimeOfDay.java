package io.indigoreach.core.calendar;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A time by the clock on the wall, in minutes from midnight. */
public record TimeOfDay(int minute) {
    private static final Pattern FORM = Pattern.compile("([01][0-9]|2[0-3]):([0-5][0-9])");

    public TimeOfDay {
        if (minute < 0 || minute >= 24 * 60) {
            throw new IllegalArgumentException("must be a time such as 04:30");
        }
    }

    public static TimeOfDay parse(String text) {
        Matcher m = FORM.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("must be a time such as 04:30");
        }
        return new TimeOfDay(Integer.parseInt(m.group(1)) * 60 + Integer.parseInt(m.group(2)));
    }

    @Override
    public String toString() {
        return (minute < 600 ? "0" : "") + minute / 60 + ":" + (minute % 60 < 10 ? "0" : "") + minute % 60;
    }
}
