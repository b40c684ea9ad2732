package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;

/**
 * What the silence of machines shows. One that hangs or is dead is silent alone; where many of a zone are, the fault is
 * more likely on the way to them: they work on behind it, and come back when it ends.
 */
final class FailureDetector {
    /** Part of a zone's machines whose reports may be overdue together by their own fault. */
    private static final double MOST_OVERDUE = 0.25;

    private static final double NEARLY_NONE = 0.1;
    private static final double NEARLY_ALL = 0.9;

    private final Cluster cluster;
    private final SafetyTimes rules;
    /** Part of each zone's machines whose reports are overdue, of those that may hold tasks. */
    private final Map<String, Double> overdue = new HashMap<>();
    /** The same of all that were ever up: those whose leases have run out are silent too. */
    private final Map<String, Double> silent = new HashMap<>();
    /** The same with those whose reports show that answers do not reach them. */
    private final Map<String, Double> unreached = new HashMap<>();

    FailureDetector(Cluster cluster, SafetyTimes rules) {
        this.cluster = cluster;
        this.rules = rules;
    }

    /** Counts anew; a single machine's silence is never put down to the way, however few there are in its zone. */
    void count(Moment now) {
        Map<String, int[]> counts = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            boolean lost = m.phase == Machine.Phase.LOST;
            boolean doubted = m.oneWay.isDoubted() && m.phase != Machine.Phase.LEAVING;
            if (mayHoldTasks(m) || lost || doubted) {
                int[] count = counts.computeIfAbsent(m.pool.zone(), z -> new int[4]);
                boolean late = now.since(m.heard).compareTo(rules.overdue()) > 0;
                count[0] += lost ? 0 : 1;
                count[1] += !lost && late ? 1 : 0;
                count[2] += lost ? 1 : 0;
                count[3] += doubted && !lost && !late ? 1 : 0;
            }
        }
        overdue.clear();
        silent.clear();
        unreached.clear();
        counts.forEach((zone, count) -> {
            overdue.put(zone, part(count[1], count[0]));
            silent.put(zone, part(count[1] + count[2], count[0] + count[2]));
            unreached.put(zone, part(count[1] + count[2] + count[3], count[0] + count[2]));
        });
    }

    private static double part(int late, int all) {
        return all == 0 ? 0 : late == 1 ? Math.min(MOST_OVERDUE, 1.0 / all) : (double) late / all;
    }

    /** Up, or recorded by an earlier leader and not heard of yet. */
    static boolean mayHoldTasks(Machine m) {
        return m.phase == Machine.Phase.UP || (m.phase == Machine.Phase.BOOTING && m.recorded);
    }

    /**
     * A machine that hangs or is dead holds its tasks until its lease has run out, unless the cloud has taken it back
     * before: once the return is answered, everything on it is gone. One that has not reported to this leader yet is
     * given more time to find it, unless nearly all others of its zone have.
     */
    boolean isItsOwn(Machine m, Moment now) {
        if (!mayHoldTasks(m)) {
            return false;
        }
        double part = overdue.getOrDefault(m.pool.zone(), 0.0);
        Span patience = m.accounted
                ? rules.silence()
                : part > NEARLY_NONE
                        ? rules.silence().plus(rules.workerPatience())
                        : Span.longer(rules.silence(), rules.findsLeader());
        return part <= MOST_OVERDUE
                && now.since(m.heard).compareTo(patience) > 0
                && now.since(cluster.awake).compareTo(rules.silence()) > 0;
    }

    /** So many of the zone's machines are silent that the way to them is at fault. */
    boolean isOnTheWay(String zone) {
        return silent.getOrDefault(zone, 0.0) > MOST_OVERDUE;
    }

    /** So many of the zone's machines are silent or take no answers that those are not to blame. */
    boolean isUnreached(String zone) {
        return unreached.getOrDefault(zone, 0.0) > MOST_OVERDUE;
    }

    /** Nothing is heard of the zone, or nobody there hears: what is rented there now could not be reached either. */
    boolean isCutOff(String zone) {
        return unreached.getOrDefault(zone, 0.0) >= NEARLY_ALL;
    }
}
