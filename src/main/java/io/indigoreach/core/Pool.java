package io.indigoreach.core;

/** Where a machine can be rented: a type in a zone, spot or ordinary. */
public record Pool(String type, String zone, boolean spot) {}
