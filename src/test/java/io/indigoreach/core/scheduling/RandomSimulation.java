package io.indigoreach.core.scheduling;

import io.indigoreach.checker.Event;
import io.indigoreach.checker.LeaseRenewals;
import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A seeded random run of the core among stand-ins for workers, cloud and state service: answers are lost or held up, reports
 * come late, once more or both, machines die, hang, hear nothing or can't be reached, above all while a leader ends, the cloud
 * answers nobody, leaders end at any moment and new ones answer before they have read the records.
 * After every step the protocol's rules are checked, that no copy of a report raises a machine, and that no take-over takes
 * longer than two leases. In the end all troubles are over, and every job that nobody cancelled has to be done.
 */
public final class RandomSimulation {
    private static final double LEASE_S =
            SchedulerFixture.SAFETY_TIMES.workerLease().seconds();
    private static final double CORES_MAX = 24;
    private static final int TROUBLES = 4000;
    private static final int MOST_STEPS = 24_000;
    /** A worker drops an answer after this long. */
    private static final double PATIENCE_S = 4;
    /** Steps between two heartbeats in the mean. */
    private static final int HEARTBEAT_STEPS = 15;
    /** The same where hardly any leader is to hear of a machine twice. */
    private static final int RARE_HEARTBEAT_STEPS = 50;
    /** How many jobs are cancelled as short leaderships begin. */
    private static final int CANCELLED_TOGETHER = 8;
    /** A machine that answered within the first lease of a take-over may be silent for one more. */
    private static final double LONGEST_TAKE_OVER_S =
            2 * SchedulerFixture.SAFETY_TIMES.leaseBound().seconds() + 0.2;

    /** A guard that a run can do without, to see that the rules then break. */
    public enum Without {
        NOTHING,
        TAKE_OVER,
        LEASE_BOUND,
        TEAM_LIMIT,
        ANSWERED_RETURN,
        START_BOUND,
        REPORT_NUMBER,
        EARLY_ANSWER,
        RECORD_BEFORE_REAP,
        /** Lists are believed only under the leader's own token. */
        OWN_TOKEN,
        /** A machine gets tasks only once it is recorded. */
        MACHINE_RECORD,
        /** Orders go out in answers to reports and by no direct command. */
        ORDERS_IN_ANSWERS,
        /** Cancelled jobs' tasks are stopped by every answer, also to a heartbeat with an older leader's token. */
        STOPS_BEFORE_RECONCILIATION
    }

    /** Troubles that a run has only if it is told so; they draw random numbers of their own. */
    public enum Trouble {
        /** Copies of reports reach the next leader as it begins. */
        KEPT_REPORTS,
        /** Machines, alone, by the third or by the zone, reach no controller for a while. */
        MUTE_MACHINES,
        /** The leader's writes come late or have no answer, while machines are up at once and leaders end often. */
        LAGGING_WRITES,
        /** Leaders follow each other that live for about as long as a heartbeat's period, while jobs are cancelled. */
        SHORT_LEADERSHIPS
    }

    private final Random random;
    private final Without without;
    private final EnumSet<Trouble> troubles;
    /** Decides about the further troubles, so that a run without them is the same with and without this code. */
    private final Random further;

    private final DelayedHeartbeats kept;
    private final LateCommands commands;
    /** Under a limit a new leader starts nothing before it has heard all; without one, what nobody ever ordered. */
    private final boolean limited;

    private final Map<String, RandomWorker> workers = new TreeMap<>();
    private final RandomRecords records;
    private final List<String> broken = new ArrayList<>();
    private final WaitCheck waits = new WaitCheck();
    private final List<Runnable> late = new ArrayList<>();
    private double now;
    private long token;
    private SchedulerCore leader;
    private double ledSince;
    /** Until then the leader reads the records. */
    private double loadedAt;

    private boolean loaded;
    /** No new troubles, and no new jobs. */
    private boolean calm;
    /** Tasks of arrays that have completed, and those of them that a worker was told to forget. */
    private final Set<TaskId> completed = new HashSet<>();

    private final Set<TaskId> reaped = new HashSet<>();
    private int machines;
    private int jobs;
    private int starts;
    private int replicaStarts;
    private EffectListener effects = EffectListener.NONE;
    private final LeaseRenewals renewals = new LeaseRenewals(
            SchedulerFixture.SAFETY_TIMES.workerLease(), SchedulerFixture.SAFETY_TIMES.cancellationTime());
    /** Until then no leader lives for long. */
    private double shortLeadershipsUntil;
    /** When the last of those leaders was followed by another because of that, or is to be. */
    private double nextShortLeadership;

