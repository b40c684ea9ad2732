package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Distributes machine requests over the zones, without pools that have recently refused a request. */
final class ZoneBalancer {
    /** Maximum number of machines per request. */
    static final int MAXIMUM_REQUEST_SIZE = 50;

    private final Cluster cluster;
    private final FailureDetector failureDetector;
    private final Span refusalBackoff;
    private final Map<MachinePool, Moment> refusedUntil = new HashMap<>();

    ZoneBalancer(Cluster cluster, FailureDetector failureDetector, Span refusalBackoff) {
        this.cluster = cluster;
        this.failureDetector = failureDetector;
        this.refusalBackoff = refusalBackoff;
    }

    /** Records that the pool had no capacity. No request is sent to it until the refusal backoff has passed. */
    void recordRefusal(MachinePool pool, Moment now) {
        refusedUntil.put(pool, now.plus(refusalBackoff));
    }

    /** Returns whether a request to the pool may succeed now. */
    boolean mayRequest(MachinePool pool, Moment now) {
        return !isRefused(pool, now) && !failureDetector.isZoneFullyPartitioned(pool.zone());
    }

    private boolean isRefused(MachinePool pool, Moment now) {
        Moment until = refusedUntil.get(pool);
        return until != null && now.isBefore(until);
    }

    /** Returns whether at least one pool that the job may use has not recently refused a request. */
    boolean canRentFor(Job job, MachineType type, Moment now) {
        return type.zones().stream()
                .filter(zone -> JobSizer.mayRunInZone(job, zone))
                .anyMatch(zone -> (job.spec.spotAllowed() && !isRefused(new MachinePool(type.name(), zone, true), now))
                        || !isRefused(new MachinePool(type.name(), zone, false), now));
    }

    /**
     * Distributes {@code count} machines over the zones, one request at a time, the zone with the fewest machines
     * first. Pools that recently refused a request are left out. Adds the machines to {@code requested}, and returns false
     * if no pool accepts requests.
     */
    boolean distribute(
            Job job, MachineType type, boolean spot, int count, Moment now, Map<MachinePool, Integer> requested) {
        Map<MachinePool, Integer> machinesByPool = new LinkedHashMap<>();
        for (String zone : type.zones()) {
            MachinePool pool = new MachinePool(type.name(), zone, spot);
            if (JobSizer.mayRunInZone(job, zone) && !isRefused(pool, now)) {
                machinesByPool.put(pool, 0);
            }
        }
        if (machinesByPool.keySet().stream().anyMatch(pool -> !failureDetector.isZoneFullyPartitioned(pool.zone()))) {
            machinesByPool.keySet().removeIf(pool -> failureDetector.isZoneFullyPartitioned(pool.zone()));
        }
        if (machinesByPool.isEmpty()) {
            return false;
        }
        for (Machine machine : cluster.machines.values()) {
            machinesByPool.computeIfPresent(machine.pool, (pool, machines) -> machines + 1);
        }
        for (int remaining = count; remaining > 0; remaining -= MAXIMUM_REQUEST_SIZE) {
            int machines = Math.min(remaining, MAXIMUM_REQUEST_SIZE);
            MachinePool smallestPool = machinesByPool.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
            requested.merge(smallestPool, machines, Integer::sum);
            machinesByPool.merge(smallestPool, machines, Integer::sum);
        }
        return true;
    }
}
