package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates a deployment around the real scheduler core in steps of one second. Jobs arrive, machines of four cores
 * boot for 20 steps and report every second step, and machine pools have limited capacity. The simulation uses no
 * random numbers, so the same workloads give the same run.
 */
public final class CoreHarness implements SchedulerListener {
    static final SchedulerSettings SETTINGS = new SchedulerSettings(
            Span.seconds(10),
            Span.seconds(15),
            Span.seconds(60),
            Span.seconds(15),
            Span.seconds(2),
            2,
            4,
            Span.seconds(600),
            Span.seconds(15),
            Span.seconds(350),
            1.4,
            Span.seconds(10));
    private static final int BOOT_STEPS = 20;
    /** Clock value of the first step, in seconds. It is not zero, so that events may lie before the first step. */
    private static final int FIRST_STEP_S = 1000;

    /**
     * The jobs of one class: {@code jobsAtStart} jobs arrive in the first step, and {@code jobsPerStep} jobs in each step from
     * {@code fromStep} until {@code untilStep}.
     */
    public record Workload(
            String jobClass,
            String team,
            Urgency urgency,
            double jobsPerStep,
            int jobsAtStart,
            int fromStep,
            int untilStep,
            int tasks,
            int runSteps,
            double cores,
            boolean savesProgress,
            JobKind kind,
            double estimateFactor) {
        public static Workload of(
                String jobClass,
                Urgency urgency,
                double jobsPerStep,
                int jobsAtStart,
                int tasks,
                int runSteps,
                double cores) {
            return new Workload(
                    jobClass,
                    "t",
                    urgency,
                    jobsPerStep,
                    jobsAtStart,
                    0,
                    Integer.MAX_VALUE,
                    tasks,
                    runSteps,
                    cores,
                    false,
                    JobKind.ARRAY,
                    1);
        }

        public Workload team(String other) {
            return new Workload(
                    jobClass,
                    other,
                    urgency,
                    jobsPerStep,
                    jobsAtStart,
                    fromStep,
                    untilStep,
                    tasks,
                    runSteps,
                    cores,
                    savesProgress,
                    kind,
                    estimateFactor);
        }

        public Workload activeBetween(int fromStep, int untilStep) {
            return new Workload(
                    jobClass,
                    team,
                    urgency,
                    jobsPerStep,
                    jobsAtStart,
                    fromStep,
                    untilStep,
                    tasks,
                    runSteps,
                    cores,
                    savesProgress,
                    kind,
                    estimateFactor);
        }

        /** Returns the same workload with estimates of {@code times} the actual run time. */
        public Workload withEstimateFactor(double times) {
            return new Workload(
                    jobClass,
                    team,
                    urgency,
                    jobsPerStep,
                    jobsAtStart,
                    fromStep,
                    untilStep,
                    tasks,
                    runSteps,
                    cores,
                    savesProgress,
                    kind,
                    times);
        }

        public Workload savingProgress() {
            return new Workload(
                    jobClass,
                    team,
                    urgency,
                    jobsPerStep,
                    jobsAtStart,
                    fromStep,
                    untilStep,
                    tasks,
                    runSteps,
                    cores,
                    true,
                    kind,
                    estimateFactor);
        }

        public Workload asService() {
            return new Workload(
                    jobClass,
                    team,
                    urgency,
                    0,
                    jobsAtStart,
                    fromStep,
                    untilStep,
                    tasks,
                    runSteps,
                    cores,
                    savesProgress,
                    JobKind.SERVICE,
                    estimateFactor);
        }
    }

    /** The history of a job: its arrival, the start of each task, and its end. */
    static final class JobHistory {
        final JobSpec spec;
        final int arrivedAt;
        final int runSteps;
        final Map<TaskId, Integer> startedAt = new HashMap<>();
        int endedAt = -1;

        JobHistory(JobSpec spec, int arrivedAt, int runSteps) {
            this.runSteps = runSteps;
            this.spec = spec;
            this.arrivedAt = arrivedAt;
        }

