package io.indigoreach.core;

import java.util.Comparator;
import java.util.TreeSet;

/** A team's queue of open jobs. Machines name the share that they serve; the leader moves idle ones. */
final class Share {
    /** Urgency first, then the order of arrival: the paper's priority queue. */
    private static final Comparator<Job> ORDER = Comparator.<Job, Urgency>comparing(j -> j.spec.urgency())
            .thenComparingLong(j -> j.submittedMs).thenComparing(Job::id);

    final Team team;
    final TreeSet<Job> queue = new TreeSet<>(ORDER);
    private double cores;
    private double gpus;

    Share(Team team) {
        this.team = team;
    }

    void used(Demand demand, int sign) {
        cores += sign * demand.cores();
        gpus += sign * demand.gpus();
    }

    double cores() {
        return cores;
    }

    boolean hasRoomFor(Demand demand) {
        return team.allows(cores + demand.cores(), gpus + demand.gpus());
    }

    boolean isWithinGuarantee(Demand more) {
        return team.isWithinGuarantee(cores + more.cores(), gpus + more.gpus());
    }
}
