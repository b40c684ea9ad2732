package io.indigoreach.core.scheduling;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The decisions of one leadership: events go in, orders, rents and returns come out. It does no input or output and
 * has no clock; every call says what time it is.
 */
public final class SchedulerCore {
    private static final int DEAF_TO = 3;
    private static final int GONE_KEPT = 1000;
    private static final int GONE_PER_MACHINE = 8;
    /** One list would do by the cloud's word; a second one costs little. */
    private static final int SURELY_MISSING = 2;

    private final FencingToken token;
    private final SafetyTimes rules;
    private final Cluster cluster;
    private final Estimates estimates = new Estimates();
    private final Failover takeOver;
    /** Inherited jobs that were read after the records are not released yet. */
    private boolean late;

    private final DependentJobs chains;
    private final Dispatcher dispatcher;
    private final Reconciler reconciler;
    private final BestSize bestSize;
    private final StartBounds startBounds;
    private final Consolidation consolidation;
    private final ScaleInPolicy releaseCheck;
    private final SchedulerListener notes;
    private final MachineAdoption newcomers;
    private final WaitExplainer waiting;
    /** Returned machines still appear in lists and late reports for a while; they are not taken on again. */
    private final Map<MachineId, Boolean> gone = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineId, Boolean> eldest) {
            return size() > Math.max(GONE_KEPT, GONE_PER_MACHINE * cluster.machines.size());
        }
    };
    /** Machines that an earlier leader was about to return: the request may still be executed, so they are of no use. */
    private final Set<MachineId> condemned = new HashSet<>();
    /** What was answered before the records were read, whether its machine was known by then or not. */
    private final Map<MachineId, EarlyHeartbeat> early = new HashMap<>();

    private boolean loaded;

    private record EarlyHeartbeat(HeartbeatNumber number, Moment heard) {}

    public SchedulerCore(
            FencingToken token,
            SafetyTimes rules,
            SchedulerSettings tuning,
            ServiceLevelObjectives aims,
            Collection<Team> teams,
            SchedulerListener notes) {
        this.token = token;
        this.rules = rules;
        this.notes = notes;
        this.newcomers = new MachineAdoption(rules);
        this.cluster = new Cluster(teams);
        this.takeOver = new Failover();
        this.chains = new DependentJobs(cluster, estimates);
        this.dispatcher = new Dispatcher(cluster, aims, estimates, takeOver, token, tuning.leastPaid());
        this.waiting = new WaitExplainer(cluster, dispatcher);
        this.reconciler = new Reconciler(cluster, estimates, notes);
        this.consolidation = new Consolidation(cluster, dispatcher, estimates, rules);
        FailureDetector silence = new FailureDetector(cluster, rules);
        this.bestSize = new BestSize(cluster, dispatcher, estimates, tuning, silence);
        this.startBounds = new StartBounds(cluster, dispatcher, tuning);
        this.releaseCheck = new ScaleInPolicy(cluster, dispatcher, rules, tuning, silence);
    }

    public void setTypes(Collection<MachineType> types) {
        for (MachineType type : types) {
            cluster.types.put(type.name(), type);
        }
    }

    /** A machine that an earlier leader recorded: it may hold any inherited task. No earlier leader leads since {@code now}. */
    public void inherit(MachineId id, MachinePool pool, Moment rented, Moment existed, Moment now) {
        MachineType type = cluster.types.get(pool.type());
        if (type == null) {
            return;
        }
        Machine m = new Machine(id, pool, type, rented);
        m.recorded = true;
        m.heard = now;
        m.existed = existed;
        cluster.machines.put(id, m);
        takeOver.expect(id, now);
    }

    /** Every record has been read: from now on task lists are taken and orders given. */
    public void loaded() {
        loaded = true;
        early.forEach((id, answered) -> {
            Machine m = cluster.machines.get(id);
            if (m != null) {
                // Against a lease that counts as over while the answer has renewed it, and against a report that comes
                // after it.
                m.heard = answered.heard;
                m.last = answered.number;
            } else {
                newcomers.answered(id, answered.number);
            }
        });
        early.clear();
        if (takeOver.isSettled()) {
            cluster.release();
        }
    }

    /** Who is told of the run time of each task that ends well. */
    public void onRun(BiConsumer<Job, Span> told) {
        estimates.onRun(told);
    }

    public boolean isLoaded() {
        return loaded;
    }

    /**
     * An inherited job that comes after the take-over, as its record could not be read before, waits until no report shows a task
     * of a job that is not known: what it had on machines is then gone, or counted as its own.
     */
    public void addJob(Job job) {
        if (!cluster.jobs.containsKey(job.id())) {
            cluster.add(job);
            chains.added(job);
            late |= loaded && job.isInherited();
            releaseLate();
        }
    }

    private void releaseLate() {
        if (late && takeOver.isSettled() && !cluster.hasStrangers()) {
            late = false;
            cluster.release();
        }
    }

    public Job job(JobId id) {
        return cluster.jobs.get(id);
    }

    public Collection<Job> jobs() {
        return cluster.jobs.values();
    }

    /** What the open job's next task waits for; empty if none of its tasks waits. */
    public Optional<WaitReason> waitsFor(Job job, Moment now) {
        return waiting.reason(job, now);
    }

    /** The job's user has cancelled it: nothing of it may start, and what is on machines is stopped. */
    public void cancelJob(JobId id) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.cancelled = true;
            cluster.remove(job);
            chains.removed(job);
        }
    }

    /** The job's end as done is in the state service: its workers may forget its tasks. */
    public void closeJob(JobId id) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            cluster.remove(job);
            chains.removed(job);
            chains.done(id);
        }
    }

    /** Before the open jobs are read anew: that a job is not known any more says nothing of its end. */
    public void forgetJobs() {
        new ArrayList<>(cluster.jobs.values()).forEach(cluster::remove);
        chains.clear();
    }

    /** The jobs that wait for others. */
    public DependentJobs chains() {
        return chains;
    }

    /** Only these tasks of an open job wait for something else than machines. */
    public void withhold(JobId id, BitSet tasks) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.withhold(tasks);
            cluster.version++;
        }
    }

    public void stamped(Job job, Revision stamp) {
        if (stamp.isAfter(job.stamp)) {
            job.stamp = stamp;
        }
    }

    /** The answer's orders; null if this report shows that a newer leader exists. */
    public List<WorkerCommand> onReport(Heartbeat report, Moment now) {
        if (report.token().value() > token.value()) {
            return null;
        }
        if (!loaded) {
            // It is answered all the same, and that renews its lease; a copy of an older one renews nothing.
            early.merge(
                    report.machine(),
                    new EarlyHeartbeat(report.number(), now),
                    (a, b) -> b.number.compareTo(a.number) > 0 ? b : a);
            return List.of();
        }
        Machine m = cluster.machines.get(report.machine());
        if (gone.containsKey(report.machine()) || condemned.contains(report.machine())) {
            return List.of();
        }
        if (m == null && newcomers.isProved(report, token)) {
            m = adopt(report, now);
        }
        if (m == null || isOld(m, report.number())) {
            return List.of();
        }
        if (!m.pool.equals(report.pool())
                && cluster.types.containsKey(report.pool().type())) {
            m = replace(m, report.pool(), now);
        }
        HeartbeatNumber before = m.last;
        m.last = report.number();
        if (!m.isGivenUp()) {
            m.heard = now;
            m.expired = false;
            hears(m, report, before, now);
        }
        if (report.token().value() < token.value()) {
            if (takeOver.isOver(m.id, now.minus(rules.leaseBound()))) {
                accounted(m.id);
            }
            m.oneWay.answered(List.of(), now);
            return List.of();
        }
        if (before.session() != 0 && m.last.session() > before.session()) {
            cluster.liftAll(m, now);
            m.images.doubt();
        }
        if (m.phase == Machine.Phase.BOOTING || m.phase == Machine.Phase.LOST) {
            m.phase = Machine.Phase.UP;
            m.idleSince = now;
            cluster.version++;
        }
        m.notice = report.notice() == null ? null : now.plus(report.notice());
        m.accounted = true;
        List<WorkerCommand> orders = reconciler.reconcile(m, report, now);
        accounted(m.id);
        releaseLate();
        if (m.phase == Machine.Phase.UP && !m.oneWay.isTold()) {
            orders.addAll(dispatcher.fill(m, report.number(), now));
            orders.addAll(dispatcher.makeRoom(m, now));
            orders.addAll(consolidation.orders(m, now));
        }
        if (!needsRecord(m) && !m.isGivenUp()) {
            m.oneWay.answered(orders, now);
        }
        return orders;
    }

    /**
     * Not newer than the last one, or of a session that is over: without an answered report for the lease bound the machine
     * has killed its tasks and begun another session, so what comes then under the old one was sent before.
     */
    private static boolean isOld(Machine m, HeartbeatNumber number) {
        return number.compareTo(m.last) <= 0 || (number.session() == m.last.session() && m.expired);
    }

    private void hears(Machine m, Heartbeat report, HeartbeatNumber before, Moment now) {
        boolean told = m.oneWay.isTold();
        m.oneWay.heard(report, before, token, cluster.awake, rules, now);
        if (m.oneWay.isTold() != told) {
            notes.say("machine " + m.id + (told ? " takes answers again" : " reports, but answers do not reach it"));
            cluster.version++;
        }
    }

    /**
     * Whether this machine's report is answered: not while it is returned since it hears nothing. Its lease, if it does hear,
     * runs from the last report that was answered.
     */
    public boolean answers(MachineId id) {
        Machine m = cluster.machines.get(id);
        return m == null || !m.isGivenUp();
    }

    /** Nothing unknown is on this machine any more; after the last one, every job's tasks may be started. */
    private void accounted(MachineId id) {
        if (!takeOver.isSettled()) {
            takeOver.accounted(id);
            if (loaded && takeOver.isSettled()) {
                cluster.release();
            }
        }
    }

    /**
     * A machine is what it says it is. The answer to a request to rent can be that to an older one of the same name, of
     * another leader: an ordinary machine was taken for a spot one then, and could have got what may not run there.
     */
    private Machine replace(Machine m, MachinePool pool, Moment now) {
        notes.say("machine " + m.id + " is of " + pool + ", not of " + m.pool);
        Machine real = new Machine(m.id, pool, cluster.types.get(pool.type()), m.rented);
        real.heard = m.heard;
        real.existed = m.existed;
        cluster.forget(m, now);
        cluster.machines.put(real.id, real);
        return real;
    }

    private Machine adopt(Heartbeat report, Moment now) {
        MachineType type = cluster.types.get(report.pool().type());
        if (type == null) {
            return null;
        }
        notes.say("machine " + report.machine() + " reports and is not known: taken on");
        Machine m = new Machine(report.machine(), report.pool(), type, now);
        cluster.machines.put(m.id, m);
        return m;
    }

    /** Machines that the cloud has just rented to this leader. */
    public void rented(MachinePool pool, List<MachineId> ids, Moment asked, Moment now) {
        for (MachineId id : ids) {
            if (gone.containsKey(id) || condemned.contains(id)) {
                continue;
            }
            Machine known = cluster.machines.get(id);
            if (known != null) {
                known.rented = asked;
                continue;
            }
            MachineType type = cluster.types.get(pool.type());
            if (type != null) {
                Machine m = new Machine(id, pool, type, asked);
                m.existed = now;
                cluster.machines.put(id, m);
            }
        }
        cluster.version++;
    }

    public void refused(MachinePool pool, Moment now) {
        bestSize.refused(pool, now);
        cluster.keeper.refused(pool);
    }

    private static boolean needsRecord(Machine m) {
        return !m.recorded && m.phase == Machine.Phase.UP;
    }

    /**
     * The machine, if it must be recorded before it can get tasks; else null. One that never reported can hold no
     * task, so a later leader need not wait for it and it needs no record.
     */
    public Machine unrecorded(MachineId id) {
        Machine m = cluster.machines.get(id);
        return m != null && needsRecord(m) ? m : null;
    }

    /** Starts for a machine that was recorded after its report came, if that is still its newest. */
    public List<WorkerCommand> fill(MachineId id, HeartbeatNumber number, Moment now) {
        Machine m = cluster.machines.get(id);
        if (m == null || !m.last.equals(number)) {
            return List.of();
        }
        List<WorkerCommand> orders = dispatcher.fill(m, number, now);
        if (now.since(m.heard).compareTo(rules.workerPatience().times(0.5)) < 0) {
            m.oneWay.answered(orders, now);
        }
        return orders;
    }

    public void recorded(MachineId id) {
        Machine m = cluster.machines.get(id);
        if (m != null) {
            m.recorded = true;
        }
    }

    /**
     * A whole list from the cloud, asked for at {@code asked}. Lists lag, so absence shows nothing by itself. But once
     * listed, a machine stays listed until it is gone, and the lag is bounded: a machine that surely existed before
     * the oldest moment this list can describe, and is not in it, is gone with everything on it.
     */
    public void onList(List<ListedMachine> list, Moment asked, Moment now) {
        Set<MachineId> present = new HashSet<>();
        for (ListedMachine listed : list) {
            if (gone.containsKey(listed.id()) || condemned.contains(listed.id())) {
                continue;
            }
            present.add(listed.id());
            Machine m = cluster.machines.get(listed.id());
            if (listed.status() == ListedMachine.Status.FAILED) {
                if (m == null || m.phase != Machine.Phase.LEAVING) {
                    failed(m, listed, now);
                }
                continue;
            }
            if (m == null && cluster.types.containsKey(listed.pool().type())) {
                notes.say("machine " + listed.id() + " is listed and not known: taken on");
                m = new Machine(
                        listed.id(),
                        listed.pool(),
                        cluster.types.get(listed.pool().type()),
                        now.minus(listed.held()));
                m.heard = now;
                cluster.machines.put(m.id, m);
            }
            if (m != null) {
                m.missing = 0;
            }
        }
        newcomers.listed(present, asked, now);
        for (Machine m : new ArrayList<>(cluster.machines.values())) {
            if (present.contains(m.id)) {
                continue;
            }
            if (m.existed.isBefore(asked.minus(rules.oldestList()))) {
                m.missing++;
            }
            if (m.missing >= SURELY_MISSING) {
                notes.say("machine " + m.id + " is gone with " + m.taskCount() + " tasks: the cloud lists it no more");
                cluster.forget(m, now);
                accounted(m.id);
                gone.put(m.id, true);
            }
        }
    }

    private void failed(Machine known, ListedMachine listed, Moment now) {
        Machine m = known;
        if (m == null) {
            MachineType type = cluster.types.get(listed.pool().type());
            if (type == null) {
                return;
            }
            m = new Machine(listed.id(), listed.pool(), type, now);
            cluster.machines.put(m.id, m);
        }
        notes.say("machine " + m.id + " stopped by itself with " + m.taskCount() + " tasks");
        cluster.liftAll(m, now);
        accounted(m.id);
        m.phase = Machine.Phase.LEAVING;
        m.leavingSince = now;
    }

    /** Machines whose lease ran out: their tasks are free again. */
    public void expireLeases(Moment now) {
        for (Machine m : cluster.machines.values()) {
            if (now.since(m.heard).compareTo(rules.leaseBound()) <= 0) {
                continue;
            }
            accounted(m.id);
            m.expired = true;
            if (m.phase == Machine.Phase.UP || (m.phase == Machine.Phase.LEAVING && !m.isIdle())) {
                notes.say("machine " + m.id + " is silent: its lease has run out with " + m.taskCount() + " tasks");
                cluster.liftAll(m, now);
            }
            if (FailureDetector.mayHoldTasks(m)) {
                m.phase = Machine.Phase.LOST;
                cluster.version++;
            }
        }
    }

    /** Jobs whose start bounds are to be recorded now, as their tasks are about to be ordered. */
    public List<Job> boundsToRaise(Moment now) {
        return loaded ? startBounds.toRaise(now) : List.of();
    }

    /** What to rent now: asked once each check, so that the wishes of several arrivals and completions are one. */
    public List<ScaleOutRequest> wishes(Moment now) {
        if (!loaded) {
            return List.of();
        }
        List<ScaleOutRequest> wishes = new ArrayList<>(bestSize.wishes(now));
        for (ScaleOutRequest wish : cluster.keeper.wishes(now)) {
            if (bestSize.mayAsk(wish.pool(), now)) {
                wishes.add(wish);
            } else {
                cluster.keeper.refused(wish.pool());
            }
        }
        return wishes;
    }

    /** Since when this node has not stood still: silence before that may be its own. */
    public void awakeSince(Moment since) {
        cluster.awake = since;
    }

    /** Marks what is to be returned. */
    public void check(Moment now) {
        if (loaded) {
            consolidation.plan(now);
            cluster.keeper.plan(
                    cluster.machines.values(), cluster.jobs.values(), m -> releaseCheck.termEnds(m, now), now);
            for (String reason : releaseCheck.check(now, takeOver.isSettled())) {
                notes.say("returning machine " + reason);
            }
        }
    }

    /** An earlier leader has recorded that it returns these: nothing is started there, and the return is finished. */
    public void condemn(Collection<MachineId> ids, Moment now) {
        for (MachineId id : ids) {
            Machine m = cluster.machines.get(id);
            if (m == null) {
                condemned.add(id);
            } else if (m.phase != Machine.Phase.LEAVING) {
                m.phase = Machine.Phase.LEAVING;
                m.leavingSince = now;
            }
        }
    }

    /** Machines to ask the cloud to take back, until it has said that they are gone. */
    public List<MachineId> leaving(int most) {
        List<MachineId> out = new ArrayList<>(condemned.stream().limit(most).toList());
        for (Machine m : cluster.machines.values()) {
            if (m.phase == Machine.Phase.LEAVING && out.size() < most) {
                out.add(m.id);
            }
        }
        return out;
    }

    /** The cloud has answered that these machines are gone. */
    public void returned(List<MachineId> ids, Moment now) {
        for (MachineId id : ids) {
            Machine m = cluster.machines.get(id);
            if (m != null) {
                cluster.forget(m, now);
            }
            accounted(id);
            condemned.remove(id);
            gone.put(id, true);
        }
    }

    /** How many machines decisions have looked at so far. */
    long visits() {
        return cluster.visits();
    }

    /** Whether the machine's lease counts as over: nothing may run there. */
    boolean countsOver(MachineId id) {
        Machine m = cluster.machines.get(id);
        return m != null && m.expired;
    }

    public boolean knows(MachineId id) {
        return cluster.machines.containsKey(id);
    }

    /**
     * Nothing is heard of any of several machines for as long as would be said of one that it hangs: more likely this node
     * is cut off from them than that all have ended at once. Half a lease was too long: workers that had given this node up
     * were sent back to it by the others, and their leases ended. Those of an earlier leader need their time to find this one: a
     * leader that gave up 4.7 s after it had taken over, as all 447 were still with one that stood still, cost 557 tasks.
     */
    public boolean isDeaf(Moment now) {
        Moment since = now.minus(rules.silence());
        if (cluster.awake.isAfter(since)) {
            return false;
        }
        Moment sinceTakeOver = now.minus(Span.longer(rules.silence(), rules.findsLeader()));
        int silent = 0;
        for (Machine m : cluster.machines.values()) {
            if (m.recorded && m.phase != Machine.Phase.LEAVING) {
                if (m.heard.isAfter(m.accounted ? since : sinceTakeOver)) {
                    return false;
                }
                silent++;
            }
        }
        return silent >= DEAF_TO;
    }

    /** From now on machines are kept ahead of their work by what this says. */
    public void keeping(WarmCapacity keeper) {
        cluster.keeper = keeper;
    }

    public Collection<Machine> machines() {
        return cluster.machines.values();
    }

    public int machineCount() {
        return cluster.machines.size();
    }

    /** Every task that an earlier leader may have started is known. */
    public boolean isSettled() {
        return takeOver.isSettled();
    }

    /** What this leader knows of jobs and machines, should the records of them be lost. */
    public RememberedState remains() {
        RememberedState remains = new RememberedState();
        for (Job job : cluster.jobs.values()) {
            remains.add(remains(job));
        }
        for (Machine m : cluster.machines.values()) {
            if (m.recorded) {
                remains.add(new RememberedState.RentedMachine(m.id, m.pool, m.rented, m.existed));
            }
        }
        return remains;
    }

    /** What is known of one open job, whose end may be on its way into the records. */
    public static RememberedState remains(Job job) {
        RememberedState remains = new RememberedState();
        if (job.isComplete()) {
            remains.add(job.id(), new RememberedState.FinishedJob(JobStatus.DONE, job.spec.tasks()));
        } else {
            remains.add(new RememberedState.OpenJob(job.spec, job.submittedMs, job.doneTasks(), job.boundToWrite()));
        }
        return remains;
    }

    /** One line for the log: what there is and what waits. */
    public String summary(Moment now) {
        int up = 0;
        int idle = 0;
        int booting = 0;
        int active = 0;
        for (Machine m : cluster.machines.values()) {
            up += m.phase == Machine.Phase.UP ? 1 : 0;
            idle += m.phase == Machine.Phase.UP && m.isIdle() ? 1 : 0;
            booting += m.phase == Machine.Phase.BOOTING ? 1 : 0;
            active += m.taskCount();
        }
        int waiting = 0;
        for (Job job : cluster.jobs.values()) {
            waiting += job.waiting();
        }
        return cluster.jobs.size() + " jobs, " + waiting + " tasks waiting, " + active + " placed; machines: " + up
                + " up (" + idle + " idle), " + booting + " booting, " + (cluster.machines.size() - up - booting)
                + " other" + (takeOver.isSettled() ? "" : "; take-over: " + takeOver.outstanding() + " to report");
    }
}
