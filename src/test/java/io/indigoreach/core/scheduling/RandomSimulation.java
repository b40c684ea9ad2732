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
 * A seeded random run of the core with simulated workers, cloud and state service. Answers are lost or delayed;
 * heartbeats are late, duplicated or both; machines die, hang, receive no answers or are unreachable, especially around
 * a change of leader; the cloud does not answer; leaders end at any moment, and new ones answer before they have read
 * the records.
 *
 * <p>After every step the run checks the protocol's rules, that no copy of a heartbeat makes a leader adopt a machine,
 * and that no failover takes longer than two leases. At the end all faults cease, and every job that was not cancelled
 * has to complete.
 */
public final class RandomSimulation {
    private static final double LEASE_S =
            SchedulerFixture.SAFETY_TIMES.workerLease().seconds();
    private static final double MAX_CORES = 24;
    private static final int FAULT_STEPS = 4000;
    private static final int MAX_STEPS = 24_000;
    /** Time after which a worker abandons a heartbeat and drops its answer. */
    private static final double RESPONSE_TIMEOUT_S = 4;
    /** Mean number of steps between two heartbeats of a worker. */
    private static final int HEARTBEAT_STEPS = 15;
    /**
     * Mean number of steps between heartbeats while leaderships are so short that few leaders get two from one machine.
     */
    private static final int SPARSE_HEARTBEAT_STEPS = 50;
    /** Number of jobs that are cancelled when a series of short leaderships begins. */
    private static final int CANCELLATIONS_PER_SERIES = 8;
    /** A machine that sent a heartbeat within the first lease of a failover may be silent for one more lease. */
    private static final double MAX_FAILOVER_S =
            2 * SchedulerFixture.SAFETY_TIMES.leaseBound().seconds() + 0.2;

    /** A safeguard that a run can disable, to check that the simulation then detects a violation. */
    public enum DisabledGuard {
        NONE,
        /** A new leader waits for the machines that earlier leaders recorded. */
        INHERITED_MACHINES,
        /** A lease counts as expired only after the lease bound. */
        LEASE_BOUND,
        /** The cores of a team's running tasks stay within the team's limit. */
        TEAM_LIMIT,
        /** A machine counts as returned only once the cloud has executed the return. */
        CONFIRMED_RETURN,
        /** Start bounds are recorded before tasks start. */
        START_BOUND,
        /** Copies of heartbeats are recognized by their numbers. */
        HEARTBEAT_NUMBER,
        /** Heartbeats that are answered before the records are loaded are registered. */
        EARLY_HEARTBEATS,
        /** Completions are recorded before their tasks are reaped. */
        RECORD_BEFORE_REAP,
        /** Task lists are trusted only in heartbeats with the leader's own token. */
        OWN_TOKEN,
        /** A machine gets tasks only once it is recorded. */
        MACHINE_RECORD,
        /** Commands are sent only in answers to heartbeats. */
        COMMANDS_IN_ANSWERS,
        /** Every answer stops the tasks of cancelled jobs, even the answer to a heartbeat with an older token. */
        STOPS_BEFORE_RECONCILIATION
    }

    /** Optional faults of a run; they use a random generator of their own. */
    public enum Fault {
        /** Copies of heartbeats reach the next leader when it begins. */
        DELAYED_HEARTBEATS,
        /** Single machines, a third of them, or a whole zone reach no controller for a while. */
        UNREACHABLE_MACHINES,
        /** The leader's writes are late or unanswered, while machines are rented and leaders change often. */
        LAGGING_WRITES,
        /** Leaderships last for about one heartbeat period, while jobs are cancelled. */
        SHORT_LEADERSHIPS
    }

    private final Random random;
    private final DisabledGuard disabledGuard;
    private final EnumSet<Fault> optionalFaults;
    /**
     * Random generator of the optional faults, so that a run without them draws the same numbers as if they did not
     * exist.
     */
    private final Random faultRandom;

    private final DelayedHeartbeats delayedHeartbeats;
    private final LateCommands lateCommands;
    /**
     * Whether the team has a limit. With one, a new leader starts no task before its failover is complete; without one,
     * it may start tasks that no leader has started.
     */
    private final boolean hasTeamLimit;