    RandomSimulation(long seed, Without without) {
        this(seed, without, EnumSet.noneOf(Trouble.class));
    }

    public RandomSimulation(long seed, Without without, EnumSet<Trouble> troubles) {
        this.random = new Random(seed);
        this.without = without;
        this.troubles = troubles;
        this.further = new Random(~seed);
        this.records = new RandomRecords(further, without, this::checkDone);
        this.kept = new DelayedHeartbeats(further);
        this.commands = new LateCommands(further);
        this.limited = seed % 2 == 1;
    }

    /** From now on the listener hears what the leaders decide. */
    public RandomSimulation tell(EffectListener listener) {
        effects = listener;
        records.effects = listener;
        waits.effects = listener;
        return this;
    }

    public List<String> broken() {
        return broken;
    }

    int starts() {
        return starts;
    }

    int replicaStarts() {
        return replicaStarts;
    }

    long completedJobs() {
        return records.jobs.values().stream().filter(s -> s.closed).count();
    }

    private Moment at() {
        return SchedulerFixture.atSeconds(now);
    }

    public void play() {
        takeOver();
        for (int step = 0; step < TROUBLES || (step < MOST_STEPS && hasOpen()); step++) {
            now += 0.1;
            if (step == TROUBLES) {
                calmDown();
            }
            if (!calm && random.nextInt(60) == 0) {
                submit();
            }
            if (!calm && random.nextInt(200) == 0) {
                cancel();
            }
            if (!calm && random.nextInt(250) == 0) {
                takeOver();
            }
            if (!calm) {
                disturb();
            }
            records.writes.advance(now, token);
            if (!loaded && now >= loadedAt) {
                load();
            }
            boolean few = calm ? workers.values().stream().filter(w -> !w.dead).count() < 16 : machines < 8 + now / 20;
            if (loaded && few && random.nextInt(20) == 0) {
                rent();
            }
            for (RandomWorker w : new ArrayList<>(workers.values())) {
                live(w);
            }
            if (!late.isEmpty() && random.nextInt(5) == 0) {
                late.remove(random.nextInt(late.size())).run();
            }
            if (loaded) {
                tend();
            }
            checkRules();
        }
        records.jobs.values().stream()
                .filter(RandomRecords.Stored::isOpen)
                .forEach(s -> broken.add("lost " + s.spec.id() + " with " + s.done + " of " + s.spec.tasks()));
    }

    /** The further troubles begin. */
    private void disturb() {
        if (troubles.contains(Trouble.MUTE_MACHINES) && further.nextInt(150) == 0) {
            int fate = further.nextInt(4);
            String zone = further.nextBoolean() ? "east" : "west";
            for (RandomWorker w : workers.values()) {
                if (fate == 0 ? w.zone.equals(zone) : further.nextInt(fate == 1 ? 3 : 10) == 0) {
                    w.cutUntil = Math.max(w.cutUntil, now + 3 + further.nextInt(30));
                }
            }
        }
        if (troubles.contains(Trouble.LAGGING_WRITES)) {
            if (!records.writes.lags(now) && further.nextInt(300) == 0) {
                records.writes.lagUntil(now + 5 + further.nextInt(20));
                if (loaded) {
                    for (int i = 0; i < 4; i++) {
                        rent();
                    }
                }
            } else if (records.writes.lags(now) && further.nextInt(60) == 0) {
                takeOver();
                // What stands in no record yet is often out of reach just then.
                for (RandomWorker w : workers.values()) {
                    if (!records.machines.contains(w.name) && further.nextBoolean()) {
                        w.cutUntil = Math.max(w.cutUntil, now + 5 + further.nextInt(20));
                    }
                }
            }
        }
        if (troubles.contains(Trouble.SHORT_LEADERSHIPS)) {
            shortLeaderships();
        }
    }

    /** For a minute or so leaders that read the records at once and end soon; jobs are cancelled as that begins. */
    private void shortLeaderships() {
        if (now >= shortLeadershipsUntil && further.nextInt(600) == 0) {
            shortLeadershipsUntil = now + 40 + further.nextInt(40);
            for (int n = 0; n < CANCELLED_TOGETHER; n++) {
                cancel();
            }
        }
        if (now < shortLeadershipsUntil && now >= nextShortLeadership) {
            newLeader();
            loadedAt = now;
            nextShortLeadership = now + 0.2 + further.nextInt(10) / 10.0;
        }
    }

