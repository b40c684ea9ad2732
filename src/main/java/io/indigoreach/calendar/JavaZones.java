package io.indigoreach.calendar;

import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.TimeOfDay;
import io.indigoreach.core.calendar.Zones;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Time zones by java.time, whose table comes with the Java runtime. */
public final class JavaZones implements Zones {
    private static final DateTimeFormatter TEXT = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm zzz", Locale.ROOT);

    @Override
    public boolean isKnown(String zone) {
        return ZoneId.getAvailableZoneIds().contains(zone);
    }

    @Override
    public long instant(String zone, Day day, TimeOfDay time) {
        // Of a time that comes twice java.time gives the first, one that is skipped it moves by the gap.
        return local(day, time)
                .atZone(ZoneId.of(zone))
                .withEarlierOffsetAtOverlap()
                .toInstant()
                .toEpochMilli();
    }

    @Override
    public boolean isSkipped(String zone, Day day, TimeOfDay time) {
        return ZoneId.of(zone).getRules().getValidOffsets(local(day, time)).isEmpty();
    }

    @Override
    public Day dayAt(String zone, long ms) {
        return new Day(
                Instant.ofEpochMilli(ms).atZone(ZoneId.of(zone)).toLocalDate().toEpochDay());
    }

    @Override
    public String text(String zone, long ms) {
        return TEXT.format(Instant.ofEpochMilli(ms).atZone(ZoneId.of(zone)));
    }

    private static LocalDateTime local(Day day, TimeOfDay time) {
        return LocalDate.ofEpochDay(day.number()).atStartOfDay().plusMinutes(time.minute());
    }
}