    private final Map<String, RandomWorker> workers = new TreeMap<>();
    private final SimulatedRecords records;
    private final List<String> violations = new ArrayList<>();
    private final WaitInvariant waitCheck = new WaitInvariant();
    private final List<Runnable> lateActions = new ArrayList<>();
    private double now;
    private long token;
    private SchedulerCore leader;
    private double leaderSince;
    /** When the leader has read the records. */
    private double loadedAt;

    private boolean loaded;
    /** Whether the final phase has begun, in which no faults are injected and no jobs are submitted. */
    private boolean finalPhase;
    /** Tasks of array jobs that have completed. */
    private final Set<TaskId> completed = new HashSet<>();

    /** Completed tasks of array jobs that a worker has reaped. */
    private final Set<TaskId> reaped = new HashSet<>();

    private int machineCount;
    private int jobCount;
    private int startCount;
    private int replicaStartCount;
    private EffectListener effects = EffectListener.NONE;
    private final LeaseRenewals leaseRenewals = new LeaseRenewals(
            SchedulerFixture.SAFETY_TIMES.workerLease(), SchedulerFixture.SAFETY_TIMES.cancellationTime());
    /** When the current series of short leaderships ends. */
    private double shortLeadershipsUntil;
    /** When the next leader of that series begins. */
    private double nextShortLeadership;

    RandomSimulation(long seed, DisabledGuard disabledGuard) {
        this(seed, disabledGuard, EnumSet.noneOf(Fault.class));
    }

    public RandomSimulation(long seed, DisabledGuard disabledGuard, EnumSet<Fault> optionalFaults) {
        this.random = new Random(seed);
        this.disabledGuard = disabledGuard;
        this.optionalFaults = optionalFaults;
        this.faultRandom = new Random(~seed);
        this.records = new SimulatedRecords(faultRandom, disabledGuard, this::checkDone);
        this.delayedHeartbeats = new DelayedHeartbeats(faultRandom);
        this.lateCommands = new LateCommands(faultRandom);
        this.hasTeamLimit = seed % 2 == 1;
    }

    /** Sets the listener of the leaders' decisions. */
    public RandomSimulation withListener(EffectListener listener) {
        effects = listener;
        records.effects = listener;
        waitCheck.effects = listener;
        return this;
    }

    public List<String> violations() {
        return violations;
    }

    int startCount() {
        return startCount;
    }

    int replicaStartCount() {
        return replicaStartCount;
    }

    long completedJobs() {
        return records.jobs.values().stream().filter(job -> job.closed).count();
    }

    private Moment moment() {
        return SchedulerFixture.atSeconds(now);
    }

    public void run() {
        replaceLeader();
        for (int step = 0; step < FAULT_STEPS || (step < MAX_STEPS && hasOpenJobs()); step++) {
            now += 0.1;
            if (step == FAULT_STEPS) {
                beginFinalPhase();
            }
            if (!finalPhase && random.nextInt(60) == 0) {
                submit();
            }
            if (!finalPhase && random.nextInt(200) == 0) {
                cancel();
            }
            if (!finalPhase && random.nextInt(250) == 0) {
                replaceLeader();
            }
            if (!finalPhase) {
                beginOptionalFaults();
            }
            records.writes.applyDue(now, token);
            if (!loaded && now >= loadedAt) {
                finishLoading();
            }
            boolean needsMachines = finalPhase
                    ? workers.values().stream().filter(worker -> !worker.dead).count() < 16
                    : machineCount < 8 + now / 20;
            if (loaded && needsMachines && random.nextInt(20) == 0) {
                rent();
            }
            for (RandomWorker worker : new ArrayList<>(workers.values())) {
                stepWorker(worker);
            }
            if (!lateActions.isEmpty() && random.nextInt(5) == 0) {
                lateActions.remove(random.nextInt(lateActions.size())).run();
            }
            if (loaded) {
                runDuties();
            }
            checkRules();
        }
        records.jobs.values().stream()
                .filter(SimulatedRecords.StoredJob::isOpen)
                .forEach(job -> violations.add(
                        "incomplete " + job.spec.id() + " with " + job.completedTasks + " of " + job.spec.taskCount()));
    }