    private boolean hasOpen() {
        return records.jobs.values().stream().anyMatch(RandomRecords.Stored::isOpen);
    }

    /** Services end by their users alone, and hold places. */
    private void calmDown() {
        calm = true;
        records.jobs.values().stream()
                .filter(s -> s.spec.isService() && s.cancelledAt < 0)
                .forEach(this::cancel);
    }

    /**
     * A new leader, which answers at once; the old one is simply gone, whatever it was doing. Often machines, or all of a zone, can't be
     * reached or hear nothing while it ends.
     */
    private void takeOver() {
        newLeader();
        loadedAt = now + (random.nextBoolean() ? 0 : random.nextInt(50) / 10.0);
        if (random.nextInt(3) == 0) {
            String zone = random.nextInt(4) > 0 ? "" : random.nextBoolean() ? "east" : "west";
            int all = random.nextInt(2);
            for (RandomWorker w : workers.values()) {
                int fate = w.zone.equals(zone) ? all : random.nextInt(6);
                w.deafUntil = fate == 0 ? now + 8 + random.nextInt(52) : w.deafUntil;
                w.cutUntil = fate == 1 ? now - 2 + random.nextInt(30) : w.cutUntil;
            }
        }
        kept.arrive(token, this::copy);
    }

    /** A leader that has not read the records. */
    private void newLeader() {
        Team team = new Team("t", 0, limited && without != Without.TEAM_LIMIT ? CORES_MAX : 0, 0, 0);
        SafetyTimes rules = without == Without.LEASE_BOUND
                ? new SafetyTimes(
                        Span.seconds(3),
                        SchedulerFixture.SAFETY_TIMES.heartbeatPeriod(),
                        SchedulerFixture.SAFETY_TIMES.cancellationTime(),
                        SchedulerFixture.SAFETY_TIMES.listingLag())
                : SchedulerFixture.SAFETY_TIMES;
        leader = new SchedulerCore(
                new FencingToken(++token),
                rules,
                SchedulerFixture.SETTINGS,
                SchedulerFixture.NO_OBJECTIVES,
                List.of(team),
                new SchedulerListener() {
                    @Override
                    public void taskCompleted(Job job) {
                        effects.effect(EffectListener.TASK_COMPLETED, job.id().text());
                    }

                    @Override
                    public void log(String line) {}
                });
        leader.setTypes(List.of(SchedulerFixture.MACHINE_TYPE));
        loaded = false;
        ledSince = now;
    }

    /** It has read the records; what is of jobs that came meanwhile is in them. Machines that it answered until now are cut off. */
    private void load() {
        loaded = true;
        for (RandomWorker w : workers.values()) {
            w.cutUntil = now > ledSince && random.nextInt(6) == 0 ? now + 10 + random.nextInt(20) : w.cutUntil;
        }
        for (String name : records.machines) {
            if (without != Without.TAKE_OVER) {
                leader.inheritMachine(
                        new MachineId(name),
                        pool(name),
                        SchedulerFixture.atSeconds(0),
                        SchedulerFixture.atSeconds(ledSince),
                        SchedulerFixture.atSeconds(ledSince));
            }
        }
        for (RandomRecords.Stored s : records.jobs.values()) {
            if (s.isOpen()) {
                leader.addJob(new Job(s.spec, s.at, at(), Revision.ABSENT, s.done, s.bound, true));
            }
        }
        leader.recordsLoaded();
        kept.arrive(token, this::copy);
    }

    private static MachinePool pool(String name) {
        return new MachinePool("quad", name.hashCode() % 2 == 0 ? "east" : "west", true);
    }

    private void rent() {
        String name = "m" + ++machines;
        workers.put(name, new RandomWorker(name, pool(name).zone(), now));
        if (random.nextInt(4) > 0) {
            leader.rented(pool(name), List.of(new MachineId(name)), at(), at());
        }
    }

    private void submit() {
        JobSpec s = RandomJobs.next(random, ++jobs);
        records.jobs.put(s.id(), new RandomRecords.Stored(s, jobs));
        if (!loaded) {
            return;
        }
        leader.addJob(new Job(s, jobs, at(), Revision.ABSENT, new BitSet(), 0, false));
    }

