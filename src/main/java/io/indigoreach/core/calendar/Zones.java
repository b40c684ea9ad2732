package io.indigoreach.core.calendar;

/** What is known of time zones; the core has no clock and no table of them. */
public interface Zones {
    boolean isKnown(String zone);

    /**
     * The instant of a local time, in milliseconds since 1970. A time that comes twice is its first: drivers leave by the
     * clock on the wall, and whoever is early is not late. A time that is skipped is as much later as the clock is put on.
     */
    long instant(String zone, Day day, TimeOfDay time);

    /** The clock is put on across this time, so that nobody ever reads it. */
    boolean isSkipped(String zone, Day day, TimeOfDay time);

    Day dayAt(String zone, long ms);

    /** An instant as people there read it, for messages. */
    String text(String zone, long ms);
}
