package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Which machines to return. The design's part: an idle machine whose paid term ends before the next check, unless a
 * waiting job of its share can use it. Added to it: machines that will never be of use.
 */
final class ScaleInPolicy {
    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final SafetyTimes rules;
    private final SchedulerSettings tuning;
    private final FailureDetector silence;

    ScaleInPolicy(
            Cluster cluster,
            Dispatcher dispatcher,
            SafetyTimes rules,
            SchedulerSettings tuning,
            FailureDetector silence) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.rules = rules;
        this.tuning = tuning;
        this.silence = silence;
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
        silence.count(now);
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
        if (m.oneWay.isTold()
                && (!silence.isUnreached(m.pool.zone())
                        || now.since(m.oneWay.since()).compareTo(behindCut(m)) > 0)) {
            return "reports but has taken none of " + m.oneWay.missed() + " answers";
        }
        switch (m.phase) {
            case BOOTING:
                if (now.since(m.rented).compareTo(m.type.boot().times(tuning.bootLimit())) > 0
                        && now.since(m.heard).compareTo(rules.leaseBound()) > 0) {
                    return "never came up";
                }
                return silence.isItsOwn(m, now) ? "silent since the take-over" : null;
            case LOST:
                // When most are silent the fault is likely between them and this leader: then keep them.
                return !mostAreLost && now.since(m.heard).compareTo(patience(m)) > 0
                        ? "silent since its lease ran out"
                        : null;
            default:
                if (silence.isItsOwn(m, now) && !m.isIdle()) {
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
                return termEnds(m, now) && !cluster.keeper.keeps(m) && !dispatcher.isWanted(m, now)
                        ? "idle at the end of its term"
                        : null;
        }
    }

    /**
     * How long a machine without a lease is paid for in the hope that it comes back. Where the way to it is at fault,
     * that is until it has cost as much as another one would before it is of any use: its boot and the least that is
     * paid (the rule of the ski rental). Two fleets gave 400 machines back seconds before a cut of 47 s ended, and
     * waited half a minute for others to boot.
     */
    private Span patience(Machine m) {
        Span alone = rules.leaseBound().times(1.5);
        Span behindCut = behindCut(m);
        return silence.isOnTheWay(m.pool.zone()) && behindCut.compareTo(alone) > 0 ? behindCut : alone;
    }

    private Span behindCut(Machine m) {
        return rules.leaseBound().plus(m.type.boot()).plus(tuning.leastPaid());
    }

    boolean termEnds(Machine m, Moment now) {
        return residual(m, now).compareTo(tuning.check()) <= 0;
    }

    /** What is left of the paid term. */
    private Span residual(Machine m, Moment now) {
        long beyond = now.since(m.rented).ms() - tuning.leastPaid().ms();
        long term = Math.max(1, tuning.term().ms());
        return new Span(beyond < 0 ? -beyond : term - beyond % term);
    }
}