    private void cancel() {
        List<RandomRecords.Stored> open = records.jobs.values().stream()
                .filter(RandomRecords.Stored::isOpen)
                .toList();
        if (!open.isEmpty()) {
            cancel(open.get(random.nextInt(open.size())));
        }
    }

    private void cancel(RandomRecords.Stored s) {
        s.cancelledAt = now;
        renewals.cancelled(s.spec.id(), at());
        leader.cancelJob(s.spec.id());
    }

    /** What the leader's duties do: leases, records, ends of jobs. */
    private void tend() {
        leader.expireLeases(at());
        List<Job> toRaise = leader.startBoundsToRaise(at());
        effects.boundsToRaise(toRaise);
        for (Job job : toRaise) {
            // Written now or later; whether this leader hears of it is another matter.
            if (random.nextInt(3) == 0) {
                records.writeBound(now, token, job, random.nextInt(4) > 0);
            }
        }
        giveBack();
        if (random.nextInt(3) == 0) {
            for (String name : workers.keySet()) {
                if (leader.unrecorded(new MachineId(name)).isPresent()) {
                    records.writeMachine(now, leader, token, name);
                }
            }
        }
        if (random.nextInt(5) == 0) {
            for (Job job : new ArrayList<>(leader.jobs())) {
                // A write without an answer: what it changed is recorded, and its leader does not know.
                records.writeProgress(now, leader, token, job, random.nextInt(4) > 0);
            }
        }
    }

    /** Silent and idle machines are returned; a request without an answer is executed, now or later, or never. */
    private void giveBack() {
        if (random.nextInt(20) != 0) {
            return;
        }
        leader.planScaleIn(at());
        List<MachineId> leaving = leader.machinesToReturn(100);
        effects.returns(leaving);
        int fate = now % 120 < 20 ? 1 : random.nextInt(6);
        if (fate == 0) {
            late.add(() -> leaving.forEach(this::destroy));
        } else if (fate > 1) {
            if (without != Without.ANSWERED_RETURN) {
                leaving.forEach(this::destroy);
            }
            leader.returned(leaving, at());
        }
    }

    private void destroy(MachineId id) {
        RandomWorker w = workers.get(id.toString());
        if (w != null) {
            w.dead = true;
            w.tasks.clear();
        }
    }

    private void live(RandomWorker w) {
        if (w.flight != null && w.flight.token == 0 && now >= w.flight.arrives) {
            arrive(w, w.flight);
        }
        if (w.dead || now < w.hangsUntil) {
            return;
        }
        if (now - w.answered > LEASE_S) {
            w.tasks.clear();
            w.ends.clear();
            w.session++;
            w.answered = now;
            w.flight = null;
        }
        for (LateCommands.Command c : commands.arriving(w.name, now)) {
            if (c.session() == w.session && c.token() >= w.token) {
                w.token = c.token();
                c.orders().forEach(command -> execute(w, command));
            }
        }
        int fate = calm ? 4000 : random.nextInt(4000);
        if (fate == 0) {
            w.dead = true;
            w.tasks.clear();
            return;
        } else if (fate < 4) {
            w.hangsUntil = now + random.nextInt(20);
            return;
        } else if (fate < 6) {
            w.deafUntil = now + 8 + random.nextInt(16);
        }
        for (Map.Entry<TaskId, Double> end : new ArrayList<>(w.ends.entrySet())) {
            TaskStatus status = w.tasks.get(end.getKey());
            if (now >= end.getValue() && status.state() != TaskState.EXITED) {
                exit(w, status, !calm && random.nextInt(30) == 0 ? ExitCause.ERROR : ExitCause.DONE);
            }
        }
        if (w.flight != null) {
            if (now - w.flight.sent > PATIENCE_S) {
                w.flight = null;
            } else if (w.flight.token > 0 && now >= w.flight.back && now >= w.deafUntil && now >= w.cutUntil) {
                take(w, w.flight);
                w.flight = null;
            }
        } else if (random.nextInt(now < shortLeadershipsUntil ? RARE_HEARTBEAT_STEPS : HEARTBEAT_STEPS) == 0) {
            report(w);
        }
    }

