package io.indigoreach.state;

/** The highest data format that this process has seen in the token counter. It never decreases, even if the counter is lost. */
final class DataFormatTracker {
    private int highest = CounterRecord.ORIGINAL_FORMAT;

    void observe(CounterRecord counter) {
        highest = Math.max(highest, counter.format());
    }

    int highest() {
        return highest;
    }

    boolean isNewest() {
        return highest == CounterRecord.NEWEST_FORMAT;
    }
}