        int lastStart(int now) {
            return startedAt.size() < spec.taskCount()
                    ? now
                    : startedAt.values().stream().mapToInt(step -> step).max().orElse(now);
        }
    }

    private static final class SimulatedMachine {
        final MachinePool pool;
        final int upAt;
        final Map<WorkerCommand, Integer> taskEnds = new LinkedHashMap<>();
        /** Tasks that received a stop command and have not reported their end yet. */
        final List<TaskId> stopping = new ArrayList<>();

        SimulatedMachine(MachinePool pool, int upAt) {
            this.pool = pool;
            this.upAt = upAt;
        }
    }

    final Map<JobId, JobHistory> histories = new TreeMap<>();
    final List<ScaleOutRequest> requests = new ArrayList<>();
    private final SchedulerSettings settings;
    private final List<Workload> workloads;
    private final Map<MachinePool, Integer> capacity;
    private final List<Team> teams;
    private final ServiceLevelObjectives objectives;
    private final Map<String, SimulatedMachine> machines = new TreeMap<>();
    private final Map<JobId, Job> openJobs = new TreeMap<>();
    private final Map<Workload, Double> pendingArrivals = new HashMap<>();
    private final Map<TaskId, Integer> remainingSteps = new HashMap<>();
    private SchedulerCore core;
    private long token;
    private long heartbeatCount;
    private int machineCount;
    private int now;
    int peakMachines;
    public EffectListener effects = EffectListener.NONE;

    public CoreHarness(
            List<Workload> workloads,
            int spotCapacity,
            int onDemandCapacity,
            ServiceLevelObjectives objectives,
            Team... teams) {
        this(SETTINGS, workloads, spotCapacity, onDemandCapacity, objectives, teams);
    }

    CoreHarness(
            SchedulerSettings settings,
            List<Workload> workloads,
            int spotCapacity,
            int onDemandCapacity,
            ServiceLevelObjectives objectives,
            Team... teams) {
        this.settings = settings;
        this.workloads = workloads;
        this.objectives = objectives;
        this.teams = teams.length == 0 ? List.of(SchedulerFixture.teamWithCoreLimit(0)) : List.of(teams);
        this.capacity = new HashMap<>(Map.of(
                new MachinePool("quad", "east", true),
                spotCapacity,
                new MachinePool("quad", "east", false),
                onDemandCapacity));
        startNewLeader();
    }

    /** Replaces the leader with a new one that has read all records and waits for the machines' heartbeats. */
    public void startNewLeader() {
        core = new SchedulerCore(
                new FencingToken(++token), SchedulerFixture.SAFETY_TIMES, settings, objectives, teams, this);
        MachineType type = SchedulerFixture.MACHINE_TYPE;
        core.addMachineTypes(List.of(new MachineType(
                type.name(),
                type.capacity(),
                type.imageCacheGb(),
                type.imageFetchGbPerS(),
                type.onDemandPrice(),
                type.spotPrice(),
                type.bootTime(),
                List.of("east"))));
        machines.forEach((name, machine) -> core.inheritMachine(
                new MachineId(name),
                machine.pool,
                atStep(machine.upAt - BOOT_STEPS),
                atStep(machine.upAt),
                atStep(now)));
        openJobs.replaceAll((id, job) -> new Job(
                job.spec(),
                job.submittedMs(),
                job.eligibleSince,
                job.revision(),
                job.completedTasks(),
                job.startBoundToWrite(),
                true));
        openJobs.values().forEach(core::addJob);
        core.onRecordsLoaded();
    }

    private static Moment atStep(int step) {
        return new Moment((FIRST_STEP_S + step) * 1000L);
    }

