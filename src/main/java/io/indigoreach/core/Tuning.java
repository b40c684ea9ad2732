package io.indigoreach.core;

/**
 * The operators' values for the design's thresholds and periods.
 *
 * @param waitLimit predicted wait of the top job above which machines are rented
 * @param shortJob estimate below which a job counts as short
 * @param term the paid term at whose end an idle machine is returned
 * @param check period of the release check, and of renting
 * @param bootPatience a machine not up after this many of its type's boot times is no longer counted on
 * @param bootLimit a machine not up after this many boot times is returned
 * @param spotPatience how long work waits for spot capacity before ordinary machines are rented
 * @param refusedFor how long a pool that had no capacity is left alone
 */
public record Tuning(Span waitLimit, Span shortJob, Span term, Span check, double bootPatience, double bootLimit,
                     Span spotPatience, Span refusedFor) {
    public static final Tuning DEFAULT = new Tuning(Span.seconds(45), Span.seconds(60), Span.seconds(60),
            Span.seconds(5), 2.0, 4.0, Span.seconds(60), Span.seconds(10));
}
