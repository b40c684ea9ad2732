package io.indigoreach.calendar;

import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.CalendarVersion;
import io.indigoreach.core.calendar.Reading;
import io.indigoreach.core.calendar.Register;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;

/** The version in force as this node read it last; its text is read and unpacked only when it is another. */
final class CalendarCache {
    /** The version in force with its head; {@code version} null if no calendar was ever set. */
    record Current(CalendarVersion head, CalendarVersion.Version version, CalendarCodec.Stored stored, String text) {
        int number() {
            return version == null ? 0 : version.number();
        }
    }

    private static final CalendarCodec.Stored NONE = new CalendarCodec.Stored(Calendar.EMPTY, Register.EMPTY, "");

    private Current current;

    /** As it stands now: one request where it has not changed. */
    Future<Current> read(RoutineRunner records) {
        String known = current == null || current.version() == null
                ? null
                : current.version().digest();
        return records.run(new Reading(known)).map(found -> {
            CalendarCodec.Stored stored = found.version() == null
                    ? NONE
                    : found.text() == null ? current.stored() : CalendarCodec.unpack(found.text());
            String text = found.version() == null || found.text() != null ? found.text() : current.text();
            current = new Current(found.head(), found.version(), stored, text);
            return current;
        });
    }

    /** An older version; null if it is not known any more. */
    Future<Current> read(RoutineRunner records, int number) {
        return records.run(new Reading(null, number))
                .map(found -> found.version() == null
                        ? null
                        : new Current(found.head(), found.version(), CalendarCodec.unpack(found.text()), found.text()));
    }
}
