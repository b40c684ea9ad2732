package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
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
import java.util.Set;

/**
 * Simulates successive leaders, their records, and machines of four cores with workers that follow the worker protocol:
 * sessions, fencing tokens, leases, and results that are kept until the leader reaps them. The test controls the order
 * and time of all events. Violations of safety rules on the workers are collected.
 */
public final class SimulatedCluster implements SchedulerListener {
    /** Seconds after which a worker drops a late answer. */
    static final double ANSWER_TIMEOUT_S = 4;

    private static final double LEASE_S =
            SchedulerFixture.SAFETY_TIMES.workerLease().seconds();

    record Answer(long token, HeartbeatNumber number, List<WorkerCommand> commands) {}

    final class Worker {
        final String name;
        final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
        long session = 1;
        long token;
        /** When the last heartbeat that got an answer was sent. */
        double lastAnsweredAt;
        /** Whether answers to this machine are lost, while its heartbeats arrive. */
        boolean losesAnswers;
        /** The last heartbeat that the worker sent. */
        Heartbeat lastHeartbeat;

        private long heartbeatCount;

        Worker(String name, double now) {
            this.name = name;
            this.lastAnsweredAt = now;
        }

        Heartbeat nextHeartbeat() {
            lastHeartbeat = new Heartbeat(
                    new MachineId(name),
                    "x:1",
                    POOL,
                    new HeartbeatNumber(session, ++heartbeatCount),
                    new FencingToken(token),
                    null,
                    new ArrayList<>(tasks.values()));
            return lastHeartbeat;
        }

        void expireLease(double now) {
            if (now - lastAnsweredAt > LEASE_S) {
                newSession(now);
            }
        }

        void newSession(double now) {
            tasks.clear();
            session++;
            lastAnsweredAt = now;
        }

        void exit(TaskId task, ExitCause cause) {
            tasks.computeIfPresent(
                    task, (id, status) -> new TaskStatus(id, status.attempt(), TaskState.EXITED, cause, false));
            if (cause == ExitCause.DONE) {
                completed.add(task);
            }
        }

        void receive(Answer answer, double sentAt, double now) {
            if (answer.token < token || answer.number.incarnation() != session) {
                return;
            }
            token = answer.token;
            lastAnsweredAt = Math.max(lastAnsweredAt, sentAt);
            answer.commands.forEach(command -> execute(command, now));
        }

        private void execute(WorkerCommand command, double now) {
            TaskStatus status = tasks.get(command.task());
            if (command instanceof WorkerCommand.Start
                    && (status == null
                            || (status.state() == TaskState.EXITED
                                    && !status.attempt().equals(command.attempt())))) {
                workers.values().stream()
                        .filter(b -> b.isRunning(command.task(), now))
                        .forEach(b -> violations.add(
                                now + ": ran_twice " + command.task() + " on " + name + " and " + b.name));
                if (reaped.contains(command.task())) {
                    violations.add(now + ": started after its result was reaped " + command.task());
                }
                startCount.merge(command.task(), 1, Integer::sum);
                tasks.put(command.task(), SchedulerFixture.runningStatus(command));
                if (completed.contains(command.task())) {
                    exit(command.task(), ExitCause.DONE);
                }
            } else if (status != null && status.attempt().equals(command.attempt())) {
                if (command instanceof WorkerCommand.Stop && status.state() != TaskState.EXITED) {
                    exit(command.task(), ExitCause.STOPPED);
                } else if (command instanceof WorkerCommand.Reap && status.state() == TaskState.EXITED) {
                    tasks.remove(command.task());
                    if (status.exitCause() == ExitCause.DONE) {
                        reaped.add(command.task());
                    }
                }
            }
        }

        private boolean isRunning(TaskId task, double now) {
            TaskStatus status = tasks.get(task);
            return status != null && status.state() != TaskState.EXITED && now - lastAnsweredAt <= LEASE_S;
        }
    }

