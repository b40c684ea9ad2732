package io.indigoreach.core.model;

import java.util.List;

/**
 * A type of machine from the cloud's catalogue.
 *
 * @param capacity the resources for tasks
 * @param imageCacheGb the size of the image cache in GB
 * @param imageFetchGbPerS the speed of image fetches in GB per second
 * @param onDemandPrice the price per hour of an on-demand machine
 * @param spotPrice the nominal price per hour of a spot machine
 * @param bootTime the usual boot time
 * @param zones the zones that offer this type
 */
public record MachineType(
        String name,
        Resources capacity,
        double imageCacheGb,
        double imageFetchGbPerS,
        double onDemandPrice,
        double spotPrice,
        Span bootTime,
        List<String> zones) {
    public MachineType {
        zones = List.copyOf(zones);
    }
}
