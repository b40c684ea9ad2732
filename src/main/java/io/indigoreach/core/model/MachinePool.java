package io.indigoreach.core.model;

/** The interchangeable machines of one type in one zone, either spot or on-demand. */
public record MachinePool(String type, String zone, boolean spot) {}
