package io.indigoreach.core.warm;

/**
 * How a pool stands, for people.
 *
 * @param target machines wanted, and {@code why}
 * @param seats machines that it pays for; {@code ready} of them hold the image, {@code coming} boot or fetch it
 * @param hits replicas started where the image was; {@code misses}: where it was not, in this leadership
 * @param lost machines a machine and hour, as seen
 */
public record PoolStatus(
        String pool, int target, String why, int seats, int ready, int coming, long hits, long misses, double lost) {}
