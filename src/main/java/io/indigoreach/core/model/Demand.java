package io.indigoreach.core.model;

/** What a task takes of its machine, or a machine has to give. */
public record Demand(double cores, double gpus, double ramGb) {
    public static final Demand NOTHING = new Demand(0, 0, 0);
    private static final double EPS = 1e-6;

    public Demand plus(Demand other) {
        return new Demand(cores + other.cores, gpus + other.gpus, ramGb + other.ramGb);
    }

    public Demand minus(Demand other) {
        return new Demand(cores - other.cores, gpus - other.gpus, ramGb - other.ramGb);
    }

    public boolean fitsIn(Demand room) {
        return cores <= room.cores + EPS && gpus <= room.gpus + EPS && ramGb <= room.ramGb + EPS;
    }

    /** The part of {@code whole} that this takes, of what it takes most of. */
    public double shareOf(Demand whole) {
        return Math.max(part(cores, whole.cores), Math.max(part(gpus, whole.gpus), part(ramGb, whole.ramGb)));
    }

    private static double part(double taken, double whole) {
        return taken <= EPS ? 0 : taken / whole;
    }

    /** How many times this fits into {@code room}. */
    public int timesIn(Demand room) {
        double n = 1e6;
        if (cores > EPS) {
            n = Math.min(n, (room.cores + EPS) / cores);
        }
        if (gpus > EPS) {
            n = Math.min(n, (room.gpus + EPS) / gpus);
        }
        if (ramGb > EPS) {
            n = Math.min(n, (room.ramGb + EPS) / ramGb);
        }
        return (int) Math.max(0, Math.floor(n));
    }
}
