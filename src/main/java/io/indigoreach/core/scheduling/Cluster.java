package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Team;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The scheduler's state: jobs, machines and placements. Placements are added and removed only through this class. */
final class Cluster {
    final Map<JobId, Job> jobs = new HashMap<>();
    final TreeMap<MachineId, Machine> machines = new TreeMap<>();
    final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
    private final Map<String, FairShareQueue> queues = new LinkedHashMap<>();
    /** Number of machines that have each image cached. */
    private final Map<String, Integer> machineCountByImage = new HashMap<>();
    /** Jobs whose tasks only keep images cached; they are in no queue. */
    final List<Job> holderJobs = new ArrayList<>();

    WarmCapacity warmCapacity = WarmCapacity.NONE;
    private int orphanTasks;
    private long machineVisits;
    /** When the event loop last resumed after a pause; heartbeats from before may still be unread. */
    Moment eventLoopRunningSince = Moment.NEVER;
    /** Increases with every change that can affect a reservation. */
    long changeCount;

    Cluster(Collection<Team> teams) {
        for (Team team : teams) {
            TeamUsage usage = new TeamUsage(team);
            this.usageByTeam.put(team.name(), usage);
            queueOf(usage);
        }
    }

    /** Records a change that can affect a reservation. */
    void recordChange() {
        changeCount++;
    }

    void setEventLoopRunningSince(Moment since) {
        eventLoopRunningSince = since;
    }

    void setWarmCapacity(WarmCapacity capacity) {
        warmCapacity = capacity;
    }

    Collection<FairShareQueue> queues() {
        return queues.values();
    }

    /** Usage of the job's team. A team that the settings no longer name keeps its jobs, without guarantee or limit. */
    TeamUsage teamUsage(Job job) {
        return usageByTeam.computeIfAbsent(job.spec.team(), name -> new TeamUsage(new Team(name, 0, 0, 0, 0)));
    }

    /** The teams whose cores are limited. */
    List<Team> teamsWithCoreLimit() {
        return usageByTeam.values().stream()
                .map(usage -> usage.team)
                .filter(team -> team.maxCores() > 0)
                .toList();
    }

    /** Whether the limit of the job's team allows no further task of the job. */
    boolean isTeamAtLimit(Job job) {
        return !teamUsage(job).hasRoomFor(job.spec.demand());
    }

    private FairShareQueue queueOf(TeamUsage usage) {
        return queues.computeIfAbsent(
                usage.hasGuarantee() ? usage.team.name() : FairShareQueue.COMMON_QUEUE_NAME,
                name -> new FairShareQueue(name, usage.hasGuarantee() ? usage : null));
    }

    FairShareQueue queueOf(Job job) {
        return queueOf(teamUsage(job));
    }

    /** The queue that the machine serves, or null if it serves none yet. */
    FairShareQueue queueOf(Machine machine) {
        return machine.queueName == null ? null : queues.get(machine.queueName);
    }

    void addJob(Job job) {
        jobs.put(job.id(), job);
        if (!job.hasUnmetDependencies()) {
            enqueue(job);
        }
        changeCount++;
    }

    /** Adds a job without unmet dependencies to its team's queue, or a holder job to the list of holder jobs. */
    void enqueue(Job job) {
        if (job.spec.isWarmPoolHolder()) {
            holderJobs.add(job);
        } else {
            queueOf(job).add(job);
        }
        changeCount++;
    }

    /** Whether any machine runs tasks of ended jobs. */
    boolean hasOrphanTasks() {
        return orphanTasks > 0;
    }

    void setOrphanTasks(Machine machine, int count) {
        orphanTasks += count - machine.orphanTasks;
        machine.setOrphanTasks(count);
    }

    /** Number of machines visited by iterations, a measure of the cost of scheduling decisions. */
    long machineVisits() {
        return machineVisits;
    }

    /** Removes a job from its queue; its placements stay until their tasks are known to have ended. */
    void removeJob(Job job) {
        jobs.remove(job.id(), job);
        holderJobs.remove(job);
        queueOf(job).remove(job);
        changeCount++;
    }

    void addPlacement(Placement placement) {
        placement.job.addPlacement(placement);
        placement.job.placementsChanged(placement.stateSince);
        placement.machine.addPlacement(placement);
        String image = placement.job.spec.image();
        if (!placement.machine.imageCache.contains(image)) {
            machineCountByImage.merge(image, 1, Integer::sum);
        }
        placement
                .machine
                .imageCache
                .markUsed(image, placement.job.spec.imageGb())
                .forEach(this::decrementImageCount);
        if (placement.isRunning()) {
            // An earlier leader started this task when the image was cached; the image may have been evicted since.
            placement.machine.imageCache.markUncertain(image);
        }
        queueOf(placement.job).addUsage(placement.demand(), 1);
        teamUsage(placement.job).addUsage(placement.demand(), 1);
        changeCount++;
    }

    /** Removes the placement of a task that is known not to be on its machine any more. */
    void removePlacement(Placement placement, Moment now) {
        placement.job.removePlacement(placement);
        placement.job.placementsChanged(now);
        placement.machine.removePlacement(placement);
        queueOf(placement.job).addUsage(placement.demand(), -1);
        teamUsage(placement.job).addUsage(placement.demand(), -1);
        String image = placement.job.spec.image();
        if (placement.machine.imageCache.isFetching(image)
                && !placement.machine.hasTaskWithImage(image)
                && placement.machine.imageCache.abandonFetch(image)) {
            decrementImageCount(image);
        }
        if (placement.machine.isIdle()) {
            placement.machine.markIdle(now);
        }
        changeCount++;
    }

    void removeAllPlacements(Machine machine, Moment now) {
        for (Placement placement : machine.placementsCopy()) {
            removePlacement(placement, now);
        }
        setOrphanTasks(machine, 0);
    }

    /** Removes a machine that no longer exists, with all its placements and cached images. */
    void removeMachine(Machine machine, Moment now) {
        removeAllPlacements(machine, now);
        machines.remove(machine.id);
        machine.imageCache.images().forEach(this::decrementImageCount);
        changeCount++;
    }

    /** Allows inherited tasks to start, once every task that earlier leaders started is known. */
    void releaseInheritedTasks() {
        jobs.values().forEach(Job::releaseInheritedTasks);
        changeCount++;
    }

    private void decrementImageCount(String image) {
        machineCountByImage.computeIfPresent(image, (key, count) -> count > 1 ? count - 1 : null);
    }

    boolean isImageCached(String image) {
        return machineCountByImage.containsKey(image);
    }

    /** All machines. An iteration over them counts towards {@link #machineVisits}. */
    Collection<Machine> allMachines() {
        machineVisits += machines.size();
        return machines.values();
    }

    List<Machine> machinesServing(FairShareQueue queue) {
        List<Machine> serving = new ArrayList<>();
        machineVisits += machines.size();
        for (Machine machine : machines.values()) {
            if (machine.queueName == null || machine.queueName.equals(queue.name)) {
                serving.add(machine);
            }
        }
        return serving;
    }
}
