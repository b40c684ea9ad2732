package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.Optional;

/** When a queue scales out, and when a job no longer waits for spot machines. */
final class ScaleOutTrigger {
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SchedulerSettings settings;
    private final JobSizing sizing;

    ScaleOutTrigger(DispatchRules rules, Estimates estimates, SchedulerSettings settings, JobSizing sizing) {
        this.rules = rules;
        this.estimates = estimates;
        this.settings = settings;
        this.sizing = sizing;
    }

    /** Whether the top job has no place or waits too long for one, or another job behind it does. */
    boolean mustScaleOut(FairShareQueue queue, Job top, Moment now) {
        Moment start = rules.reservations().reservationOf(queue, top, now).lastStart();
        return start == null
                || start.since(top.eligibleSince).compareTo(settings.waitLimit()) > 0
                || queue.jobs().stream().anyMatch(job -> waitsTooLong(job, now) || bootsTooLate(job, now));
    }

    /** Behind an urgent job that is served at once others may wait for ever: their wait is past the limit, not predicted. */
    private boolean waitsTooLong(Job job, Moment now) {
        return job.hasStartable()
                && !job.isSuspectedFaulty()
                && now.since(job.eligibleSince).compareTo(settings.waitLimit()) > 0
                && rules.placement().mayStart(job, now);
    }

    /**
     * Another exception (the paper's section 3 rents when the top job's predicted wait passes the limit): planned work is
     * submitted as late as its prediction allows, a boot included. Behind a top job that is served soon the trigger would
     * come only when that boot no longer fits before the departure.
     */
    private boolean bootsTooLate(Job job, Moment now) {
        if (!job.spec.isPlanned() || !job.hasStartable() || job.isSuspectedFaulty()) {
            return false;
        }
        Optional<MachineType> type = sizing.cheapestType(job);
        return type.isPresent()
                && !endOnNewMachine(job, type.get(), now).isBefore(job.dueAt())
                && rules.placement().mayStart(job, now);
    }

    /** When a task would end on a machine that is requested after the wait limit. */
    private Moment endOnNewMachine(Job job, MachineType type, Moment now) {
        return now.plus(type.boot())
                .plus(estimates.runTime(job))
                .plus(Estimates.fetchTime(job, type))
                .plus(settings.waitLimit());
    }

    /**
     * Spot machines are requested first in any case. Where none are to be had, an objective says how long the job may
     * wait for one; without an objective that is the wait limit, or the design's rule would not hold: of 94 tasks all went
     * one after the other over a single on-demand machine.
     */
    boolean mayUseOnDemand(Job job, Moment now) {
        Span patience = job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                ? settings.urgentSpotPatience()
                : settings.spotPatience();
        if ((rules.order().hasNoReachableObjective(job, now) || job.spec.isPlanned())
                && settings.waitLimit().compareTo(patience) < 0) {
            patience = settings.waitLimit();
        }
        return !job.spec.spotAllowed() || now.since(job.eligibleSince).compareTo(patience) >= 0;
    }
}
