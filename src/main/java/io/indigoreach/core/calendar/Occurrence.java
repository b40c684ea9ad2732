package io.indigoreach.core.calendar;

/**
 * A plan on one of its days. Plan and day name it for good: a departure that is moved, even to another day, makes no other
 * occurrence of it.
 *
 * @param departs the departure in milliseconds since 1970; where it is not known, the end of its day
 * @param tasks of its job
 * @param reason why it runs otherwise than usual, or does not; empty if there is nothing to say
 */
public record Occurrence(Plan plan, Day day, Kind kind, long departs, int tasks, String reason) {
    /** What the calendar says of it. */
    public enum Kind {
        RUNS,
        SKIPPED,
        /** It rests on a year that nobody entered: it is not started on a guess. */
        UNKNOWN
    }

    public boolean runs() {
        return kind == Kind.RUNS;
    }

    /** By when it is to be ready. */
    public long readyBy() {
        return departs - plan.margin().ms();
    }

    /** The word for it in commands and messages. */
    public String name() {
        return plan.name() + "@" + day;
    }
}
