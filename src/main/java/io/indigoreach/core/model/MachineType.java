package io.indigoreach.core.model;

import java.util.List;

/** A type of machine as the cloud's catalogue describes it. Prices are per hour. */
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
