package io.indigoreach.core.model;

/** A duration in milliseconds. */
public record Span(long ms) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    public static Span seconds(double seconds) {
        return new Span(Math.round(seconds * 1000));
    }

    public double seconds() {
        return ms / 1000.0;
    }

    public Span plus(Span other) {
        return new Span(ms + other.ms);
    }

    public Span minus(Span other) {
        return new Span(ms - other.ms);
    }

    public Span times(double factor) {
        return new Span(Math.round(ms * factor));
    }

    /**
     * Returns this duration plus 0.1%, rounded up. Each clock may run fast or slow by 0.05%. If one machine waits for
     * the returned duration, at least the original duration passes on the clock of every other machine.
     */
    public Span plusClockDrift() {
        return new Span(ms + (ms + 999) / 1000);
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(ms, other.ms);
    }

    public static Span max(Span first, Span second) {
        return first.compareTo(second) > 0 ? first : second;
    }
}
