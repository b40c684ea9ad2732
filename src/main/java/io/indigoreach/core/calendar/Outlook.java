package io.indigoreach.core.calendar;

import io.indigoreach.core.model.Span;

/**
 * How an occurrence stands: whether it will be ready, by how much it won't, why, and what would mend it.
 *
 * @param mark what was decided; null if nothing yet
 * @param lateBy after the departure; zero if it will be ready
 */
public record Outlook(Forecast.Entry entry, Mark mark, Verdict verdict, Span lateBy, String why, String mend) {
    /** What is to be expected. */
    public enum Verdict {
        READY,
        /** Before the departure, but within the margin. */
        TIGHT,
        LATE,
        NEVER;

        /** Somebody should do something. */
        public boolean isBad() {
            return this == LATE || this == NEVER;
        }
    }

    /** {@code started}: when it was accepted, if it was; the calendar's present departure counts, whatever was decided before. */
    public static Outlook of(Forecast.Entry entry, Mark mark, long now) {
        Occurrence o = entry.occurrence();
        if (mark != null && mark.state() == Mark.State.MISSED) {
            return new Outlook(
                    entry,
                    mark,
                    Verdict.NEVER,
                    Span.ZERO,
                    "it could not be started before its departure",
                    "if it is still of use, submit its job by hand");
        }
        if (mark != null && mark.state() == Mark.State.ENDED) {
            Span late = new Span(Math.max(0, mark.at() - o.departs()));
            return new Outlook(
                    entry,
                    mark,
                    late.ms() > 0 ? Verdict.LATE : mark.at() > o.readyBy() ? Verdict.TIGHT : Verdict.READY,
                    late,
                    mark.note(),
                    "");
        }
        if (!entry.isPossible()) {
            return new Outlook(
                    entry, mark, Verdict.NEVER, Span.ZERO, entry.obstacle(), "change the plan's job, or the limit");
        }
        boolean begun = mark != null && mark.state() == Mark.State.ACCEPTED;
        long start = begun ? mark.at() : Math.max(now, entry.latestStart());
        long ready = Math.max(now, start + entry.needed().ms());
        Span late = new Span(Math.max(0, ready - o.departs()));
        if (late.ms() == 0) {
            return new Outlook(entry, mark, ready > o.readyBy() ? Verdict.TIGHT : Verdict.READY, late, "", "");
        }
        return new Outlook(
                entry,
                mark,
                Verdict.LATE,
                late,
                begun
                        ? "it runs, and takes longer than there is time"
                        : "it takes " + minutes(entry.needed()) + " and there are "
                                + minutes(new Span(o.departs() - now)),
                mend(entry, begun ? mark.at() : now));
    }

    private static String mend(Forecast.Entry entry, long start) {
        long left = entry.occurrence().departs() - start;
        if (entry.besides() != null && entry.alone().ms() <= left) {
            return "plan " + entry.besides().plan().name() + " at another time";
        }
        if (entry.unlimited().ms() <= left) {
            return "more machines: with a place for each task it takes " + minutes(entry.unlimited());
        }
        return "nothing for this departure but a later one; from the next on an earlier start";
    }

    public static String minutes(Span span) {
        return span.ms() < 120_000 ? Math.round(span.seconds()) + " s" : Math.round(span.seconds() / 60) + " min";
    }
}