    private static final class JobRecord {
        final JobSpec spec;
        final BitSet completed = new BitSet();
        int startBound;
        boolean closed;
        /** When the cancellation was confirmed to the user. */
        double cancellationConfirmedAt = Double.MAX_VALUE;

        JobRecord(JobSpec spec) {
            this.spec = spec;
        }
    }

    private static final MachinePool POOL = new MachinePool("quad", "east", true);

    public final List<String> violations = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    public EffectListener effects = EffectListener.NONE;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<JobId, JobRecord> records = new HashMap<>();
    private final Map<TaskId, Integer> startCount = new HashMap<>();
    private final Map<TaskId, Integer> startCommandCount = new HashMap<>();
    private final Set<TaskId> completed = new HashSet<>();
    private final Set<TaskId> reaped = new HashSet<>();
    SchedulerCore core;
    private final List<Team> teams;
    private long token;
    private double leaderSince;

    SimulatedCluster(Team... teams) {
        this.teams = teams.length == 0 ? List.of(SchedulerFixture.teamWithCoreLimit(0)) : List.of(teams);
    }

    Worker worker(String name, double now) {
        return workers.computeIfAbsent(name, n -> new Worker(n, now));
    }

    Worker worker(String name) {
        return workers.get(name);
    }

    Collection<Worker> workers() {
        return workers.values();
    }

    /** Starts a new leader that answers heartbeats and has not read the records yet. */
    void startLeader(double now) {
        core = new SchedulerCore(
                new FencingToken(++token),
                SchedulerFixture.SAFETY_TIMES,
                SchedulerFixture.SETTINGS,
                SchedulerFixture.NO_OBJECTIVES,
                teams,
                this);
        core.addMachineTypes(List.of(SchedulerFixture.MACHINE_TYPE));
        leaderSince = now;
    }

    /** Loads the records of every machine and every open job into the leader. */
    void loadRecords() {
        loadRecords(workers.keySet());
    }

    /** Loads the records of the given machines and every open job into the leader. */
    void loadRecords(Collection<String> recordedMachines) {
        recordedMachines.forEach(name -> core.inheritMachine(
                new MachineId(name),
                POOL,
                SchedulerFixture.atSeconds(-100),
                SchedulerFixture.atSeconds(-100),
                SchedulerFixture.atSeconds(leaderSince)));
        records.values().stream()
                .filter(r -> !r.closed)
                .forEach(r -> core.addJob(new Job(
                        r.spec,
                        1,
                        SchedulerFixture.atSeconds(leaderSince),
                        Revision.ABSENT,
                        r.completed,
                        r.startBound,
                        true)));
        core.onRecordsLoaded();
    }

    void startLeaderWithRecords(double now) {
        startLeader(now);
        loadRecords();
    }

    void submit(JobSpec spec, double now) {
        records.put(spec.id(), new JobRecord(spec));
        core.addJob(new Job(spec, 1, SchedulerFixture.atSeconds(now), Revision.ABSENT, new BitSet(), 0, false));
    }

    /** Cancels a job: records it as closed and informs the leader. */
    void cancel(JobId id) {
        records.get(id).closed = true;
        core.cancelJob(id);
    }

    /**
     * Returns the leader's answer to a heartbeat, or null if the leader does not answer it. Start bounds are recorded
     * before any command is sent.
     */
    Answer answerHeartbeat(Heartbeat heartbeat, double now) {
        List<Job> toRaise = core.startBoundsToRaise(SchedulerFixture.atSeconds(now));
        effects.onStartBoundsToRaise(toRaise);
        for (Job job : toRaise) {
            records.get(job.id()).startBound = job.startBoundToWrite();
            job.startBoundRecorded(job.startBoundToWrite());
        }
        HeartbeatResult result = core.onHeartbeat(heartbeat, SchedulerFixture.atSeconds(now));
        effects.onHeartbeatResponse(heartbeat.machine(), result, core.mayAnswer(heartbeat.machine()));
        effects.onLeaderState(core, SchedulerFixture.atSeconds(now));
        for (WorkerCommand command : result.commands()) {
            if (command instanceof WorkerCommand.Start) {
                startCommandCount.merge(command.task(), 1, Integer::sum);
            }
        }
        return result.isSuperseded() || !core.mayAnswer(heartbeat.machine())
                ? null
                : new Answer(token, heartbeat.number(), result.commands());
    }

