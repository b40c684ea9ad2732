package io.indigoreach.state;

/** The data format to which this process has seen the deployment raised. It never falls, whatever the state service loses. */
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
