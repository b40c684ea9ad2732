package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;

/** A request for {@code count} more machines of a pool. */
public record ScaleOutRequest(MachinePool pool, int count) {}
