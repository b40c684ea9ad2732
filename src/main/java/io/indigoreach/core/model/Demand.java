package io.indigoreach.core.model;

/** The resources that a task needs of its machine, or that a machine offers. */
public record Demand(double cores, double gpus, double ramGb) {
    public static final Demand NOTHING = new Demand(0, 0, 0);
    private static final double ROUNDING = 1e-6;
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

    /** The part of {@code whole} that this takes, of what it takes most of. */
    public double shareOf(Demand whole) {
        return Math.max(part(cores, whole.cores), Math.max(part(gpus, whole.gpus), part(ramGb, whole.ramGb)));
    }

    private static double part(double taken, double whole) {
        return taken <= ROUNDING ? 0 : taken / whole;
    }

    /** How many times this fits into {@code room}. */
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
