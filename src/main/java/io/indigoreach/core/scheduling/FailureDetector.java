package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells failed machines from a partition of the network. One that hangs or is dead is silent alone; where many of a zone are,
 * the fault is more likely in the network: they work on behind it, and come back when it ends.
 */
final class FailureDetector {
    /** Part of a zone's machines whose heartbeats may be overdue together by their own fault. */
    private static final double ZONE_FAILURE_FRACTION = 0.25;

    private static final double NEARLY_NONE = 0.1;
    private static final double NEARLY_ALL = 0.9;

    /** How many of a zone's machines are in which condition. */
    private static final class ZoneCount {
        private int mayHoldTasks;
        private int overdue;
        private int lost;
        private int unreached;

        private void add(boolean isLost, boolean isOverdue, boolean isUnreached) {
            if (isLost) {
                lost++;
                return;
            }
            mayHoldTasks++;
            overdue += isOverdue ? 1 : 0;
            unreached += isUnreached && !isOverdue ? 1 : 0;
        }
    }

    private final Cluster cluster;
    private final SafetyTimes safetyTimes;
    /** Part of each zone's machines whose heartbeats are overdue, of those that may hold tasks. */
    private final Map<String, Double> overdueFraction = new HashMap<>();
    /** The same of all that were ever up: those whose leases have expired are silent too. */
    private final Map<String, Double> silentFraction = new HashMap<>();
    /** The same with those whose heartbeats show that answers do not reach them. */
    private final Map<String, Double> unreachedFraction = new HashMap<>();

    FailureDetector(Cluster cluster, SafetyTimes safetyTimes) {
        this.cluster = cluster;
        this.safetyTimes = safetyTimes;
    }

    /** Counts again; a single machine's silence is never attributed to the network, however few there are in its zone. */
    void recount(Moment now) {
        Map<String, ZoneCount> counts = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            boolean lost = machine.phase == Machine.Phase.LOST;
            boolean unreached = machine.partition.isSuspected() && machine.phase != Machine.Phase.RETURNING;
            if (mayHoldTasks(machine) || lost || unreached) {
                boolean overdue = now.since(machine.lastHeardAt).compareTo(safetyTimes.heartbeatOverdue()) > 0;
                counts.computeIfAbsent(machine.pool.zone(), zone -> new ZoneCount())
                        .add(lost, overdue, unreached);
            }
        }
        overdueFraction.clear();
        silentFraction.clear();
        unreachedFraction.clear();
        counts.forEach((zone, count) -> {
            int all = count.mayHoldTasks + count.lost;
            int silent = count.overdue + count.lost;
            overdueFraction.put(zone, fraction(count.overdue, count.mayHoldTasks));
            silentFraction.put(zone, fraction(silent, all));
            unreachedFraction.put(zone, fraction(silent + count.unreached, all));
        });
    }

    private static double fraction(int late, int all) {
        if (all == 0) {
            return 0;
        }
        return late == 1 ? Math.min(ZONE_FAILURE_FRACTION, 1.0 / all) : (double) late / all;
    }

    /** Up, or recorded by an earlier leader and without a heartbeat to this one yet. */
    static boolean mayHoldTasks(Machine machine) {
        return machine.phase == Machine.Phase.UP || (machine.phase == Machine.Phase.BOOTING && machine.recorded);
    }

    /**
     * A machine that hangs or is dead holds its tasks until its lease has expired, unless the cloud has taken it back
     * before: once the return is confirmed, everything on it is gone. One that has not sent a heartbeat to this leader yet is
     * given more time to find it, unless nearly all others of its zone have.
     */
    boolean isMachineFailure(Machine machine, Moment now) {
        if (!mayHoldTasks(machine)) {
            return false;
        }
        double overdue = overdueFraction.getOrDefault(machine.pool.zone(), 0.0);
        return overdue <= ZONE_FAILURE_FRACTION
                && now.since(machine.lastHeardAt).compareTo(patience(machine, overdue)) > 0
                && now.since(cluster.awakeSince).compareTo(safetyTimes.suspicionTimeout()) > 0;
    }

    private Span patience(Machine machine, double overdueInZone) {
        if (machine.reconciled) {
            return safetyTimes.suspicionTimeout();
        }
        return overdueInZone > NEARLY_NONE
                ? safetyTimes.suspicionTimeout().plus(safetyTimes.responseTimeout())
                : Span.max(safetyTimes.suspicionTimeout(), safetyTimes.leaderDiscovery());
    }

    /** So many of the zone's machines are silent that the network is at fault. */
    boolean isZoneUnreachable(String zone) {
        return silentFraction.getOrDefault(zone, 0.0) > ZONE_FAILURE_FRACTION;
    }

    /** So many of the zone's machines are silent or receive no answers that the machines are not at fault. */
    boolean isZonePartitioned(String zone) {
        return unreachedFraction.getOrDefault(zone, 0.0) > ZONE_FAILURE_FRACTION;
    }

    /** Nearly none of the zone's machines can be reached: what is rented there now could not be reached either. */
    boolean isZoneCutOff(String zone) {
        return unreachedFraction.getOrDefault(zone, 0.0) >= NEARLY_ALL;
    }
}
