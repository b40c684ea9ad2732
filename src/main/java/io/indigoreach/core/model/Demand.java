package io.indigoreach.core.model;

/** An amount of resources: what a task requires, or what a machine has in total or free. */
public record Demand(double cores, double gpus, double ramGb) {
    public static final Demand NOTHING = new Demand(0, 0, 0);
    /** Sums of fractional amounts may differ by rounding errors. */
    private static final double ROUNDING = 1e-6;
    /** The result of {@link #timesIn} for a task that requires no resources. */
    private static final double UNBOUNDED = 1e6;

    public Demand plus(Demand other) {
        return new Demand(cores + other.cores, gpus + other.gpus, ramGb + other.ramGb);
    }

    public Demand minus(Demand other) {
        return new Demand(cores - other.cores, gpus - other.gpus, ramGb - other.ramGb);
    }

    public boolean fitsIn(Demand room) {
        return cores <= room.cores + ROUNDING && gpus <= room.gpus + ROUNDING && ramGb <= room.ramGb + ROUNDING;
    }

    /** The dominant share: the largest fraction of {@code whole} that this takes of any single resource. */
    public double shareOf(Demand whole) {
        return Math.max(part(cores, whole.cores), Math.max(part(gpus, whole.gpus), part(ramGb, whole.ramGb)));
    }

    private static double part(double taken, double whole) {
        return taken <= ROUNDING ? 0 : taken / whole;
    }

    /** Returns how many tasks with this demand fit into {@code room} together. */
    public int timesIn(Demand room) {
        double times = UNBOUNDED;
        if (cores > ROUNDING) {
            times = Math.min(times, (room.cores + ROUNDING) / cores);
        }
        if (gpus > ROUNDING) {
            times = Math.min(times, (room.gpus + ROUNDING) / gpus);
        }
        if (ramGb > ROUNDING) {
            times = Math.min(times, (room.ramGb + ROUNDING) / ramGb);
        }
        return (int) Math.max(0, Math.floor(times));
    }
}