    private void exit(RandomWorker w, TaskStatus status, ExitCause cause) {
        w.tasks.put(status.task(), new TaskStatus(status.task(), status.attempt(), TaskState.EXITED, cause, false));
        w.ends.remove(status.task());
        if (cause == ExitCause.DONE
                && !records.jobs.get(status.task().job()).spec.isService()) {
            completed.add(status.task());
        }
    }

    /**
     * A report may be lost, come late, or its answer be lost; a late one is answered to nobody. Either may be held up for seconds,
     * and the worker sends none meanwhile.
     */
    private void report(RandomWorker w) {
        Heartbeat heartbeat = new Heartbeat(
                new MachineId(w.name),
                "x:1",
                pool(w.name),
                new HeartbeatNumber(w.session, ++w.serial),
                new FencingToken(w.token),
                null,
                new ArrayList<>(w.tasks.values()));
        int fate = calm ? 12 : random.nextInt(12);
        if (now < w.cutUntil) {
            return;
        }
        if (troubles.contains(Trouble.KEPT_REPORTS) && further.nextBoolean()) {
            kept.keep(heartbeat, token);
        }
        if (fate == 0) {
            late.add(() -> hear(heartbeat));
            return;
        }
        if (fate < 4) {
            late.add(() -> copy(heartbeat));
        }
        double arrives = now + (fate == 4 ? random.nextInt(60) / 10.0 : 0);
        RandomWorker.Flight f = new RandomWorker.Flight(
                heartbeat, now, arrives, arrives + (fate == 4 || fate == 5 ? random.nextInt(60) / 10.0 : 0));
        w.flight = f;
        if (arrives <= now) {
            arrive(w, f);
        }
        if (f.token > 0 && f.back <= now) {
            if (fate != 1 && now >= w.deafUntil) {
                take(w, f);
            }
            w.flight = null;
        }
    }

    /** The orders of the leader of this moment; null if the report shows a newer one. */
    private HeartbeatResult hear(Heartbeat heartbeat) {
        HeartbeatResult result = leader.onHeartbeat(heartbeat, at());
        effects.answer(heartbeat.machine(), result, leader.mayAnswer(heartbeat.machine()));
        return result;
    }

    /** The leader of this moment reads the report and answers it, or does not. */
    private void arrive(RandomWorker w, RandomWorker.Flight f) {
        boolean early = !loaded && without == Without.EARLY_ANSWER;
        HeartbeatResult result = early ? new HeartbeatResult.Commands(List.of()) : hear(f.report);
        if (!result.isSuperseded() && leader.mayAnswer(f.report.machine())) {
            f.token = token;
            f.orders = result.commands();
            if (without == Without.STOPS_BEFORE_RECONCILIATION
                    && f.report.token().value() < token) {
                f.orders = List.of();
            }
            if (loaded) {
                checkRenewal(f);
            }
            if (without == Without.ORDERS_IN_ANSWERS) {
                commands.send(w.name, f.report.number().incarnation(), token, f.orders, now);
            }
        } else {
            w.flight = null;
        }
    }

    /**
     * Every answer to a worker that waits for it, whether it arrives or not. Those before the records are read are not judged: no
     * controller gives them, and they are here to make what follows harder.
     */
    private void checkRenewal(RandomWorker.Flight f) {
        Event.LeaseRenewed renewal = new Event.LeaseRenewed(
                at(),
                f.report.machine(),
                SchedulerFixture.atSeconds(f.sent),
                f.report.token().value() == token,
                LeaseRenewals.notStopped(f.report, f.orders));
        renewals.check(renewal).forEach(finding -> broken.add(now + ": renewed_cancelled " + finding));
    }

    private void take(RandomWorker w, RandomWorker.Flight f) {
        if (f.report.number().incarnation() == w.session && f.token >= w.token) {
            w.token = f.token;
            w.answered = Math.max(w.answered, f.sent);
            f.orders.forEach(command -> execute(w, command));
        }
    }

    /** The same report once more, up to minutes later and under any leader; answered to nobody. */
    private void copy(Heartbeat heartbeat) {
        RandomWorker w = workers.get(heartbeat.machine().toString());
        boolean known = leader.knows(heartbeat.machine());
        HeartbeatNumber number =
                without == Without.REPORT_NUMBER ? new HeartbeatNumber(w.session, w.serial + 1) : heartbeat.number();
        FencingToken shown = without == Without.OWN_TOKEN ? new FencingToken(token) : heartbeat.token();
        hear(new Heartbeat(
                heartbeat.machine(), heartbeat.address(), heartbeat.pool(), number, shown, null, heartbeat.tasks()));
        if (!known && leader.knows(heartbeat.machine())) {
            broken.add(now + ": raised " + heartbeat.machine());
        }
    }

