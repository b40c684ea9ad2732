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

/** The leader's picture of jobs, machines and what may be where. Every placement is entered and taken out here. */
final class Cluster {
    final Map<JobId, Job> jobs = new HashMap<>();
    final TreeMap<MachineId, Machine> machines = new TreeMap<>();
    final Map<String, MachineType> types = new LinkedHashMap<>();
    private final Map<String, TeamUsage> teams = new HashMap<>();
    private final Map<String, FairShareQueue> shares = new LinkedHashMap<>();
    /** On how many machines each image is. */
    private final Map<String, Integer> holders = new HashMap<>();
    /** Jobs whose tasks only keep images: in no queue. */
    final List<Job> holderJobs = new ArrayList<>();

    WarmCapacity keeper = WarmCapacity.NONE;
    private int strangers;
    private long visits;
    /** The leader has not stood still since: what it did not hear before then may wait to be read. */
    Moment awake = Moment.NEVER;
    /** Rises with every change that can alter a reservation. */
    long version;

    Cluster(Collection<Team> teams) {
        for (Team team : teams) {
            TeamUsage use = new TeamUsage(team);
            this.teams.put(team.name(), use);
            shareOf(use);
        }
    }

    Collection<FairShareQueue> shares() {
        return shares.values();
    }

    /** What the job's team uses; one that the settings no longer name keeps its jobs, without guarantee or limit. */
    TeamUsage use(Job job) {
        return teams.computeIfAbsent(job.spec.team(), t -> new TeamUsage(new Team(t, 0, 0, 0, 0)));
    }

    private FairShareQueue shareOf(TeamUsage use) {
        return shares.computeIfAbsent(
                use.hasGuarantee() ? use.team.name() : FairShareQueue.COMMON,
                name -> new FairShareQueue(name, use.hasGuarantee() ? use : null));
    }

    FairShareQueue share(Job job) {
        return shareOf(use(job));
    }

    /** The share that the machine serves; null if it serves none yet. */
    FairShareQueue share(Machine m) {
        return m.share == null ? null : shares.get(m.share);
    }

    void add(Job job) {
        jobs.put(job.id(), job);
        if (!job.waitsForJobs()) {
            enqueue(job);
        }
        version++;
    }

    /** From now on the job is served in its turn. */
    void enqueue(Job job) {
        if (job.spec.isHolder()) {
            holderJobs.add(job);
        } else {
            share(job).add(job);
        }
        version++;
    }

    /** Tasks of jobs that are over, on any machine. */
    boolean hasStrangers() {
        return strangers > 0;
    }

    void setStrangers(Machine m, int n) {
        strangers += n - m.strangers;
        m.strangers = n;
    }

    /** How many machines were looked at by walks over a share's machines: what decisions cost. */
    long visits() {
        return visits;
    }

    /** Takes a job off the queue; its placements stay until they surely are gone. */
    void remove(Job job) {
        jobs.remove(job.id(), job);
        holderJobs.remove(job);
        share(job).remove(job);
        version++;
    }

    void place(Placement p) {
        p.job.place(p);
        p.job.changedAt = p.since;
        p.machine.put(p);
        String image = p.job.spec.image();
        if (!p.machine.images.contains(image)) {
            holders.merge(image, 1, Integer::sum);
        }
        p.machine.images.use(image, p.job.spec.imageGb()).forEach(this::holdsNoMore);
        if (p.isRunning()) {
            // Started by an earlier leader: the image was here then, and may have been pushed out since.
            p.machine.images.mayHave(image);
        }
        share(p.job).used(p.demand(), 1);
        use(p.job).used(p.demand(), 1);
        version++;
    }

    /** The task surely is not on its machine any more. */
    void lift(Placement p, Moment now) {
        p.job.remove(p);
        p.job.changedAt = now;
        p.machine.remove(p);
        share(p.job).used(p.demand(), -1);
        use(p.job).used(p.demand(), -1);
        String image = p.job.spec.image();
        if (p.machine.images.isComing(image) && !p.machine.hasTaskWith(image) && p.machine.images.givenUp(image)) {
            holdsNoMore(image);
        }
        if (p.machine.isIdle()) {
            p.machine.idleSince = now;
        }
        version++;
    }

    void liftAll(Machine m, Moment now) {
        for (Placement p : m.tasksCopy()) {
            lift(p, now);
        }
        setStrangers(m, 0);
    }

    /** The machine is gone for good, and everything on it. */
    void forget(Machine m, Moment now) {
        liftAll(m, now);
        machines.remove(m.id);
        m.images.images().forEach(this::holdsNoMore);
        version++;
    }

    /** Everything that earlier leaders have started is known: each waiting task may be started. */
    void release() {
        jobs.values().forEach(Job::release);
        version++;
    }

    private void holdsNoMore(String image) {
        holders.computeIfPresent(image, (i, n) -> n > 1 ? n - 1 : null);
    }

    boolean isHeld(String image) {
        return holders.containsKey(image);
    }

    /** Every machine; a walk over them counts like one over a share's. */
    Collection<Machine> all() {
        visits += machines.size();
        return machines.values();
    }

    List<Machine> serving(FairShareQueue share) {
        List<Machine> out = new ArrayList<>();
        visits += machines.size();
        for (Machine m : machines.values()) {
            if (m.share == null || m.share.equals(share.name)) {
                out.add(m);
            }
        }
        return out;
    }
}
