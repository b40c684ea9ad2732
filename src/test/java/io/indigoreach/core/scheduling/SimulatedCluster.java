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
    static final double PATIENCE_S = 4;

    private static final double LEASE_S = SimulatedWorld.RULES.workerLease().seconds();

    record Answer(long token, HeartbeatNumber number, List<WorkerCommand> orders) {}

    final class Box {
        final String name;
        final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
        long session = 1;
        long token;
        /** When the last heartbeat that got an answer was sent. */
        double answered;
        /** Whether answers to this machine are lost, while its heartbeats arrive. */
        boolean deaf;
        /** The last heartbeat that the worker sent. */
        Heartbeat sent;

        private long serial;

        Box(String name, double now) {
            this.name = name;
            this.answered = now;
        }

        Heartbeat write() {
            sent = new Heartbeat(
                    new MachineId(name),
                    "x:1",
                    POOL,
                    new HeartbeatNumber(session, ++serial),
                    new FencingToken(token),
                    null,
                    new ArrayList<>(tasks.values()));
            return sent;
        }

        void live(double now) {
            if (now - answered > LEASE_S) {
                newSession(now);
            }
        }

        void newSession(double now) {
            tasks.clear();
            session++;
            answered = now;
        }

        void end(TaskId task, ExitCause cause) {
            tasks.computeIfPresent(
                    task, (id, status) -> new TaskStatus(id, status.attempt(), TaskState.EXITED, cause, false));
            if (cause == ExitCause.DONE) {
                ended.add(task);
            }
        }

        void take(Answer answer, double sentAt, double now) {
            if (answer.token < token || answer.number.incarnation() != session) {
                return;
            }
            token = answer.token;
            answered = Math.max(answered, sentAt);
            answer.orders.forEach(command -> execute(command, now));
        }

        private void execute(WorkerCommand command, double now) {
            TaskStatus status = tasks.get(command.task());
            if (command instanceof WorkerCommand.Start
                    && (status == null
                            || (status.state() == TaskState.EXITED
                                    && !status.attempt().equals(command.attempt())))) {
                boxes.values().stream()
                        .filter(b -> b.isOn(command.task(), now))
                        .forEach(b ->
                                broken.add(now + ": ran_twice " + command.task() + " on " + name + " and " + b.name));
                if (reaped.contains(command.task())) {
                    broken.add(now + ": started after its result was reaped " + command.task());
                }
                starts.merge(command.task(), 1, Integer::sum);
                tasks.put(command.task(), SimulatedWorld.running(command));
                if (ended.contains(command.task())) {
                    end(command.task(), ExitCause.DONE);
                }
            } else if (status != null && status.attempt().equals(command.attempt())) {
                if (command instanceof WorkerCommand.Stop && status.state() != TaskState.EXITED) {
                    end(command.task(), ExitCause.STOPPED);
                } else if (command instanceof WorkerCommand.Reap && status.state() == TaskState.EXITED) {
                    tasks.remove(command.task());
                    if (status.cause() == ExitCause.DONE) {
                        reaped.add(command.task());
                    }
                }
            }
        }

        private boolean isOn(TaskId task, double now) {
            TaskStatus status = tasks.get(task);
            return status != null && status.state() != TaskState.EXITED && now - answered <= LEASE_S;
        }
    }

    private static final class Recorded {
        final JobSpec spec;
        final BitSet done = new BitSet();
        int bound;
        boolean closed;
        /** When the cancellation was confirmed to the user. */
        double cancelled = Double.MAX_VALUE;

        Recorded(JobSpec spec) {
            this.spec = spec;
        }
    }

    private static final MachinePool POOL = new MachinePool("quad", "east", true);

    public final List<String> broken = new ArrayList<>();
    final List<String> said = new ArrayList<>();
    public EffectListener effects = EffectListener.NONE;
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final Map<JobId, Recorded> records = new HashMap<>();
    private final Map<TaskId, Integer> starts = new HashMap<>();
    private final Map<TaskId, Integer> ordered = new HashMap<>();
    private final Set<TaskId> ended = new HashSet<>();
    private final Set<TaskId> reaped = new HashSet<>();
    SchedulerCore core;
    private final List<Team> teams;
    private long token;
    private double begun;

    SimulatedCluster(Team... teams) {
        this.teams = teams.length == 0 ? List.of(SimulatedWorld.team(0)) : List.of(teams);
    }

    Box box(String name, double now) {
        return boxes.computeIfAbsent(name, n -> new Box(n, now));
    }

    Box box(String name) {
        return boxes.get(name);
    }

    Collection<Box> boxes() {
        return boxes.values();
    }

    /** Starts a new leader that answers heartbeats and has not read the records yet. */
    void begin(double now) {
        core = new SchedulerCore(
                new FencingToken(++token),
                SimulatedWorld.RULES,
                SimulatedWorld.TUNING,
                SimulatedWorld.NO_AIMS,
                teams,
                this);
        core.setTypes(List.of(SimulatedWorld.TYPE));
        begun = now;
    }

    /** Loads the records of every machine and every open job into the leader. */
    void load() {
        load(boxes.keySet());
    }

    /** Loads the records of the given machines and every open job into the leader. */
    void load(Collection<String> recordedMachines) {
        recordedMachines.forEach(name -> core.inheritMachine(
                new MachineId(name), POOL, SimulatedWorld.at(-100), SimulatedWorld.at(-100), SimulatedWorld.at(begun)));
        records.values().stream()
                .filter(r -> !r.closed)
                .forEach(r -> core.addJob(
                        new Job(r.spec, 1, SimulatedWorld.at(begun), Revision.ABSENT, r.done, r.bound, true)));
        core.recordsLoaded();
    }

    void lead(double now) {
        begin(now);
        load();
    }

    void submit(JobSpec spec, double now) {
        records.put(spec.id(), new Recorded(spec));
        core.addJob(new Job(spec, 1, SimulatedWorld.at(now), Revision.ABSENT, new BitSet(), 0, false));
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
    Answer answer(Heartbeat heartbeat, double now) {
        List<Job> toRaise = core.startBoundsToRaise(SimulatedWorld.at(now));
        effects.boundsToRaise(toRaise);
        for (Job job : toRaise) {
            records.get(job.id()).bound = job.startBoundToWrite();
            job.startBoundRecorded(job.startBoundToWrite());
        }
        HeartbeatResult result = core.onHeartbeat(heartbeat, SimulatedWorld.at(now));
        effects.answer(heartbeat.machine(), result, core.mayAnswer(heartbeat.machine()));
        effects.leader(core, SimulatedWorld.at(now));
        for (WorkerCommand command : result.commands()) {
            if (command instanceof WorkerCommand.Start) {
                ordered.merge(command.task(), 1, Integer::sum);
            }
        }
        return result.isSuperseded() || !core.mayAnswer(heartbeat.machine())
                ? null
                : new Answer(token, heartbeat.number(), result.commands());
    }

    /** Sends the machine's heartbeat to the leader, and delivers the answer unless answers are lost. */
    List<WorkerCommand> report(String name, double now) {
        Box box = boxes.get(name);
        box.live(now);
        Answer answer = answer(box.write(), now);
        if (answer != null && !box.deaf) {
            box.take(answer, now, now);
        }
        return answer == null ? null : answer.orders;
    }

    /** Sends four heartbeats, one per second, after which the machine has the leader's token and its tasks. */
    void become(String name, double now) {
        for (int i = 0; i < 4; i++) {
            report(name, now + i);
        }
    }

    void all(double now) {
        boxes.keySet().forEach(name -> report(name, now));
    }

    /** Records the completed tasks, and closes the jobs whose tasks are all completed. */
    void record() {
        for (Job job : new ArrayList<>(core.jobs())) {
            Recorded r = records.get(job.id());
            r.done.or(job.completedTasks());
            job.completionsRecorded(job.completedTasks());
            if (job.isComplete()) {
                r.closed = true;
                core.closeJob(job.id());
            }
        }
    }

    /**
     * Confirms a cancellation to the user, without informing the leader. {@link SchedulerCore#cancelJob} informs it.
     */
    void cancel(JobId id, double now) {
        records.get(id).closed = true;
        records.get(id).cancelled = now;
    }

    /**
     * Returns the cores that a team's tasks use on the workers. Records violations: tasks that run after their
     * cancellation time, and use beyond the team's limit.
     */
    double used(Team team, double now) {
        double cores = 0;
        for (TaskId task : running(now)) {
            Recorded r = records.get(task.job());
            if (r.spec.team().equals(team.name())) {
                cores += r.spec.demand().cores();
                if (now > r.cancelled + SimulatedWorld.RULES.cancellationTime().seconds()) {
                    broken.add(now + ": ran_cancelled " + task);
                }
            }
        }
        if (!team.allows(cores, 0)) {
            broken.add(now + ": quota of " + team.name() + " " + cores);
        }
        return cores;
    }

    /** Returns every task that runs on a machine with a valid lease. */
    List<TaskId> running(double now) {
        return boxes.values().stream()
                .flatMap(b -> b.tasks.keySet().stream().filter(t -> b.isOn(t, now)))
                .toList();
    }

    boolean isClosed(JobId id) {
        return records.get(id).closed;
    }

    /** Returns how many of the job's tasks have completed on workers. */
    int ended(JobId id) {
        return (int) ended.stream().filter(t -> t.job().equals(id)).count();
    }

    int starts(TaskId task) {
        return starts.getOrDefault(task, 0);
    }

    /** Returns how many start commands leaders sent for the task, executed or not. */
    int ordered(TaskId task) {
        return ordered.getOrDefault(task, 0);
    }

    int startsOf(JobId id) {
        return starts.entrySet().stream()
                .filter(e -> e.getKey().job().equals(id))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Returns the machine where the task has not exited, or null. */
    Box runs(TaskId task) {
        return boxes.values().stream()
                .filter(b -> b.tasks.containsKey(task) && b.tasks.get(task).state() != TaskState.EXITED)
                .findFirst()
                .orElse(null);
    }

    @Override
    public void taskCompleted(Job job) {
        effects.effect(EffectListener.TASK_COMPLETED, job.id().text());
    }

    @Override
    public void log(String line) {
        said.add(line);
    }
}
