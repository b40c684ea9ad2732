package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;

/** A request to rent {@code count} more machines from a pool. */
public record ScaleOutRequest(MachinePool pool, int count) {}
