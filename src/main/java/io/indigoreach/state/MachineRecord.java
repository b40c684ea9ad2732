package io.indigoreach.state;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;

/** A machine that may hold tasks: when it was asked for, and a moment at which it surely existed, by the time of day. */
public record MachineRecord(MachineId id, MachinePool pool, long rentedMs, long knownToExistMs) {}