    /** Begins optional faults at random. */
    private void beginOptionalFaults() {
        if (optionalFaults.contains(Fault.UNREACHABLE_MACHINES) && faultRandom.nextInt(150) == 0) {
            int fate = faultRandom.nextInt(4);
            String zone = faultRandom.nextBoolean() ? "east" : "west";
            for (RandomWorker worker : workers.values()) {
                if (fate == 0 ? worker.zone.equals(zone) : faultRandom.nextInt(fate == 1 ? 3 : 10) == 0) {
                    worker.unreachableUntil = Math.max(worker.unreachableUntil, now + 3 + faultRandom.nextInt(30));
                }
            }
        }
        if (optionalFaults.contains(Fault.LAGGING_WRITES)) {
            if (!records.writes.isLagging(now) && faultRandom.nextInt(300) == 0) {
                records.writes.setLaggingUntil(now + 5 + faultRandom.nextInt(20));
                if (loaded) {
                    for (int count = 0; count < 4; count++) {
                        rent();
                    }
                }
            } else if (records.writes.isLagging(now) && faultRandom.nextInt(60) == 0) {
                replaceLeader();
                // Machines that are not recorded yet are often unreachable at that moment.
                for (RandomWorker worker : workers.values()) {
                    if (!records.machineNames.contains(worker.name) && faultRandom.nextBoolean()) {
                        worker.unreachableUntil = Math.max(worker.unreachableUntil, now + 5 + faultRandom.nextInt(20));
                    }
                }
            }
        }
        if (optionalFaults.contains(Fault.SHORT_LEADERSHIPS)) {
            advanceShortLeaderships();
        }
    }

    /**
     * For about a minute, leaders read the records at once and end soon. A series of jobs is cancelled when this
     * begins.
     */
    private void advanceShortLeaderships() {
        if (now >= shortLeadershipsUntil && faultRandom.nextInt(600) == 0) {
            shortLeadershipsUntil = now + 40 + faultRandom.nextInt(40);
            for (int count = 0; count < CANCELLATIONS_PER_SERIES; count++) {
                cancel();
            }
        }
        if (now < shortLeadershipsUntil && now >= nextShortLeadership) {
            createLeader();
            loadedAt = now;
            nextShortLeadership = now + 0.2 + faultRandom.nextInt(10) / 10.0;
        }
    }

    private boolean hasOpenJobs() {
        return records.jobs.values().stream().anyMatch(SimulatedRecords.StoredJob::isOpen);
    }

    /** Begins the final phase. Services are cancelled, because they never end by themselves and use capacity. */
    private void beginFinalPhase() {
        finalPhase = true;
        records.jobs.values().stream()
                .filter(s -> s.spec.isService() && s.cancelledAt < 0)
                .forEach(this::cancel);
    }

    /**
     * Replaces the leader at any moment by a new one, which answers heartbeats at once. Often some machines, or a whole
     * zone, are unreachable or receive no answers around the change.
     */
    private void replaceLeader() {
        createLeader();
        loadedAt = now + (random.nextBoolean() ? 0 : random.nextInt(50) / 10.0);
        if (random.nextInt(3) == 0) {
            String zone = random.nextInt(4) > 0 ? "" : random.nextBoolean() ? "east" : "west";
            int zoneFate = random.nextInt(2);
            for (RandomWorker worker : workers.values()) {
                int fate = worker.zone.equals(zone) ? zoneFate : random.nextInt(6);
                worker.answersLostUntil = fate == 0 ? now + 8 + random.nextInt(52) : worker.answersLostUntil;
                worker.unreachableUntil = fate == 1 ? now - 2 + random.nextInt(30) : worker.unreachableUntil;
            }
        }
        delayedHeartbeats.deliver(token, this::deliverCopy);
    }

    /** Creates a leader that has not read the records yet. */
    private void createLeader() {
        Team team = new Team("t", 0, hasTeamLimit && disabledGuard != DisabledGuard.TEAM_LIMIT ? MAX_CORES : 0, 0, 0);
        SafetyTimes safetyTimes = disabledGuard == DisabledGuard.LEASE_BOUND
                ? new SafetyTimes(
                        Span.seconds(3),
                        SchedulerFixture.SAFETY_TIMES.heartbeatPeriod(),
                        SchedulerFixture.SAFETY_TIMES.cancellationTime(),
                        SchedulerFixture.SAFETY_TIMES.listingLag())
                : SchedulerFixture.SAFETY_TIMES;
        leader = new SchedulerCore(
                new FencingToken(++token),
                safetyTimes,
                SchedulerFixture.SETTINGS,
                SchedulerFixture.NO_OBJECTIVES,
                List.of(team),
                new SchedulerListener() {
                    @Override
                    public void onTaskCompleted(Job job) {
                        effects.effect(EffectListener.TASK_COMPLETED, job.id().text());
                    }

                    @Override
                    public void log(String line) {}
                });
        leader.addMachineTypes(List.of(SchedulerFixture.MACHINE_TYPE));
        loaded = false;
        leaderSince = now;
    }