    public CoreHarness run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
        }
        return this;
    }

    /**
     * Returns the fraction of a class's or team's jobs that ended in time, of those that arrived at least that long
     * ago.
     */
    double servedFraction(String name, int withinSteps) {
        return servedFraction(name, withinSteps, 0);
    }

    /** Returns the same fraction for jobs that arrived at step {@code fromStep} or later. */
    double servedFraction(String name, int withinSteps, int fromStep) {
        List<JobHistory> arrived = histories.values().stream()
                .filter(f -> f.spec.kind() == JobKind.ARRAY
                        && now - f.arrivedAt >= withinSteps
                        && f.arrivedAt >= fromStep
                        && (f.spec.jobClass().equals(name) || f.spec.team().equals(name)))
                .toList();
        return arrived.stream()
                        .filter(f -> f.endedAt >= 0 && f.endedAt - f.arrivedAt <= withinSteps)
                        .count()
                / (double) arrived.size();
    }

    /** Returns the longest time from arrival to last start of a class's jobs that arrived from {@code fromStep}. */
    int longestWaitForLastStart(String name, int fromStep) {
        return histories.values().stream()
                .filter(f -> f.arrivedAt >= fromStep && f.spec.jobClass().equals(name))
                .mapToInt(f -> f.lastStart(now) - f.arrivedAt)
                .max()
                .orElse(0);
    }

    /** Returns the longest wait of the class's jobs until the first task started. */
    int longestWaitForFirstStart(String name) {
        return histories.values().stream()
                .filter(f -> f.spec.jobClass().equals(name))
                .mapToInt(f ->
                        f.startedAt.values().stream().mapToInt(i -> i).min().orElse(now) - f.arrivedAt)
                .max()
                .orElse(0);
    }

    private void step() {
        for (Workload workload : workloads) {
            double arrivals = pendingArrivals.getOrDefault(workload, 0.0)
                    + (now == 0 ? workload.jobsAtStart : 0)
                    + (now >= workload.fromStep && now < workload.untilStep ? workload.jobsPerStep : 0);
            for (; arrivals >= 1; arrivals--) {
                submitJob(workload);
            }
            pendingArrivals.put(workload, arrivals);
        }
        core.expireLeases(atStep(now));
        if (now % 2 == 0) {
            planCapacity();
        }
        List<Job> toRaise = core.startBoundsToRaise(atStep(now));
        effects.onStartBoundsToRaise(toRaise);
        for (Job job : toRaise) {
            job.startBoundRecorded(job.startBoundToWrite());
        }
        int reporting = 0;
        for (Map.Entry<String, SimulatedMachine> entry : machines.entrySet()) {
            if (entry.getValue().upAt <= now && reporting++ % 2 == now % 2) {
                sendHeartbeat(entry.getKey(), entry.getValue());
            }
        }
        for (Iterator<Job> jobIterator = openJobs.values().iterator(); jobIterator.hasNext(); ) {
            Job job = jobIterator.next();
            job.completionsRecorded(job.completedTasks());
            if (job.isComplete()) {
                effects.effect(EffectListener.JOB_ENDED, job.id().text());
                histories.get(job.id()).endedAt = now;
                core.closeJob(job.id());
                jobIterator.remove();
            }
        }
        now++;
    }

    private void submitJob(Workload workload) {
        JobSpec spec = JobSpec.builder(new JobId("run-" + (histories.size() + 1)))
                .jobClass(workload.jobClass)
                .team(workload.team)
                .kind(workload.kind)
                .urgency(workload.urgency)
                .taskCount(workload.tasks)
                .demand(new Resources(workload.cores, 0, workload.cores * 4))
                .image("img-" + workload.jobClass)
                .imageGb(0.2)
                .spotAllowed(workload.kind == JobKind.ARRAY)
                .estimatedRunTime(Span.seconds(workload.runSteps * workload.estimateFactor))
                .checkpointInterval(Span.seconds(workload.savesProgress ? 10 : 0))
                .checkpointDuration(Span.seconds(workload.savesProgress ? 2 : 0))
                .build();
        Job job = new Job(
                spec, atStep(now).ms(), atStep(now), new Revision(histories.size() + 1), new BitSet(), 0, false);
        histories.put(job.id(), new JobHistory(spec, now, workload.runSteps));
        openJobs.put(job.id(), job);
        core.addJob(job);
    }

    private void planCapacity() {
        List<ScaleOutRequest> newRequests = core.scaleOutRequests(atStep(now));
        effects.onRentRequests(newRequests);
        for (ScaleOutRequest request : newRequests) {
            requests.add(request);
            int granted = (int) Math.min(
                    request.count(),
                    capacity.get(request.pool())
                            - machines.values().stream()
                                    .filter(b -> b.pool.equals(request.pool()))
                                    .count());
            if (granted < request.count()) {
                core.onScaleOutRejected(request.pool(), atStep(now));
            }
            List<MachineId> ids = new ArrayList<>();
            for (int i = 0; i < granted; i++) {
                ids.add(new MachineId(String.format("m%05d", ++machineCount)));
                machines.put(ids.get(i).toString(), new SimulatedMachine(request.pool(), now + BOOT_STEPS));
            }
            core.onMachinesRented(request.pool(), ids, atStep(now), atStep(now));
        }
        core.planScaleIn(atStep(now));
        List<MachineId> returned = core.machinesToReturn(100);
        effects.onReturns(returned);
        returned.forEach(id -> machines.remove(id.toString()));
        core.onMachinesReturned(returned, atStep(now));
        peakMachines = Math.max(peakMachines, machines.size());
    }

    private void sendHeartbeat(String name, SimulatedMachine machine) {
        List<TaskStatus> statuses = new ArrayList<>();
        for (Iterator<Map.Entry<WorkerCommand, Integer>> taskIterator =
                        machine.taskEnds.entrySet().iterator();
                taskIterator.hasNext(); ) {
            Map.Entry<WorkerCommand, Integer> entry = taskIterator.next();
            boolean stopped = machine.stopping.remove(entry.getKey().task());
            boolean ended = now >= entry.getValue();
            if (stopped && !ended) {
                remainingSteps.put(entry.getKey().task(), entry.getValue() - now);
            }
            statuses.add(
                    stopped && !ended
                            ? SchedulerFixture.exitedStatus(entry.getKey(), ExitCause.STOPPED)
                            : ended
                                    ? SchedulerFixture.exitedStatus(entry.getKey(), ExitCause.DONE)
                                    : SchedulerFixture.runningStatus(entry.getKey()));
            if (stopped || ended) {
                taskIterator.remove();
            }
        }
        Heartbeat heartbeat = new Heartbeat(
                new MachineId(name),
                "10.0.0.1:1",
                machine.pool,
                new HeartbeatNumber(1, ++heartbeatCount),
                new FencingToken(token),
                null,
                statuses);
        List<WorkerCommand> commands =
                new ArrayList<>(core.onHeartbeat(heartbeat, atStep(now)).commands());
        if (core.machineToRecord(new MachineId(name)).isPresent()) {
            core.onMachineRecorded(new MachineId(name));
            commands.addAll(core.startTasks(new MachineId(name), heartbeat.number(), atStep(now)));
        }
        effects.onHeartbeatResponse(
                heartbeat.machine(), new HeartbeatResult.Commands(commands), core.mayAnswer(heartbeat.machine()));
        for (WorkerCommand command : commands) {
            JobHistory history = histories.get(command.task().job());
            if (command instanceof WorkerCommand.Start) {
                int runSteps = history.spec.kind() == JobKind.SERVICE ? 1_000_000 : history.runSteps;
                machine.taskEnds.put(
                        command,
                        now
                                + (history.spec.savesCheckpoints()
                                        ? remainingSteps.getOrDefault(command.task(), runSteps)
                                        : runSteps));
                history.startedAt.putIfAbsent(command.task(), now);
            } else if (command instanceof WorkerCommand.Stop) {
                machine.stopping.add(command.task());
            }
        }
    }

    @Override
    public void onTaskCompleted(Job job) {}

    @Override
    public void log(String line) {}
}
