package io.indigoreach.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which machines to return. The design's part: an idle machine whose paid term ends before the next check, unless a
 * waiting job of its share can use it. Added to it: machines that will never be of use.
 */
final class ReleaseCheck {
    /** Part of a zone's machines whose reports may be overdue together by their own fault. */
    private static final double MOST_OVERDUE = 0.25;
    private static final double NEARLY_NONE_OVERDUE = 0.1;

    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final Rules rules;
    private final Tuning tuning;
    /** Part of each zone's machines whose reports are overdue. */
    private Map<String, Double> overdue = Map.of();

    ReleaseCheck(Cluster cluster, Dispatcher dispatcher, Rules rules, Tuning tuning) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.rules = rules;
        this.tuning = tuning;
    }

    /** The machines to return, each with the reason; they are LEAVING from now on. */
    List<String> check(Moment now, boolean settled) {
        List<String> reasons = new ArrayList<>();
        int up = 0;
        int lost = 0;
        for (Machine m : cluster.machines.values()) {
            up += m.phase == Machine.Phase.UP ? 1 : 0;
            lost += m.phase == Machine.Phase.LOST ? 1 : 0;
        }
        boolean mostAreLost = lost > up;
        overdue = overdue(now);
        for (Machine m : cluster.machines.values()) {
            String reason = m.phase == Machine.Phase.LEAVING ? null : reason(m, now, settled, mostAreLost);
            if (reason != null) {
                m.phase = Machine.Phase.LEAVING;
                m.leavingSince = now;
                cluster.version++;
                reasons.add(m.id + " " + reason);
            }
        }
        return reasons;
    }

    private String reason(Machine m, Moment now, boolean settled, boolean mostAreLost) {
        switch (m.phase) {
            case BOOTING:
                if (now.since(m.rented).compareTo(m.type.boot().times(tuning.bootLimit())) > 0
                        && now.since(m.heard).compareTo(rules.leaseBound()) > 0) {
                    return "never came up";
                }
                return isSilent(m, now) ? "silent since the take-over" : null;
            case LOST:
                // When most are silent the fault is likely between them and this leader: then keep them.
                return !mostAreLost && now.since(m.heard).compareTo(rules.leaseBound().times(1.5)) > 0
                        ? "silent since its lease ran out" : null;
            default:
                if (isSilent(m, now) && !m.isIdle()) {
                    return "silent with " + m.taskCount() + " tasks";
                }
                if (!m.accounted || !m.isIdle()) {
                    return null;
                }
                if (m.condemned) {
                    return "fails what it is given";
                }
                if (!settled) {
                    return null;
                }
                boolean termEnds = residual(m, now).compareTo(tuning.check()) <= 0;
                return termEnds && !dispatcher.isWanted(m, now) ? "idle at the end of its term" : null;
        }
    }

    /**
     * A machine that hangs or is dead holds its tasks until its lease has run out, unless the cloud has taken it back
     * before: once the return is answered, everything on it is gone. But where the reports of many are overdue at once
     * the fault is more likely on the way to them, and they work on. One that has not reported to this leader yet is
     * given more time to find it, unless nearly all others have.
     */
    private boolean isSilent(Machine m, Moment now) {
        if (!mayHoldTasks(m)) {
            return false;
        }
        double part = overdue.getOrDefault(m.pool.zone(), 0.0);
        Span patience = m.accounted ? rules.silence() : part > NEARLY_NONE_OVERDUE
                ? rules.silence().plus(rules.workerPatience()) : longer(rules.silence(), rules.findsLeader());
        return part <= MOST_OVERDUE && now.since(m.heard).compareTo(patience) > 0;
    }

    private static Span longer(Span a, Span b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Up, or recorded by an earlier leader and not heard of yet. */
    private static boolean mayHoldTasks(Machine m) {
        return m.phase == Machine.Phase.UP || m.phase == Machine.Phase.BOOTING && m.recorded;
    }

    /** A single machine's silence is never put down to the way, however few there are in its zone. */
    private Map<String, Double> overdue(Moment now) {
        Map<String, int[]> counts = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (mayHoldTasks(m)) {
                int[] count = counts.computeIfAbsent(m.pool.zone(), z -> new int[2]);
                count[0]++;
                count[1] += now.since(m.heard).compareTo(rules.overdue()) > 0 ? 1 : 0;
            }
        }
        Map<String, Double> parts = new HashMap<>();
        counts.forEach((zone, count) -> parts.put(zone,
                count[1] == 1 ? Math.min(MOST_OVERDUE, 1.0 / count[0]) : (double) count[1] / count[0]));
        return parts;
    }

    /** What is left of the paid term. */
    private Span residual(Machine m, Moment now) {
        long beyond = now.since(m.rented).ms() - tuning.leastPaid().ms();
        long term = Math.max(1, tuning.term().ms());
        return new Span(beyond < 0 ? -beyond : term - beyond % term);
    }
}
