package io.indigoreach.core;

/** A wish for {@code count} more machines of a pool. */
public record RentWish(Pool pool, int count) {}
