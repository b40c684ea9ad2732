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
    private static final double ZONE_FAILURE_FRACTION = 0.25;

    private static final double NEARLY_NONE = 0.1;
    private static final double NEARLY_ALL = 0.9;

    private final Cluster cluster;
    private final SafetyTimes rules;
    /** Part of each zone's machines whose reports are overdue, of those that may hold tasks. */
    private final Map<String, Double> overdueFraction = new HashMap<>();
    /** The same of all that were ever up: those whose leases have run out are silent too. */
    private final Map<String, Double> silentFraction = new HashMap<>();
    /** The same with those whose reports show that answers do not reach them. */
    private final Map<String, Double> unreachedFraction = new HashMap<>();

    FailureDetector(Cluster cluster, SafetyTimes rules) {
        this.cluster = cluster;
        this.rules = rules;
    }

    /** Counts anew; a single machine's silence is never put down to the way, however few there are in its zone. */
    void recount(Moment now) {
        Map<String, int[]> counts = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            boolean lost = machine.phase == Machine.Phase.LOST;
            boolean doubted = machine.partition.isSuspected() && machine.phase != Machine.Phase.RETURNING;
            if (mayHoldTasks(machine) || lost || doubted) {
                int[] count = counts.computeIfAbsent(machine.pool.zone(), z -> new int[4]);
                boolean late = now.since(machine.lastHeardAt).compareTo(rules.heartbeatOverdue()) > 0;
                count[0] += lost ? 0 : 1;
                count[1] += !lost && late ? 1 : 0;
                count[2] += lost ? 1 : 0;
                count[3] += doubted && !lost && !late ? 1 : 0;
            }
        }
        overdueFraction.clear();
        silentFraction.clear();
        unreachedFraction.clear();
        counts.forEach((zone, count) -> {
            overdueFraction.put(zone, fraction(count[1], count[0]));
            silentFraction.put(zone, fraction(count[1] + count[2], count[0] + count[2]));
            unreachedFraction.put(zone, fraction(count[1] + count[2] + count[3], count[0] + count[2]));
        });
    }

    private static double fraction(int late, int all) {
        return all == 0 ? 0 : late == 1 ? Math.min(ZONE_FAILURE_FRACTION, 1.0 / all) : (double) late / all;
    }

    /** Up, or recorded by an earlier leader and not heard of yet. */
    static boolean mayHoldTasks(Machine machine) {
        return machine.phase == Machine.Phase.UP || (machine.phase == Machine.Phase.BOOTING && machine.recorded);
    }

    /**
     * A machine that hangs or is dead holds its tasks until its lease has run out, unless the cloud has taken it back
     * before: once the return is answered, everything on it is gone. One that has not reported to this leader yet is
     * given more time to find it, unless nearly all others of its zone have.
     */
    boolean isMachineFailure(Machine machine, Moment now) {
        if (!mayHoldTasks(machine)) {
            return false;
        }
        double part = overdueFraction.getOrDefault(machine.pool.zone(), 0.0);
        Span patience = machine.reconciled
                ? rules.suspicionTimeout()
                : part > NEARLY_NONE
                        ? rules.suspicionTimeout().plus(rules.responseTimeout())
                        : Span.longer(rules.suspicionTimeout(), rules.leaderDiscovery());
        return part <= ZONE_FAILURE_FRACTION
                && now.since(machine.lastHeardAt).compareTo(patience) > 0
                && now.since(cluster.awakeSince).compareTo(rules.suspicionTimeout()) > 0;
    }

    /** So many of the zone's machines are silent that the way to them is at fault. */
    boolean isZoneUnreachable(String zone) {
        return silentFraction.getOrDefault(zone, 0.0) > ZONE_FAILURE_FRACTION;
    }

    /** So many of the zone's machines are silent or take no answers that those are not to blame. */
    boolean isZonePartitioned(String zone) {
        return unreachedFraction.getOrDefault(zone, 0.0) > ZONE_FAILURE_FRACTION;
    }

    /** Nothing is heard of the zone, or nobody there hears: what is rented there now could not be reached either. */
    boolean isZoneCutOff(String zone) {
        return unreachedFraction.getOrDefault(zone, 0.0) >= NEARLY_ALL;
    }
}