    /**
     * Completes the loading of the records, which contain the jobs that were submitted meanwhile. Some machines that
     * were answered during the loading become unreachable.
     */
    private void finishLoading() {
        loaded = true;
        for (RandomWorker worker : workers.values()) {
            worker.unreachableUntil = now > leaderSince && random.nextInt(6) == 0
                    ? now + 10 + random.nextInt(20)
                    : worker.unreachableUntil;
        }
        for (String name : records.machineNames) {
            if (disabledGuard != DisabledGuard.INHERITED_MACHINES) {
                leader.inheritMachine(
                        new MachineId(name),
                        pool(name),
                        SchedulerFixture.atSeconds(0),
                        SchedulerFixture.atSeconds(leaderSince),
                        SchedulerFixture.atSeconds(leaderSince));
            }
        }
        for (SimulatedRecords.StoredJob job : records.jobs.values()) {
            if (job.isOpen()) {
                leader.addJob(new Job(
                        job.spec,
                        job.submittedMs,
                        moment(),
                        Revision.ABSENT,
                        job.completedTasks,
                        job.startBound,
                        true));
            }
        }
        leader.onRecordsLoaded();
        delayedHeartbeats.deliver(token, this::deliverCopy);
    }

    private static MachinePool pool(String name) {
        return new MachinePool("quad", name.hashCode() % 2 == 0 ? "east" : "west", true);
    }

    private void rent() {
        String name = "m" + ++machineCount;
        workers.put(name, new RandomWorker(name, pool(name).zone(), now));
        if (random.nextInt(4) > 0) {
            leader.onMachinesRented(pool(name), List.of(new MachineId(name)), moment(), moment());
        }
    }

    private void submit() {
        JobSpec spec = RandomJobs.next(random, ++jobCount);
        records.jobs.put(spec.id(), new SimulatedRecords.StoredJob(spec, jobCount));
        if (!loaded) {
            return;
        }
        leader.addJob(new Job(spec, jobCount, moment(), Revision.ABSENT, new BitSet(), 0, false));
    }

    private void cancel() {
        List<SimulatedRecords.StoredJob> open = records.jobs.values().stream()
                .filter(SimulatedRecords.StoredJob::isOpen)
                .toList();
        if (!open.isEmpty()) {
            cancel(open.get(random.nextInt(open.size())));
        }
    }

    private void cancel(SimulatedRecords.StoredJob job) {
        job.cancelledAt = now;
        leaseRenewals.cancelled(job.spec.id(), moment());
        leader.cancelJob(job.spec.id());
    }

    /** Runs the leader's periodic duties: lease expiry, writes of records, returns and completions of jobs. */
    private void runDuties() {
        leader.expireLeases(moment());
        List<Job> toRaise = leader.startBoundsToRaise(moment());
        effects.onStartBoundsToRaise(toRaise);
        for (Job job : toRaise) {
            // The write happens in this step or a later one, and may remain unanswered.
            if (random.nextInt(3) == 0) {
                records.writeStartBound(now, token, job, random.nextInt(4) > 0);
            }
        }
        returnMachines();
        if (random.nextInt(3) == 0) {
            for (String name : workers.keySet()) {
                if (leader.machineToRecord(new MachineId(name)).isPresent()) {
                    records.writeMachine(now, leader, token, name);
                }
            }
        }
        if (random.nextInt(5) == 0) {
            for (Job job : new ArrayList<>(leader.jobs())) {
                // The write may remain unanswered: its change is recorded, but the leader does not know.
                records.writeProgress(now, leader, token, job, random.nextInt(4) > 0);
            }
        }
    }

    /** Returns silent and idle machines. An unanswered return request is executed later or never. */
    private void returnMachines() {
        if (random.nextInt(20) != 0) {
            return;
        }
        leader.planScaleIn(moment());
        List<MachineId> returning = leader.machinesToReturn(100);
        effects.onReturns(returning);
        int fate = now % 120 < 20 ? 1 : random.nextInt(6);
        if (fate == 0) {
            lateActions.add(() -> returning.forEach(this::killMachine));
        } else if (fate > 1) {
            if (disabledGuard != DisabledGuard.CONFIRMED_RETURN) {
                returning.forEach(this::killMachine);
            }
            leader.onMachinesReturned(returning, moment());
        }
    }