    /** Sends the machine's heartbeat to the leader, and delivers the answer unless answers are lost. */
    List<WorkerCommand> sendHeartbeat(String name, double now) {
        Worker worker = workers.get(name);
        worker.expireLease(now);
        Answer answer = answerHeartbeat(worker.nextHeartbeat(), now);
        if (answer != null && !worker.losesAnswers) {
            worker.receive(answer, now, now);
        }
        return answer == null ? null : answer.commands;
    }

    /** Sends four heartbeats, one per second, after which the machine has the leader's token and its tasks. */
    void joinLeader(String name, double now) {
        for (int i = 0; i < 4; i++) {
            sendHeartbeat(name, now + i);
        }
    }

    void sendAllHeartbeats(double now) {
        workers.keySet().forEach(name -> sendHeartbeat(name, now));
    }

    /** Records the completed tasks, and closes the jobs whose tasks are all completed. */
    void recordResults() {
        for (Job job : new ArrayList<>(core.jobs())) {
            JobRecord jobRecord = records.get(job.id());
            jobRecord.completed.or(job.completedTasks());
            job.completionsRecorded(job.completedTasks());
            if (job.isComplete()) {
                jobRecord.closed = true;
                core.closeJob(job.id());
            }
        }
    }

    /**
     * Confirms a cancellation to the user, without informing the leader. {@link SchedulerCore#cancelJob} informs it.
     */
    void cancel(JobId id, double now) {
        records.get(id).closed = true;
        records.get(id).cancellationConfirmedAt = now;
    }

    /**
     * Returns the cores that a team's tasks use on the workers. Records violations: tasks that run after their
     * cancellation time, and use beyond the team's limit.
     */
    double usedCores(Team team, double now) {
        double cores = 0;
        for (TaskId task : runningTasks(now)) {
            JobRecord jobRecord = records.get(task.job());
            if (jobRecord.spec.team().equals(team.name())) {
                cores += jobRecord.spec.demand().cores();
                if (now
                        > jobRecord.cancellationConfirmedAt
                                + SchedulerFixture.SAFETY_TIMES
                                        .cancellationTime()
                                        .seconds()) {
                    violations.add(now + ": ran_cancelled " + task);
                }
            }
        }
        if (!team.isWithinLimits(cores, 0)) {
            violations.add(now + ": quota of " + team.name() + " " + cores);
        }
        return cores;
    }

    /** Returns every task that runs on a machine with a valid lease. */
    List<TaskId> runningTasks(double now) {
        return workers.values().stream()
                .flatMap(b -> b.tasks.keySet().stream().filter(t -> b.isRunning(t, now)))
                .toList();
    }

    boolean isClosed(JobId id) {
        return records.get(id).closed;
    }

    /** Returns how many of the job's tasks have completed on workers. */
    int completed(JobId id) {
        return (int) completed.stream().filter(t -> t.job().equals(id)).count();
    }

    int startCount(TaskId task) {
        return startCount.getOrDefault(task, 0);
    }

    /** Returns how many start commands leaders sent for the task, executed or not. */
    int startCommandCount(TaskId task) {
        return startCommandCount.getOrDefault(task, 0);
    }

    int startCountOfJob(JobId id) {
        return startCount.entrySet().stream()
                .filter(e -> e.getKey().job().equals(id))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Returns the machine where the task is in any state but exited, or null if there is none. */
    Worker workerRunning(TaskId task) {
        return workers.values().stream()
                .filter(b -> b.tasks.containsKey(task) && b.tasks.get(task).state() != TaskState.EXITED)
                .findFirst()
                .orElse(null);
    }

    @Override
    public void onTaskCompleted(Job job) {
        effects.effect(EffectListener.TASK_COMPLETED, job.id().text());
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
