package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Attempt;
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
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * A fixture for tests of the scheduler core: one machine type in two zones, a leader with token 5, jobs and heartbeats.
 */
public final class SchedulerFixture implements SchedulerListener {
    static final MachineType MACHINE_TYPE = new MachineType(
            "quad", new Resources(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east", "west"));
    public static final SafetyTimes SAFETY_TIMES =
            new SafetyTimes(Span.seconds(12), Span.seconds(2), Span.seconds(32), Span.seconds(3));
    static final SchedulerSettings SETTINGS = new SchedulerSettings(
            Span.seconds(45),
            Span.seconds(60),
            Span.seconds(60),
            Span.seconds(60),
            Span.seconds(5),
            2,
            4,
            Span.seconds(60),
            Span.seconds(60),
            Span.seconds(300),
            1,
            Span.seconds(10));
    static final ServiceLevelObjectives NO_OBJECTIVES = new ServiceLevelObjectives(List.of());
    static final FencingToken TOKEN = new FencingToken(5);

    final List<String> logLines = new ArrayList<>();
    final List<Job> progressedJobs = new ArrayList<>();
    final SchedulerCore core;
    private int jobCount;
    private long heartbeatCount;

    SchedulerFixture(Team... teams) {
        this(SETTINGS, teams);
    }

    SchedulerFixture(SchedulerSettings settings, Team... teams) {
        this(settings, NO_OBJECTIVES, teams);
    }

    SchedulerFixture(SchedulerSettings settings, ServiceLevelObjectives objectives, Team... teams) {
        core = new SchedulerCore(
                TOKEN,
                SAFETY_TIMES,
                settings,
                objectives,
                teams.length == 0 ? List.of(teamWithCoreLimit(0)) : List.of(teams),
                this);
        core.addMachineTypes(List.of(MACHINE_TYPE));
    }

    static Team teamWithCoreLimit(double maximumCores) {
        return new Team("t", 0, maximumCores, 0, 0);
    }

    public static Moment atSeconds(double seconds) {
        return new Moment(Math.round(seconds * 1000));
    }

    static JobSpec spec(int id, int tasks, double cores, double estimate) {
        return JobSpec.builder(new JobId("run-" + id))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .taskCount(tasks)
                .demand(new Resources(cores, 0, 1))
                .image("img")
                .imageGb(0)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(estimate))
                .build();
    }

    /** Returns the same job for another team. */
    static JobSpec withTeam(JobSpec base, String team) {
        return copyOf(base, team).urgency(base.urgency()).build();
    }

    /** Returns the same job as a best-effort job of another class. */
    static JobSpec bestEffort(JobSpec base, String jobClass) {
        return copyOf(base, base.team())
                .jobClass(jobClass)
                .urgency(Urgency.BEST_EFFORT)
                .build();
    }

    private static JobSpec.Builder copyOf(JobSpec base, String team) {
        return JobSpec.builder(base.id())
                .jobClass(base.jobClass())
                .team(team)
                .kind(base.kind())
                .taskCount(base.taskCount())
                .demand(base.demand())
                .image(base.image())
                .imageGb(base.imageGb())
                .machineTypes(base.machineTypes())
                .zone(base.zone())
                .singleZone(base.singleZone())
                .spreadOverZones(base.spreadOverZones())
                .spotAllowed(base.spotAllowed())
                .estimatedRunTime(base.estimatedRunTime())
                .checkpointInterval(base.checkpointInterval())
                .checkpointDuration(base.checkpointDuration())
                .relativeDeadline(base.relativeDeadline());
    }

    static JobSpec withOptions(
            JobSpec base,
            Urgency urgency,
            boolean oneZone,
            boolean spread,
            boolean spotAllowed,
            String zone,
            double checkpointEvery) {
        return copyOf(base, base.team())
                .urgency(urgency)
                .zone(zone)
                .singleZone(oneZone)
                .spreadOverZones(spread)
                .spotAllowed(spotAllowed)
                .checkpointInterval(Span.seconds(checkpointEvery))
                .checkpointDuration(Span.seconds(checkpointEvery > 0 ? 2 : 0))
                .build();
    }

    /** Returns a service with replicas of one core that may use only on-demand machines. */
    static JobSpec service(int id, int replicas) {
        return JobSpec.builder(new JobId("run-" + id))
                .jobClass("s")
                .team("t")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.PRODUCTION)
                .taskCount(replicas)
                .demand(new Resources(1, 0, 1))
                .image("img-" + id)
                .imageGb(1)
                .build();
    }

