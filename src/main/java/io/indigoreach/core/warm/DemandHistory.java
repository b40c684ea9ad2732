package io.indigoreach.core.warm;

import io.indigoreach.core.model.Span;
import java.util.Arrays;

/** The peaks of a model's replicas at each half hour of the last days: what bursts without a calendar are learned from. */
public final class DemandHistory {
    public static final int SLOTS = 48;
    public static final int DAYS = 7;
    private static final long SLOT_MS = 30 * 60_000L;

    /** Per slot the peaks of as many days, the newest last; -1: not seen. */
    private final int[][] peaks = new int[SLOTS][DAYS];

    private long slot = -1;
    private int peak;
    private long changes;

    public DemandHistory() {
        for (int[] days : peaks) {
            Arrays.fill(days, -1);
        }
    }

    /** What was recorded, a number for each slot and day. */
    public static DemandHistory of(int[] recorded) {
        DemandHistory seen = new DemandHistory();
        for (int i = 0; i < Math.min(recorded.length, SLOTS * DAYS); i++) {
            seen.peaks[i / DAYS][i % DAYS] = recorded[i];
        }
        return seen;
    }

    public int[] recorded() {
        return Arrays.stream(peaks).flatMapToInt(Arrays::stream).toArray();
    }

    /** Rises with each slot that is over: then there is something to record. */
    public long changes() {
        return changes;
    }

    public void observe(long atMs, int replicas) {
        long now = atMs / SLOT_MS;
        if (now != slot) {
            if (slot >= 0 && now > slot) {
                int[] days = peaks[(int) (slot % SLOTS)];
                System.arraycopy(days, 1, days, 0, DAYS - 1);
                days[DAYS - 1] = peak;
                changes++;
            }
            slot = now;
            peak = 0;
        }
        peak = Math.max(peak, replicas);
    }

    /** What the slots from now for {@code ahead} ask for by earlier days. */
    public int expected(long atMs, Span ahead, double ratio) {
        int most = 0;
        for (long s = atMs / SLOT_MS; s <= (atMs + ahead.ms()) / SLOT_MS; s++) {
            int[] days = Arrays.stream(peaks[(int) (s % SLOTS)])
                    .filter(n -> n >= 0)
                    .sorted()
                    .toArray();
            most = Math.max(most, PoolSizing.seen(days, ratio));
        }
        return most;
    }
}
