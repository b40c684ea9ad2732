package io.indigoreach.core.model;

/** Where a machine can be rented: a type in a zone, spot or on-demand. */
public record MachinePool(String type, String zone, boolean spot) {}
