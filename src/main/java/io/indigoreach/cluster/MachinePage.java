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

/** The local copy that {@link MachineStore} keeps of one state record with many machines. */
final class MachinePage {
    /** Size of a page without machines. */
    private static final int EMPTY_PAGE_BYTES = JsonSize.of(MachineRecordCodec.writeMachines(List.of()));

    private final String key;
    /** Whether this leadership term created the page, so that a delayed first write may still create it. */
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

    /** Returns the maximum number of bytes for machines on a page. */
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

    /** Returns whether a write had an unknown outcome, so that the revision must be read before the next write. */
    boolean isRevisionUncertain() {
        return revisionUncertain;
    }

    void setRevisionUncertain(boolean uncertain) {
        revisionUncertain = uncertain;
    }

    /** Returns whether this page still contains machines that have been copied to another page. */
    boolean hasCopiedMachines() {
        return copiedMachines;
    }

    void setHasCopiedMachines(boolean newValue) {
        copiedMachines = newValue;
    }

    /** Returns whether the page is empty and will receive no more machines. */
    boolean isObsolete() {
        return machines.isEmpty() && !createdInThisTerm;
    }

    boolean hasReturnedMachines(SchedulerCore core) {
        return !machines.keySet().stream().allMatch(core::isKnownMachine);
    }

    void removeReturnedMachines(SchedulerCore core) {
        machines.keySet().removeIf(id -> !core.isKnownMachine(id));
    }

    /** Returns the number of bytes that will be free after the next write, which removes returned machines. */
    int freeBytes(SchedulerCore core, int maxMachineBytes) {
        int usedBytes = machines.values().stream()
                .filter(machine -> core.isKnownMachine(machine.id()))
                .mapToInt(MachineRecordCodec::encodedBytes)
                .sum();
        return maxMachineBytes - usedBytes;
    }
}
