package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/**
 * Operator settings for the scheduler's thresholds and periods.
 *
 * @param waitLimit machines are rented when the predicted wait of the first job in the queue exceeds this
 * @param shortJob a job with a shorter estimated run time counts as short
 * @param minimumPaidTime minimum time for which a machine is paid; its first paid term
 * @param term length of the paid terms after the first; idle machines are returned at the end of a term
 * @param checkPeriod period of the scale-in and scale-out checks
 * @param bootPatience a machine that is not up after this many of its type's boot times no longer counts as capacity
 * @param bootTimeout a machine that is not up after this many boot times is returned
 * @param spotPatience how long a job waits for spot capacity before on-demand machines are rented
 * @param urgentSpotPatience the same for jobs of high urgency
 * @param backlogLimit on-demand machines are rented when the queue would take longer than this to drain
 * @param objectiveFraction on-demand machines are rented when the queue needs more than this fraction of the time left to
 *     an objective
 * @param refusalBackoff how long no machine is requested from a pool that had no capacity
 */
public record SchedulerSettings(
        Span waitLimit,
        Span shortJob,
        Span minimumPaidTime,
        Span term,
        Span checkPeriod,
        double bootPatience,
        double bootTimeout,
        Span spotPatience,
        Span urgentSpotPatience,
        Span backlogLimit,
        double objectiveFraction,
        Span refusalBackoff) {}