    Job submit(JobSpec spec, double seconds) {
        Job job = new Job(
                spec,
                Math.round(seconds * 1000) + ++jobCount,
                atSeconds(seconds),
                new Revision(100 + jobCount),
                new BitSet(),
                spec.taskCount(),
                false);
        core.addJob(job);
        return job;
    }

    Job addInheritedJob(JobSpec spec) {
        return addInheritedJob(spec, spec.taskCount());
    }

    /** Adds an inherited job; the previous leader may have started the tasks below {@code startBound}. */
    Job addInheritedJob(JobSpec spec, int startBound) {
        Job job = new Job(spec, ++jobCount, atSeconds(0), new Revision(jobCount), new BitSet(), startBound, true);
        core.addJob(job);
        return job;
    }

    /** Adds a spot machine that is rented and recorded. */
    void addSpotMachine(String name, String zone, double seconds) {
        core.onMachinesRented(
                new MachinePool("quad", zone, true),
                List.of(new MachineId(name)),
                atSeconds(seconds),
                atSeconds(seconds));
        core.onMachineRecorded(new MachineId(name));
    }

    Heartbeat newHeartbeat(String name, String zone, long session, FencingToken token, TaskStatus... tasks) {
        return new Heartbeat(
                new MachineId(name),
                "10.0.0.1:1",
                new MachinePool("quad", zone, true),
                new HeartbeatNumber(session, ++heartbeatCount),
                token,
                null,
                List.of(tasks));
    }

    /** Adds an on-demand machine that is rented and recorded, and sends its first heartbeat. */
    List<WorkerCommand> addOnDemandMachine(String name, double seconds) {
        core.onMachinesRented(
                new MachinePool("quad", "east", false),
                List.of(new MachineId(name)),
                atSeconds(seconds),
                atSeconds(seconds));
        core.onMachineRecorded(new MachineId(name));
        return heartbeatOnDemand(name, seconds);
    }

    List<WorkerCommand> heartbeatOnDemand(String name, double seconds, TaskStatus... tasks) {
        Heartbeat heartbeat = newHeartbeat(name, "east", 1, TOKEN, tasks);
        return core.onHeartbeat(
                        new Heartbeat(
                                heartbeat.machine(),
                                heartbeat.address(),
                                new MachinePool("quad", "east", false),
                                heartbeat.number(),
                                heartbeat.token(),
                                null,
                                heartbeat.tasks()),
                        atSeconds(seconds))
                .commands();
    }

    static TaskStatus[] runningStatus(List<WorkerCommand> commands) {
        return commands.stream()
                .filter(command -> command instanceof WorkerCommand.Start)
                .map(SchedulerFixture::runningStatus)
                .toArray(TaskStatus[]::new);
    }

    List<WorkerCommand> heartbeat(String name, double seconds, TaskStatus... tasks) {
        return core.onHeartbeat(newHeartbeat(name, "east", 1, TOKEN, tasks), atSeconds(seconds))
                .commands();
    }

    static TaskStatus runningStatus(WorkerCommand command) {
        return new TaskStatus(command.task(), command.attempt(), TaskState.RUNNING, null, false);
    }

    static TaskStatus exitedStatus(WorkerCommand command, ExitCause cause) {
        return new TaskStatus(command.task(), command.attempt(), TaskState.EXITED, cause, false);
    }

    static TaskStatus statusOfUnknownTask(String task, long attempt) {
        return new TaskStatus(TaskId.parse(task), new Attempt(attempt), TaskState.RUNNING, null, false);
    }

    static List<String> tasksToStart(List<WorkerCommand> commands) {
        return commands.stream()
                .filter(command -> command instanceof WorkerCommand.Start)
                .map(command -> command.task().toString())
                .toList();
    }

    static List<String> tasksToStop(List<WorkerCommand> commands) {
        return commands.stream()
                .filter(command -> command instanceof WorkerCommand.Stop)
                .map(command -> command.task().toString())
                .toList();
    }

    @Override
    public void onTaskCompleted(Job job) {
        progressedJobs.add(job);
    }

    @Override
    public void log(String line) {
        logLines.add(line);
    }
}
