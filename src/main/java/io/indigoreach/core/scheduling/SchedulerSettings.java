package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/**
 * The operators' values for the design's thresholds and periods.
 *
 * @param waitLimit predicted wait of the top job above which machines are rented
 * @param shortJob estimate below which a job counts as short
 * @param minimumPaidTime what a machine costs at least; its first paid term
 * @param term the length of the paid terms after the first, at whose ends an idle machine is returned
 * @param checkPeriod period of the scale-in check, and of scale-out
 * @param bootPatience a machine not up after this many of its type's boot times is no longer counted on
 * @param bootTimeout a machine not up after this many boot times is returned
 * @param spotPatience how long a job waits for spot capacity before on-demand machines are rented
 * @param urgentSpotPatience the same for jobs of high urgency
 * @param backlogLimit on-demand machines are rented when the queue would take longer than this to drain
 * @param objectiveShare part of the time left until an objective into which the queue must fit, else on-demand machines are rented
 * @param refusalBackoff how long no request is made to a pool that had no capacity
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
