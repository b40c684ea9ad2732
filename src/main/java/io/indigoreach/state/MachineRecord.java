package io.indigoreach.state;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;

/**
 * A rented machine that may run tasks.
 *
 * @param rentedMs when the machine was requested, as time of day in ms
 * @param knownToExistMs a time at which the machine is known to have existed, as time of day in ms
 */
public record MachineRecord(MachineId id, MachinePool pool, long rentedMs, long knownToExistMs) {}