    private void killMachine(MachineId id) {
        RandomWorker worker = workers.get(id.toString());
        if (worker != null) {
            worker.dead = true;
            worker.tasks.clear();
        }
    }

    private void stepWorker(RandomWorker worker) {
        if (worker.inFlight != null && worker.inFlight.token == 0 && now >= worker.inFlight.arrivesAt) {
            deliverAndAnswer(worker, worker.inFlight);
        }
        if (worker.dead || now < worker.hangingUntil) {
            return;
        }
        if (now - worker.lastAnsweredAt > LEASE_S) {
            worker.tasks.clear();
            worker.endTimes.clear();
            worker.incarnation++;
            worker.lastAnsweredAt = now;
            worker.inFlight = null;
        }
        for (LateCommands.CommandsInTransit lateCommand : lateCommands.takeArriving(worker.name, now)) {
            if (lateCommand.incarnation() == worker.incarnation && lateCommand.token() >= worker.token) {
                worker.token = lateCommand.token();
                lateCommand.commands().forEach(command -> execute(worker, command));
            }
        }
        int fate = finalPhase ? 4000 : random.nextInt(4000);
        if (fate == 0) {
            worker.dead = true;
            worker.tasks.clear();
            return;
        } else if (fate < 4) {
            worker.hangingUntil = now + random.nextInt(20);
            return;
        } else if (fate < 6) {
            worker.answersLostUntil = now + 8 + random.nextInt(16);
        }
        for (Map.Entry<TaskId, Double> end : new ArrayList<>(worker.endTimes.entrySet())) {
            TaskStatus status = worker.tasks.get(end.getKey());
            if (now >= end.getValue() && status.state() != TaskState.EXITED) {
                exit(worker, status, !finalPhase && random.nextInt(30) == 0 ? ExitCause.ERROR : ExitCause.DONE);
            }
        }
        if (worker.inFlight != null) {
            if (now - worker.inFlight.sentAt > RESPONSE_TIMEOUT_S) {
                worker.inFlight = null;
            } else if (worker.inFlight.token > 0
                    && now >= worker.inFlight.answerArrivesAt
                    && now >= worker.answersLostUntil
                    && now >= worker.unreachableUntil) {
                executeAnswer(worker, worker.inFlight);
                worker.inFlight = null;
            }
        } else if (random.nextInt(now < shortLeadershipsUntil ? SPARSE_HEARTBEAT_STEPS : HEARTBEAT_STEPS) == 0) {
            sendHeartbeat(worker);
        }
    }

    private void exit(RandomWorker worker, TaskStatus status, ExitCause cause) {
        worker.tasks.put(
                status.task(), new TaskStatus(status.task(), status.attempt(), TaskState.EXITED, cause, false));
        worker.endTimes.remove(status.task());
        if (cause == ExitCause.DONE
                && !records.jobs.get(status.task().job()).spec.isService()) {
            completed.add(status.task());
        }
    }

    /**
     * Sends a heartbeat. It may be lost or late, or its answer may be lost; the answer to a late heartbeat reaches no
     * worker. Heartbeat and answer may be delayed for seconds, during which the worker sends no other heartbeat.
     */
    private void sendHeartbeat(RandomWorker worker) {
        Heartbeat heartbeat = new Heartbeat(
                new MachineId(worker.name),
                "x:1",
                pool(worker.name),
                new HeartbeatNumber(worker.incarnation, ++worker.heartbeatSerial),
                new FencingToken(worker.token),
                null,
                new ArrayList<>(worker.tasks.values()));
        int fate = finalPhase ? 12 : random.nextInt(12);
        if (now < worker.unreachableUntil) {
            return;
        }
        if (optionalFaults.contains(Fault.DELAYED_HEARTBEATS) && faultRandom.nextBoolean()) {
            delayedHeartbeats.keep(heartbeat, token);
        }
        if (fate == 0) {
            lateActions.add(() -> deliver(heartbeat));
            return;
        }
        if (fate < 4) {
            lateActions.add(() -> deliverCopy(heartbeat));
        }
        double arrivesAt = now + (fate == 4 ? random.nextInt(60) / 10.0 : 0);
        RandomWorker.HeartbeatInFlight inFlight = new RandomWorker.HeartbeatInFlight(
                heartbeat, now, arrivesAt, arrivesAt + (fate == 4 || fate == 5 ? random.nextInt(60) / 10.0 : 0));
        worker.inFlight = inFlight;
        if (arrivesAt <= now) {
            deliverAndAnswer(worker, inFlight);
        }
        if (inFlight.token > 0 && inFlight.answerArrivesAt <= now) {
            if (fate != 1 && now >= worker.answersLostUntil) {
                executeAnswer(worker, inFlight);
            }
            worker.inFlight = null;
        }
    }

