package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/** The mean run time of a job's ended tasks. */
final class RunTimeMean {
    private long totalMs;
    private int runs;

    void add(Span run) {
        totalMs += Math.max(1, run.ms());
        runs++;
    }

    int runs() {
        return runs;
    }

    Span mean() {
        return new Span(totalMs / Math.max(1, runs));
    }
}
