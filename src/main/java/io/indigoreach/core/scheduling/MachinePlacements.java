package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.TaskId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The tasks that may be on one machine, and the resources that they use. */
final class MachinePlacements {
    private final Map<TaskId, Placement> placements = new HashMap<>();
    private int holderCount;
    private Resources used = Resources.NONE;

    void add(Placement placement) {
        placements.put(placement.task(), placement);
        holderCount += placement.job.spec.isWarmPoolHolder() ? 1 : 0;
        used = used.plus(placement.demand());
    }

    void remove(Placement placement) {
        if (placements.remove(placement.task(), placement)) {
            holderCount -= placement.job.spec.isWarmPoolHolder() ? 1 : 0;
            used = placements.isEmpty() ? Resources.NONE : used.minus(placement.demand());
        }
    }

    Map<TaskId, Placement> byTask() {
        return Collections.unmodifiableMap(placements);
    }

    List<Placement> copy() {
        return new ArrayList<>(placements.values());
    }

    int count() {
        return placements.size();
    }

    Resources used() {
        return used;
    }

    /** Whether the machine has no tasks except holders. */
    boolean isIdle() {
        return placements.size() == holderCount;
    }

    boolean hasHolder() {
        return holderCount > 0;
    }

    /** The placement of a warm-pool holder task that is not being stopped; empty if there is none. */
    Optional<Placement> holder() {
        if (holderCount == 0) {
            return Optional.empty();
        }
        return placements.values().stream()
                .filter(placement -> placement.job.spec.isWarmPoolHolder() && !placement.stopping)
                .findFirst();
    }

    boolean isAnyStopping() {
        return placements.values().stream().anyMatch(placement -> placement.stopping);
    }

    /** Whether the machine has a task with this image. */
    boolean hasTaskWithImage(String image) {
        return placements.values().stream()
                .anyMatch(placement -> placement.job.spec.image().equals(image));
    }

    /** The cores that each team's tasks use, without holders, which use next to none. */
    Map<String, Double> coresByTeam() {
        Map<String, Double> cores = new HashMap<>();
        for (Placement placement : placements.values()) {
            if (!placement.job.spec.isWarmPoolHolder()) {
                cores.merge(placement.job.spec.team(), placement.demand().cores(), Double::sum);
            }
        }
        return cores;
    }
}