    /** The current leader's result for a heartbeat. */
    private HeartbeatResult deliver(Heartbeat heartbeat) {
        HeartbeatResult result = leader.onHeartbeat(heartbeat, moment());
        effects.onHeartbeatResponse(heartbeat.machine(), result, leader.mayAnswer(heartbeat.machine()));
        return result;
    }

    /** Delivers a heartbeat to the current leader, which answers it or does not. */
    private void deliverAndAnswer(RandomWorker worker, RandomWorker.HeartbeatInFlight inFlight) {
        boolean ignored = !loaded && disabledGuard == DisabledGuard.EARLY_HEARTBEATS;
        HeartbeatResult result = ignored ? new HeartbeatResult.Commands(List.of()) : deliver(inFlight.heartbeat);
        if (!result.isSuperseded() && leader.mayAnswer(inFlight.heartbeat.machine())) {
            inFlight.token = token;
            inFlight.commands = result.commands();
            if (disabledGuard == DisabledGuard.STOPS_BEFORE_RECONCILIATION
                    && inFlight.heartbeat.token().value() < token) {
                inFlight.commands = List.of();
            }
            if (loaded) {
                checkRenewal(inFlight);
            }
            if (disabledGuard == DisabledGuard.COMMANDS_IN_ANSWERS) {
                lateCommands.send(
                        worker.name, inFlight.heartbeat.number().incarnation(), token, inFlight.commands, now);
            }
        } else {
            worker.inFlight = null;
        }
    }

    /**
     * Checks an answer that renews a lease, whether or not it reaches the worker. Answers given before the records are
     * read are not checked: no real controller sends them; the simulation does so to make the following steps harder.
     */
    private void checkRenewal(RandomWorker.HeartbeatInFlight inFlight) {
        Event.LeaseRenewed renewal = new Event.LeaseRenewed(
                moment(),
                inFlight.heartbeat.machine(),
                SchedulerFixture.atSeconds(inFlight.sentAt),
                inFlight.heartbeat.token().value() == token,
                LeaseRenewals.notStopped(inFlight.heartbeat, inFlight.commands));
        leaseRenewals.check(renewal).forEach(finding -> violations.add(now + ": renewed_cancelled " + finding));
    }

    private void executeAnswer(RandomWorker worker, RandomWorker.HeartbeatInFlight inFlight) {
        if (inFlight.heartbeat.number().incarnation() == worker.incarnation && inFlight.token >= worker.token) {
            worker.token = inFlight.token;
            worker.lastAnsweredAt = Math.max(worker.lastAnsweredAt, inFlight.sentAt);
            inFlight.commands.forEach(command -> execute(worker, command));
        }
    }

    /**
     * Delivers a copy of a heartbeat, up to minutes later and to any leader. The answer reaches no worker.
     */
    private void deliverCopy(Heartbeat heartbeat) {
        RandomWorker worker = workers.get(heartbeat.machine().toString());
        boolean wasKnown = leader.isKnownMachine(heartbeat.machine());
        HeartbeatNumber number = disabledGuard == DisabledGuard.HEARTBEAT_NUMBER
                ? new HeartbeatNumber(worker.incarnation, worker.heartbeatSerial + 1)
                : heartbeat.number();
        FencingToken copiedToken =
                disabledGuard == DisabledGuard.OWN_TOKEN ? new FencingToken(token) : heartbeat.token();
        deliver(new Heartbeat(
                heartbeat.machine(),
                heartbeat.address(),
                heartbeat.pool(),
                number,
                copiedToken,
                null,
                heartbeat.tasks()));
        if (!wasKnown && leader.isKnownMachine(heartbeat.machine())) {
            violations.add(now + ": adopted from a copy " + heartbeat.machine());
        }
    }

