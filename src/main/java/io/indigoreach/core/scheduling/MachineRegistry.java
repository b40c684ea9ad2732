package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Keeps track of the existing machines as they are inherited, rented, adopted, listed, returned or found missing. */
final class MachineRegistry {
    private static final int MIN_RETURNED_MACHINES_KEPT = 1000;
    private static final int RETURNED_KEPT_PER_MACHINE = 8;
    /** By the cloud's specification one listing would suffice; a second one costs little. */
    private static final int MISSED_LISTINGS_TO_REMOVE = 2;

    private final SafetyTimes safetyTimes;
    private final Cluster cluster;
    private final FailoverTracker failover;
    private final InheritedTaskReleaser inheritedTaskReleaser;
    private final MachineAdoptionPolicy adoption;
    private final SchedulerListener listener;
    /**
     * Machines that were returned. They appear in listings and late heartbeats for a while, and must not be adopted
     * again.
     */
    private final Map<MachineId, Boolean> returnedMachines = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineId, Boolean> eldest) {
            return size() > Math.max(MIN_RETURNED_MACHINES_KEPT, RETURNED_KEPT_PER_MACHINE * cluster.machines.size());
        }
    };
    /** Machines whose return an earlier leader recorded. The request may still be executed, so they are not used. */
    private final Set<MachineId> returnsInProgress = new HashSet<>();

    MachineRegistry(
            SafetyTimes safetyTimes,
            Cluster cluster,
            FailoverTracker failover,
            InheritedTaskReleaser inheritedTaskReleaser,
            SchedulerListener listener) {
        this.safetyTimes = safetyTimes;
        this.cluster = cluster;
        this.failover = failover;
        this.inheritedTaskReleaser = inheritedTaskReleaser;
        this.adoption = new MachineAdoptionPolicy(safetyTimes);
        this.listener = listener;
    }

    MachineAdoptionPolicy adoption() {
        return adoption;
    }

    boolean isReturnedOrInProgress(MachineId id) {
        return returnedMachines.containsKey(id) || returnsInProgress.contains(id);
    }

    /**
     * Adds a machine that an earlier leader recorded. It may run any inherited task. No earlier leader has led since
     * {@code now}.
     */
    void inherit(MachineId id, MachinePool pool, Moment rentedAt, Moment existedAt, Moment now) {
        MachineType type = cluster.machineTypes.get(pool.type());
        if (type == null) {
            return;
        }
        Machine machine = new Machine(id, pool, type, rentedAt);
        machine.markInherited(existedAt, now);
        cluster.machines.put(id, machine);
        failover.addUnreconciled(id, now);
    }

    /**
     * The machine that sent the heartbeat, adopted if it is unknown and proved to exist; empty if it remains unknown.
     */
    Optional<Machine> findOrAdopt(Heartbeat heartbeat, FencingToken token, Moment now) {
        Machine known = cluster.machines.get(heartbeat.machine());
        if (known != null) {
            return Optional.of(known);
        }
        return adoption.provesExistence(heartbeat, token) ? adopt(heartbeat, now) : Optional.empty();
    }

    private Optional<Machine> adopt(Heartbeat heartbeat, Moment now) {
        MachineType type = cluster.machineTypes.get(heartbeat.pool().type());
        if (type == null) {
            return Optional.empty();
        }
        listener.log("machine adopted by heartbeat machine=" + heartbeat.machine());
        Machine machine = new Machine(heartbeat.machine(), heartbeat.pool(), type, now);
        cluster.machines.put(machine.id, machine);
        return Optional.of(machine);
    }

    /**
     * Returns the machine with the pool that its heartbeat names. The answer to a rental request can belong to an
     * earlier leader's request of the same name. In that case an on-demand machine was taken for a spot machine, and it
     * could get tasks that must not run there.
     */
    Machine correctPool(Machine machine, MachinePool reportedPool, Moment now) {
        if (machine.pool.equals(reportedPool) || !cluster.machineTypes.containsKey(reportedPool.type())) {
            return machine;
        }
        listener.log("machine pool corrected machine=" + machine.id + " pool=" + reportedPool + " was=" + machine.pool);
        Machine corrected =
                new Machine(machine.id, reportedPool, cluster.machineTypes.get(reportedPool.type()), machine.rentedAt);
        corrected.copyHistoryFrom(machine);
        cluster.removeMachine(machine, now);
        cluster.machines.put(corrected.id, corrected);
        return corrected;
    }

    /** Adds machines that the cloud has just rented to this leader. */
    void onRented(MachinePool pool, List<MachineId> ids, Moment requestedAt, Moment now) {
        for (MachineId id : ids) {
            if (!isReturnedOrInProgress(id)) {
                onRented(pool, id, requestedAt, now);
            }
        }
        cluster.recordChange();
    }

    private void onRented(MachinePool pool, MachineId id, Moment requestedAt, Moment now) {
        Machine known = cluster.machines.get(id);
        if (known != null) {
            known.confirmRental(requestedAt);
            return;
        }
        MachineType type = cluster.machineTypes.get(pool.type());
        if (type != null) {
            Machine machine = new Machine(id, pool, type, requestedAt);
            machine.setKnownToExistAt(now);
            cluster.machines.put(id, machine);
        }
    }

    /**
     * Processes a complete listing from the cloud that was requested at {@code requestedAt}. Listings lag, so absence
     * alone proves nothing. But a listed machine stays listed for as long as it exists, and the lag is bounded: a
     * machine that is known to have existed before the oldest moment that this listing can describe, and is missing
     * from it, no longer exists.
     */
    void onListing(List<ListedMachine> listing, Moment requestedAt, Moment now) {
        Set<MachineId> listedIds = new HashSet<>();
        for (ListedMachine listed : listing) {
            if (!isReturnedOrInProgress(listed.id())) {
                listedIds.add(listed.id());
                onMachineListed(listed, now);
            }
        }
        adoption.onListing(listedIds, requestedAt, now);
        for (Machine machine : new ArrayList<>(cluster.machines.values())) {
            if (!listedIds.contains(machine.id)) {
                onMissing(machine, requestedAt, now);
            }
        }
    }

    private void onMachineListed(ListedMachine listed, Moment now) {
        Machine machine = cluster.machines.get(listed.id());
        if (listed.status() == ListedMachine.Status.FAILED) {
            if (machine == null || machine.phase != Machine.Phase.RETURNING) {
                onFailed(machine, listed, now);
            }
            return;
        }
        if (machine == null && cluster.machineTypes.containsKey(listed.pool().type())) {
            machine = adopt(listed, now);
        }
        if (machine != null) {
            machine.resetMissedListings();
        }
    }

    private Machine adopt(ListedMachine listed, Moment now) {
        listener.log("machine adopted by listing machine=" + listed.id());
        MachineType type = cluster.machineTypes.get(listed.pool().type());
        Machine machine = new Machine(listed.id(), listed.pool(), type, now.minus(listed.timeSinceRequest()));
        machine.markAdopted(now);
        cluster.machines.put(machine.id, machine);
        return machine;
    }

    private void onFailed(Machine known, ListedMachine listed, Moment now) {
        Machine machine = known;
        if (machine == null) {
            MachineType type = cluster.machineTypes.get(listed.pool().type());
            if (type == null) {
                return;
            }
            machine = new Machine(listed.id(), listed.pool(), type, now);
            cluster.machines.put(machine.id, machine);
        }
        listener.log("machine stopped machine=" + machine.id + " tasks=" + machine.taskCount());
        cluster.removeAllPlacements(machine, now);
        inheritedTaskReleaser.markReconciled(machine.id);
        machine.beginReturn(now);
    }

    private void onMissing(Machine machine, Moment requestedAt, Moment now) {
        if (machine.knownToExistAt.isBefore(requestedAt.minus(safetyTimes.oldestListing()))) {
            machine.countMissedListing();
        }
        if (machine.missedListings >= MISSED_LISTINGS_TO_REMOVE) {
            listener.log("machine lost its listing machine=" + machine.id + " tasks=" + machine.taskCount());
            cluster.removeMachine(machine, now);
            inheritedTaskReleaser.markReconciled(machine.id);
            returnedMachines.put(machine.id, true);
        }
    }

    /**
     * Takes over returns that an earlier leader recorded: no task starts on these machines, and their return is
     * completed.
     */
    void inheritReturns(Collection<MachineId> ids, Moment now) {
        for (MachineId id : ids) {
            Machine machine = cluster.machines.get(id);
            if (machine == null) {
                returnsInProgress.add(id);
            } else if (machine.phase != Machine.Phase.RETURNING) {
                machine.beginReturn(now);
            }
        }
    }

    /** At most {@code limit} machines whose return the cloud has not confirmed yet. */
    List<MachineId> machinesToReturn(int limit) {
        List<MachineId> ids =
                new ArrayList<>(returnsInProgress.stream().limit(limit).toList());
        for (Machine machine : cluster.machines.values()) {
            if (machine.phase == Machine.Phase.RETURNING && ids.size() < limit) {
                ids.add(machine.id);
            }
        }
        return ids;
    }

    /** Removes machines whose return the cloud has confirmed. */
    void onReturned(List<MachineId> ids, Moment now) {
        for (MachineId id : ids) {
            Machine machine = cluster.machines.get(id);
            if (machine != null) {
                cluster.removeMachine(machine, now);
            }
            inheritedTaskReleaser.markReconciled(id);
            returnsInProgress.remove(id);
            returnedMachines.put(id, true);
        }
    }
}
