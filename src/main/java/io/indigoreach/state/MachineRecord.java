package io.indigoreach.state;

import io.indigoreach.core.MachineId;
import io.indigoreach.core.Pool;

/** A machine that may hold tasks: when it was asked for, and a moment at which it surely existed, by the time of day. */
public record MachineRecord(MachineId id, Pool pool, long rentedMs, long existedMs) {}