    private void execute(RandomWorker worker, WorkerCommand command) {
        TaskStatus status = worker.tasks.get(command.task());
        if (command instanceof WorkerCommand.Start) {
            if (status != null
                    && (status.state() != TaskState.EXITED || status.attempt().equals(command.attempt()))) {
                return;
            }
            startCount++;
            replicaStartCount += records.jobs.get(command.task().job()).spec.isService() ? 1 : 0;
            checkStart(worker, command.task());
            worker.tasks.put(
                    command.task(), new TaskStatus(command.task(), command.attempt(), TaskState.RUNNING, null, false));
            boolean isReplica = records.jobs.get(command.task().job()).spec.isService();
            int runTime = 1 + random.nextInt(isReplica ? 300 : random.nextInt(3) == 0 ? 80 : 20);
            worker.endTimes.put(command.task(), completed.contains(command.task()) ? now : now + runTime);
        } else if (status != null && status.attempt().equals(command.attempt())) {
            if (command instanceof WorkerCommand.Stop && status.state() != TaskState.EXITED) {
                exit(worker, status, ExitCause.STOPPED);
            } else if (command instanceof WorkerCommand.Reap && status.state() == TaskState.EXITED) {
                worker.tasks.remove(command.task());
                if (completed.contains(command.task()) && status.exitCause() == ExitCause.DONE) {
                    reaped.add(command.task());
                }
            }
        }
    }

    /**
     * Whether the task is on the machine: it has not exited, was not killed with its incarnation, and the machine is
     * not dead.
     */
    private boolean isOn(RandomWorker worker, TaskId task) {
        TaskStatus status = worker.tasks.get(task);
        boolean killed = now - worker.lastAnsweredAt > LEASE_S;
        return !worker.dead && !killed && status != null && status.state() != TaskState.EXITED;
    }

    private void checkDone(SimulatedRecords.StoredJob job) {
        for (int i = 0; i < job.spec.taskCount(); i++) {
            if (!completed.contains(new TaskId(job.spec.id(), i))) {
                violations.add(now + ": not_done " + job.spec.id());
            }
        }
    }

    private void checkStart(RandomWorker target, TaskId task) {
        SimulatedRecords.StoredJob job = records.jobs.get(task.job());
        if (reaped.contains(task)) {
            violations.add(now + ": started after its result was reaped " + task);
        }
        if (!records.machineNames.contains(target.name)) {
            violations.add(now + ": started on an unrecorded machine " + task);
        }
        int inZone = 1;
        Set<String> zones = new HashSet<>(Set.of(target.zone));
        for (RandomWorker worker : workers.values()) {
            if (isOn(worker, task)) {
                violations.add(now + ": ran_twice " + task + " on " + target.name + " and " + worker.name);
            }
            for (TaskId other : worker.tasks.keySet()) {
                if (other.job().equals(task.job()) && isOn(worker, other)) {
                    zones.add(worker.zone);
                    inZone += worker.zone.equals(target.zone) ? 1 : 0;
                }
            }
        }
        if ((job.spec.singleZone() && zones.size() > 1)
                || inZone > job.spec.maxTasksPerZone()
                || !job.spec.allowsZone(target.zone)) {
            violations.add(now + ": wrong_place " + task);
        }
    }

    private void checkRules() {
        violations.addAll(waitCheck.check(leader, finalPhase, now));
        effects.onLeaderState(leader, moment());
        if (loaded && !leader.isFailoverComplete() && now - leaderSince > MAX_FAILOVER_S) {
            violations.add(now + ": failover incomplete since " + leaderSince);
        }
        double cores = 0;
        for (RandomWorker worker : workers.values()) {
            for (TaskId task : worker.tasks.keySet()) {
                if (isOn(worker, task)) {
                    SimulatedRecords.StoredJob job = records.jobs.get(task.job());
                    if (leader.isLeaseExpired(new MachineId(worker.name))) {
                        violations.add(now + ": lease counted as expired " + task + " on " + worker.name);
                    }
                    cores += job.spec.demand().cores();
                    if (job.cancelledAt >= 0
                            && now - job.cancelledAt
                                    > SchedulerFixture.SAFETY_TIMES
                                            .cancellationTime()
                                            .seconds()) {
                        violations.add(now + ": ran_cancelled " + task);
                    }
                }
            }
        }
        if (hasTeamLimit && cores > MAX_CORES + 1e-6) {
            violations.add(now + ": quota " + cores);
        }
    }
}
