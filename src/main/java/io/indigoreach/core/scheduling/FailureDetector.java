package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.Map;

/**
 * Distinguishes failed machines from a network partition. A machine that hangs or is dead is usually the only silent
 * one. If many machines of a zone are silent, the network is more likely at fault: the machines keep working and become
 * reachable again when the partition ends.
 */
final class FailureDetector {
    /**
     * Up to this fraction of a zone's machines, overdue heartbeats are attributed to the machines and not to the
     * network.
     */
    private static final double ZONE_FAILURE_FRACTION = 0.25;

    private static final double LOW_OVERDUE_FRACTION = 0.1;
    private static final double FULL_PARTITION_FRACTION = 0.9;

    /** Counts of a zone's machines by condition. */
    private static final class ZoneCounts {
        private int mayHoldTasks;
        private int overdue;
        private int lost;
        private int notReceivingAnswers;

        private void add(boolean isLost, boolean isOverdue, boolean isNotReceivingAnswers) {
            if (isLost) {
                lost++;
                return;
            }
            mayHoldTasks++;
            overdue += isOverdue ? 1 : 0;
            notReceivingAnswers += isNotReceivingAnswers && !isOverdue ? 1 : 0;
        }
    }

    private final Cluster cluster;
    private final SafetyTimes safetyTimes;
    /** Fraction of each zone's machines with overdue heartbeats, among those that may hold tasks. */
    private final Map<String, Double> overdueFraction = new HashMap<>();
    /** Fraction of each zone's machines that are silent, including those whose leases have expired. */
    private final Map<String, Double> silentFraction = new HashMap<>();
    /** Fraction of each zone's machines that are silent or whose heartbeats show that answers do not reach them. */
    private final Map<String, Double> partitionedFraction = new HashMap<>();

    FailureDetector(Cluster cluster, SafetyTimes safetyTimes) {
        this.cluster = cluster;
        this.safetyTimes = safetyTimes;
    }

    /**
     * Recounts all zones. A single silent machine is never attributed to the network, however few machines its zone
     * has.
     */
    void countZones(Moment now) {
        Map<String, ZoneCounts> counts = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            boolean lost = machine.phase == Machine.Phase.LOST;
            boolean notReceivingAnswers =
                    machine.partitionDetector.isSuspected() && machine.phase != Machine.Phase.RETURNING;
            if (mayHoldTasks(machine) || lost || notReceivingAnswers) {
                boolean overdue = now.since(machine.lastAnsweredAt).compareTo(safetyTimes.heartbeatOverdue()) > 0;
                counts.computeIfAbsent(machine.pool.zone(), zone -> new ZoneCounts())
                        .add(lost, overdue, notReceivingAnswers);
            }
        }
        overdueFraction.clear();
        silentFraction.clear();
        partitionedFraction.clear();
        counts.forEach((zone, count) -> {
            int total = count.mayHoldTasks + count.lost;
            int silent = count.overdue + count.lost;
            overdueFraction.put(zone, fraction(count.overdue, count.mayHoldTasks));
            silentFraction.put(zone, fraction(silent, total));
            partitionedFraction.put(zone, fraction(silent + count.notReceivingAnswers, total));
        });
    }

    private static double fraction(int count, int total) {
        if (total == 0) {
            return 0;
        }
        return count == 1 ? Math.min(ZONE_FAILURE_FRACTION, 1.0 / total) : (double) count / total;
    }

    /** Whether the machine is up, or was recorded by an earlier leader and has not sent this leader a heartbeat yet. */
    static boolean mayHoldTasks(Machine machine) {
        return machine.phase == Machine.Phase.UP || (machine.phase == Machine.Phase.BOOTING && machine.hasRecord);
    }

    /**
     * Whether the machine is presumed to hang or to be dead, so that it should be returned to the cloud. Its tasks are
     * blocked until its lease expires or the cloud confirms the return, which ends everything on it. A machine that has
     * not yet sent this leader a heartbeat gets more time to find it, unless nearly all other machines of its zone have
     * done so.
     */
    boolean isMachineFailure(Machine machine, Moment now) {
        if (!mayHoldTasks(machine)) {
            return false;
        }
        double overdue = overdueFraction.getOrDefault(machine.pool.zone(), 0.0);
        return overdue <= ZONE_FAILURE_FRACTION
                && now.since(machine.lastAnsweredAt).compareTo(silenceTimeout(machine, overdue)) > 0
                && now.since(cluster.eventLoopRunningSince).compareTo(safetyTimes.suspicionTimeout()) > 0;
    }

    private Span silenceTimeout(Machine machine, double overdueInZone) {
        if (machine.reconciled) {
            return safetyTimes.suspicionTimeout();
        }
        return overdueInZone > LOW_OVERDUE_FRACTION
                ? safetyTimes.suspicionTimeout().plus(safetyTimes.responseTimeout())
                : Span.max(safetyTimes.suspicionTimeout(), safetyTimes.leaderDiscovery());
    }

    /** Whether so many of the zone's machines are silent that the network is presumed to be at fault. */
    boolean isZoneUnreachable(String zone) {
        return silentFraction.getOrDefault(zone, 0.0) > ZONE_FAILURE_FRACTION;
    }

    /**
     * Whether so many of the zone's machines are silent or receive no answers that the network is presumed to be at
     * fault.
     */
    boolean isZonePartitioned(String zone) {
        return partitionedFraction.getOrDefault(zone, 0.0) > ZONE_FAILURE_FRACTION;
    }

    /**
     * Whether hardly any of the zone's machines can be reached, so that newly rented ones could not be reached either.
     */
    boolean isZoneFullyPartitioned(String zone) {
        return partitionedFraction.getOrDefault(zone, 0.0) >= FULL_PARTITION_FRACTION;
    }
}
