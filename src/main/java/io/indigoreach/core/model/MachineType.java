package io.indigoreach.core.model;

import java.util.List;

/**
 * A type of machine from the cloud's catalogue.
 *
 * @param capacity the resources for tasks
 * @param cacheGb the size of the image cache in GB
 * @param fetchGbPerS the speed of image fetches in GB per second
 * @param price the price per hour of an on-demand machine
 * @param spotPrice the nominal price per hour of a spot machine
 * @param boot the usual boot time
 * @param zones the zones that offer this type
 */
public record MachineType(
        String name,
        Demand capacity,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        Span boot,
        List<String> zones) {
    public MachineType {
        zones = List.copyOf(zones);
    }
}
