package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/**
 * The operators' values for the design's thresholds and periods.
 *
 * @param waitLimit predicted wait of the top job above which machines are rented
 * @param shortJob estimate below which a job counts as short
 * @param leastPaid what a machine costs at least; its first paid term
 * @param term the length of the paid terms after the first, at whose ends an idle machine is returned
 * @param check period of the release check, and of renting
 * @param bootPatience a machine not up after this many of its type's boot times is no longer counted on
 * @param bootLimit a machine not up after this many boot times is returned
 * @param spotPatience how long a job waits for spot capacity before ordinary machines are rented
 * @param urgentSpotPatience the same for jobs of high urgency
 * @param backlogLimit ordinary machines are rented when the queue would take longer than this to drain
 * @param aimShare part of the time left until an aim into which the queue must fit, else ordinary machines are rented
 * @param refusedFor how long a pool that had no capacity is left alone
 */
public record SchedulerSettings(
        Span waitLimit,
        Span shortJob,
        Span leastPaid,
        Span term,
        Span check,
        double bootPatience,
        double bootLimit,
        Span spotPatience,
        Span urgentSpotPatience,
        Span backlogLimit,
        double aimShare,
        Span refusedFor) {}
