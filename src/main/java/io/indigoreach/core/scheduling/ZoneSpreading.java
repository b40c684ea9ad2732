package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Distributes machine requests over the zones, without pools that have recently refused a request. */
final class ZoneSpreading {
    /** Maximum number of machines per request. */
    static final int MACHINES_PER_REQUEST = 50;

    private final Cluster cluster;
    private final FailureDetector failureDetector;
    private final Span refusalBackoff;
    private final Map<MachinePool, Moment> refusedUntil = new HashMap<>();

    ZoneSpreading(Cluster cluster, FailureDetector failureDetector, Span refusalBackoff) {
        this.cluster = cluster;
        this.failureDetector = failureDetector;
        this.refusalBackoff = refusalBackoff;
    }

    /** Records that the pool had no capacity. No request is sent to it until the refusal backoff has passed. */
    void refused(MachinePool pool, Moment now) {
        refusedUntil.put(pool, now.plus(refusalBackoff));
    }

    /** Returns whether a request to the pool may succeed now. */
    boolean mayRequest(MachinePool pool, Moment now) {
        return !isRefused(pool, now) && !failureDetector.isZoneCutOff(pool.zone());
    }

    private boolean isRefused(MachinePool pool, Moment now) {
        Moment until = refusedUntil.get(pool);
        return until != null && now.isBefore(until);
    }

    /** Returns whether at least one pool that the job may use has not recently refused a request. */
    boolean canBeRented(Job job, MachineType type, Moment now) {
        return type.zones().stream()
                .filter(zone -> JobSizing.mayRunIn(job, zone))
                .anyMatch(zone -> (job.spec.spotAllowed() && !isRefused(new MachinePool(type.name(), zone, true), now))
                        || !isRefused(new MachinePool(type.name(), zone, false), now));
    }

    /**
     * Distributes {@code count} machines over the zones, one request at a time, the zone with the fewest machines
     * first. Pools that recently refused a request are left out. Adds the machines to {@code wanted}, and returns false
     * if no pool accepts requests.
     */
    boolean spread(Job job, MachineType type, boolean spot, int count, Moment now, Map<MachinePool, Integer> wanted) {
        Map<MachinePool, Integer> present = new LinkedHashMap<>();
        for (String zone : type.zones()) {
            MachinePool pool = new MachinePool(type.name(), zone, spot);
            if (JobSizing.mayRunIn(job, zone) && !isRefused(pool, now)) {
                present.put(pool, 0);
            }
        }
        if (present.keySet().stream().anyMatch(pool -> !failureDetector.isZoneCutOff(pool.zone()))) {
            present.keySet().removeIf(pool -> failureDetector.isZoneCutOff(pool.zone()));
        }
        if (present.isEmpty()) {
            return false;
        }
        for (Machine machine : cluster.machines.values()) {
            present.computeIfPresent(machine.pool, (pool, number) -> number + 1);
        }
        for (int left = count; left > 0; left -= MACHINES_PER_REQUEST) {
            int number = Math.min(left, MACHINES_PER_REQUEST);
            MachinePool fewest = present.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
            wanted.merge(fewest, number, Integer::sum);
            present.merge(fewest, number, Integer::sum);
        }
        return true;
    }
}