    private void execute(RandomWorker w, WorkerCommand command) {
        TaskStatus status = w.tasks.get(command.task());
        if (command instanceof WorkerCommand.Start) {
            if (status != null
                    && (status.state() != TaskState.EXITED || status.attempt().equals(command.attempt()))) {
                return;
            }
            starts++;
            replicaStarts += records.jobs.get(command.task().job()).spec.isService() ? 1 : 0;
            checkStart(w, command.task());
            w.tasks.put(
                    command.task(), new TaskStatus(command.task(), command.attempt(), TaskState.RUNNING, null, false));
            boolean replica = records.jobs.get(command.task().job()).spec.isService();
            int run = 1 + random.nextInt(replica ? 300 : random.nextInt(3) == 0 ? 80 : 20);
            w.ends.put(command.task(), completed.contains(command.task()) ? now : now + run);
        } else if (status != null && status.attempt().equals(command.attempt())) {
            if (command instanceof WorkerCommand.Stop && status.state() != TaskState.EXITED) {
                exit(w, status, ExitCause.STOPPED);
            } else if (command instanceof WorkerCommand.Reap && status.state() == TaskState.EXITED) {
                w.tasks.remove(command.task());
                if (completed.contains(command.task()) && status.cause() == ExitCause.DONE) {
                    reaped.add(command.task());
                }
            }
        }
    }

    /** On its machine: until it exits, is killed with its session, or the machine is gone. */
    private boolean isOn(RandomWorker w, TaskId task) {
        TaskStatus status = w.tasks.get(task);
        boolean killed = now - w.answered > LEASE_S;
        return !w.dead && !killed && status != null && status.state() != TaskState.EXITED;
    }

    private void checkDone(RandomRecords.Stored s) {
        for (int i = 0; i < s.spec.tasks(); i++) {
            if (!completed.contains(new TaskId(s.spec.id(), i))) {
                broken.add(now + ": not_done " + s.spec.id());
            }
        }
    }

    private void checkStart(RandomWorker here, TaskId task) {
        RandomRecords.Stored s = records.jobs.get(task.job());
        if (reaped.contains(task)) {
            broken.add(now + ": started after its result was reaped " + task);
        }
        if (!records.machines.contains(here.name)) {
            broken.add(now + ": started on a machine in no record " + task);
        }
        int inZone = 1;
        Set<String> zones = new HashSet<>(Set.of(here.zone));
        for (RandomWorker w : workers.values()) {
            if (isOn(w, task)) {
                broken.add(now + ": ran_twice " + task + " on " + here.name + " and " + w.name);
            }
            for (TaskId other : w.tasks.keySet()) {
                if (other.job().equals(task.job()) && isOn(w, other)) {
                    zones.add(w.zone);
                    inZone += w.zone.equals(here.zone) ? 1 : 0;
                }
            }
        }
        if ((s.spec.oneZone() && zones.size() > 1) || inZone > s.spec.zoneLimit() || !s.spec.allowsZone(here.zone)) {
            broken.add(now + ": wrong_place " + task);
        }
    }

    private void checkRules() {
        broken.addAll(waits.check(leader, calm, now));
        effects.leader(leader, at());
        if (loaded && !leader.isFailoverComplete() && now - ledSince > LONGEST_TAKE_OVER_S) {
            broken.add(now + ": the take-over of " + ledSince + " waits");
        }
        double cores = 0;
        for (RandomWorker w : workers.values()) {
            for (TaskId task : w.tasks.keySet()) {
                if (isOn(w, task)) {
                    RandomRecords.Stored s = records.jobs.get(task.job());
                    if (leader.isLeaseExpired(new MachineId(w.name))) {
                        broken.add(now + ": counted as over " + task + " on " + w.name);
                    }
                    cores += s.spec.demand().cores();
                    if (s.cancelledAt >= 0
                            && now - s.cancelledAt
                                    > SchedulerFixture.SAFETY_TIMES
                                            .cancellationTime()
                                            .seconds()) {
                        broken.add(now + ": ran_cancelled " + task);
                    }
                }
            }
        }
        if (limited && cores > CORES_MAX + 1e-6) {
            broken.add(now + ": quota " + cores);
        }
    }
}
