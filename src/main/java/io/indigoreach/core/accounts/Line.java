package io.indigoreach.core.accounts;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;

/**
 * An open interval: a machine that is being paid for, and what it is kept for. Times by the time of day.
 *
 * @param paidToMs up to here its money stands in the sums
 * @param payer pays for what no task uses
 * @param image the image it is kept for, {@code gb} its size; empty if it is in no pool
 * @param session the worker's session in which the image was held; 0: not known to be held
 */
public record Line(
        MachineId machine,
        MachinePool where,
        long begunMs,
        long paidToMs,
        Account payer,
        String image,
        double gb,
        long session) {
    public Line paidTo(long ms) {
        return new Line(machine, where, begunMs, ms, payer, image, gb, session);
    }
}
