package io.indigoreach.core.model;

import java.util.List;

/** A type of machine as the cloud's catalogue describes it. Prices are per hour. */
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
