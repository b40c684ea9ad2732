package io.indigoreach.cluster;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.JsonSize;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.MachineRecordCodec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One record of the state service with many machines, as a {@link MachineStore} knows it. */
final class MachinePage {
    /** Bytes of a page besides its machines. */
    private static final int EMPTY_PAGE_BYTES = JsonSize.of(MachineRecordCodec.writeMachines(List.of()));

    private final String key;
    /** Of this leadership: the page's first write, made while the page did not exist, may still be executed. */
    private final boolean createdInThisTerm;

    private final Map<MachineId, MachineRecord> machines = new LinkedHashMap<>();
    private Revision revision;
    private boolean revisionUncertain;
    private boolean copiedMachines;

    MachinePage(String key, Revision revision, boolean createdInThisTerm) {
        this.key = key;
        this.revision = revision;
        this.createdInThisTerm = createdInThisTerm;
    }

    /** How many bytes of machines a page may hold. */
    static int maxMachineBytes(NodeContext context) {
        return context.limits().maxRecordBytes() - EMPTY_PAGE_BYTES;
    }

    String key() {
        return key;
    }

    Map<MachineId, MachineRecord> machines() {
        return machines;
    }

    Revision revision() {
        return revision;
    }

    void setRevision(Revision newRevision) {
        revision = newRevision;
    }

    /** A write had no response: the revision must be read before the next write. */
    boolean isRevisionUncertain() {
        return revisionUncertain;
    }

    void setRevisionUncertain(boolean uncertain) {
        revisionUncertain = uncertain;
    }

    /** Machines of this page were copied to other pages, and must still be removed from this one. */
    boolean hasCopiedMachines() {
        return copiedMachines;
    }

    void setHasCopiedMachines(boolean newValue) {
        copiedMachines = newValue;
    }

    /** The page is empty and gets no more machines. */
    boolean isObsolete() {
        return machines.isEmpty() && !createdInThisTerm;
    }

    boolean hasReturnedMachines(SchedulerCore core) {
        return !machines.keySet().stream().allMatch(core::isKnownMachine);
    }

    void removeReturnedMachines(SchedulerCore core) {
        machines.keySet().removeIf(id -> !core.isKnownMachine(id));
    }

    /** Bytes that are free, or become free at the next write, which removes returned machines. */
    int freeBytes(SchedulerCore core, int maxMachineBytes) {
        int usedBytes = machines.values().stream()
                .filter(machine -> core.isKnownMachine(machine.id()))
                .mapToInt(MachineRecordCodec::encodedBytes)
                .sum();
        return maxMachineBytes - usedBytes;
    }
}
