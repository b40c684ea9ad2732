package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.Optional;

/** Decides when a queue scales out, and when a job stops waiting for spot machines. */
final class ScaleOutTrigger {
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SchedulerSettings settings;
    private final JobSizer jobSizer;

    ScaleOutTrigger(DispatchRules rules, Estimates estimates, SchedulerSettings settings, JobSizer jobSizer) {
        this.rules = rules;
        this.estimates = estimates;
        this.settings = settings;
        this.jobSizer = jobSizer;
    }

    /**
     * Returns whether more machines are needed: no start can be predicted for the top job, its predicted wait exceeds
     * the limit, a job has waited too long, or a planned job would miss its deadline on a machine that is requested
     * after the wait limit.
     */
    boolean mustScaleOut(FairShareQueue queue, Job topJob, Moment now) {
        Moment predictedStart =
                rules.reservations().reservationOf(queue, topJob, now).lastStart();
        return predictedStart == null
                || predictedStart.since(topJob.eligibleSince).compareTo(settings.waitLimit()) > 0
                || queue.jobs().stream().anyMatch(job -> hasWaitedTooLong(job, now) || wouldBootTooLate(job, now));
    }

    /**
     * Compares the actual wait of a job with the limit, because jobs behind an urgent job that is served at once could
     * otherwise wait for ever.
     */
    private boolean hasWaitedTooLong(Job job, Moment now) {
        return rules.placement().hasTaskWithinTeamLimit(job)
                && !job.isSuspectedFaulty()
                && now.since(job.eligibleSince).compareTo(settings.waitLimit()) > 0
                && rules.placement().mayStart(job, now);
    }

    /**
     * Extends the rule of section 3 of the paper, which rents machines when the predicted wait of the top job exceeds
     * the limit. Planned work is submitted as late as its prediction allows, which includes a boot. Behind a top job
     * that is served soon, that rule would scale out only when the boot no longer fits before the deadline.
     */
    private boolean wouldBootTooLate(Job job, Moment now) {
        if (!job.spec.isPlanned() || !rules.placement().hasTaskWithinTeamLimit(job) || job.isSuspectedFaulty()) {
            return false;
        }
        Optional<MachineType> type = jobSizer.cheapestType(job);
        return type.isPresent()
                && !endOnNewMachine(job, type.get(), now).isBefore(job.dueAt())
                && rules.placement().mayStart(job, now);
    }

    /** Returns when a task would end on a machine that is requested after the wait limit. */
    private Moment endOnNewMachine(Job job, MachineType type, Moment now) {
        return now.plus(type.bootTime())
                .plus(estimates.runTime(job))
                .plus(Estimates.fetchTime(job, type))
                .plus(settings.waitLimit());
    }

    /**
     * Returns whether the job may use on-demand machines. Spot machines are always requested first; if there are none,
     * the job waits for the spot patience of its urgency. A planned job, a job without an objective, and a job past the
     * age limit of its objective wait at most for the wait limit: with a longer wait, 94 tasks ran one after another on
     * a single on-demand machine.
     */
    boolean mayUseOnDemand(Job job, Moment now) {
        Span spotPatience = job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                ? settings.urgentSpotPatience()
                : settings.spotPatience();
        if ((rules.order().hasNoReachableObjective(job, now) || job.spec.isPlanned())
                && settings.waitLimit().compareTo(spotPatience) < 0) {
            spotPatience = settings.waitLimit();
        }
        return !job.spec.spotAllowed() || now.since(job.eligibleSince).compareTo(spotPatience) >= 0;
    }
}
