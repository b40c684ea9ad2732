package io.indigoreach.core.model;

/** A point in time on this process's monotonic clock, in milliseconds since an arbitrary origin. */
public record Moment(long ms) implements Comparable<Moment> {
    /** Earlier than every other moment; stands for an event that has not happened. */
    public static final Moment NEVER = new Moment(Long.MIN_VALUE / 4);

    public Moment plus(Span span) {
        return new Moment(ms + span.ms());
    }

    public Moment minus(Span span) {
        return new Moment(ms - span.ms());
    }

    /** Returns the time from {@code earlier} until this moment. */
    public Span since(Moment earlier) {
        return new Span(ms - earlier.ms);
    }

    public boolean isBefore(Moment other) {
        return ms < other.ms;
    }

    public boolean isAfter(Moment other) {
        return ms > other.ms;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(ms, other.ms);
    }
}
