package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.Demand;
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
public final class SimulatedWorld implements SchedulerListener {
    static final MachineType TYPE = new MachineType(
            "quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east", "west"));
    public static final SafetyTimes RULES =
            new SafetyTimes(Span.seconds(12), Span.seconds(2), Span.seconds(32), Span.seconds(3));
    static final SchedulerSettings TUNING = new SchedulerSettings(
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
    static final ServiceLevelObjectives NO_AIMS = new ServiceLevelObjectives(List.of());
    static final FencingToken TOKEN = new FencingToken(5);

    final List<String> said = new ArrayList<>();
    final List<Job> progressed = new ArrayList<>();
    final SchedulerCore core;
    private int jobs;
    private long serial;

    SimulatedWorld(Team... teams) {
        this(TUNING, teams);
    }

    SimulatedWorld(SchedulerSettings tuning, Team... teams) {
        this(tuning, NO_AIMS, teams);
    }

    SimulatedWorld(SchedulerSettings tuning, ServiceLevelObjectives aims, Team... teams) {
        core = new SchedulerCore(
                TOKEN, RULES, tuning, aims, teams.length == 0 ? List.of(team(0)) : List.of(teams), this);
        core.setTypes(List.of(TYPE));
    }

    static Team team(double coresMax) {
        return new Team("t", 0, coresMax, 0, 0);
    }

    public static Moment at(double seconds) {
        return new Moment(Math.round(seconds * 1000));
    }

    static JobSpec spec(int id, int tasks, double cores, double estimate) {
        return JobSpec.builder(new JobId("run-" + id))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(tasks)
                .demand(new Demand(cores, 0, 1))
                .image("img")
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(estimate))
                .build();
    }

    static JobSpec with(
            JobSpec s, Urgency urgency, boolean oneZone, boolean spread, boolean spot, String zone, double saveEvery) {
        return JobSpec.builder(s.id())
                .jobClass(s.jobClass())
                .team(s.team())
                .kind(s.kind())
                .urgency(urgency)
                .tasks(s.tasks())
                .demand(s.demand())
                .image(s.image())
                .imageGb(s.imageGb())
                .types(s.types())
                .zone(zone)
                .oneZone(oneZone)
                .spread(spread)
                .spotAllowed(spot)
                .estimate(s.estimate())
                .checkpointEvery(Span.seconds(saveEvery))
                .checkpointTime(Span.seconds(saveEvery > 0 ? 2 : 0))
                .due(s.due())
                .build();
    }

    /** Returns a service with replicas of one core that may use only on-demand machines. */
    static JobSpec service(int id, int replicas) {
        return JobSpec.builder(new JobId("run-" + id))
                .jobClass("s")
                .team("t")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.PRODUCTION)
                .tasks(replicas)
                .demand(new Demand(1, 0, 1))
                .image("img-" + id)
                .imageGb(1)
                .build();
    }

    Job submit(JobSpec spec, double at) {
        Job job = new Job(
                spec,
                Math.round(at * 1000) + ++jobs,
                at(at),
                new Revision(100 + jobs),
                new BitSet(),
                spec.tasks(),
                false);
        core.addJob(job);
        return job;
    }

    Job inherited(JobSpec spec) {
        return inherited(spec, spec.tasks());
    }

    /** Adds an inherited job; the previous leader may have started the tasks below {@code bound}. */
    Job inherited(JobSpec spec, int bound) {
        Job job = new Job(spec, ++jobs, at(0), new Revision(jobs), new BitSet(), bound, true);
        core.addJob(job);
        return job;
    }

    /** Adds a spot machine that is rented and recorded. */
    void up(String name, String zone, double at) {
        core.rented(new MachinePool("quad", zone, true), List.of(new MachineId(name)), at(at), at(at));
        core.recorded(new MachineId(name));
    }

    Heartbeat report(String name, String zone, long session, FencingToken token, TaskStatus... tasks) {
        return new Heartbeat(
                new MachineId(name),
                "10.0.0.1:1",
                new MachinePool("quad", zone, true),
                new HeartbeatNumber(session, ++serial),
                token,
                null,
                List.of(tasks));
    }

    /** Adds an on-demand machine that is rented and recorded, and sends its first heartbeat. */
    List<WorkerCommand> ordinary(String name, double at) {
        core.rented(new MachinePool("quad", "east", false), List.of(new MachineId(name)), at(at), at(at));
        core.recorded(new MachineId(name));
        return hearOrdinary(name, at);
    }

    List<WorkerCommand> hearOrdinary(String name, double at, TaskStatus... tasks) {
        Heartbeat heartbeat = report(name, "east", 1, TOKEN, tasks);
        return core.onHeartbeat(
                        new Heartbeat(
                                heartbeat.machine(),
                                heartbeat.address(),
                                new MachinePool("quad", "east", false),
                                heartbeat.number(),
                                heartbeat.token(),
                                null,
                                heartbeat.tasks()),
                        at(at))
                .commands();
    }

    static TaskStatus[] running(List<WorkerCommand> orders) {
        return orders.stream()
                .filter(command -> command instanceof WorkerCommand.Start)
                .map(SimulatedWorld::running)
                .toArray(TaskStatus[]::new);
    }

    List<WorkerCommand> hear(String name, double at, TaskStatus... tasks) {
        return core.onHeartbeat(report(name, "east", 1, TOKEN, tasks), at(at)).commands();
    }

    static TaskStatus running(WorkerCommand command) {
        return new TaskStatus(command.task(), command.attempt(), TaskState.RUNNING, null, false);
    }

    static TaskStatus exited(WorkerCommand command, ExitCause cause) {
        return new TaskStatus(command.task(), command.attempt(), TaskState.EXITED, cause, false);
    }

    static TaskStatus foreign(String task, long attempt) {
        return new TaskStatus(TaskId.parse(task), new Attempt(attempt), TaskState.RUNNING, null, false);
    }

    static List<String> starts(List<WorkerCommand> orders) {
        return orders.stream()
                .filter(command -> command instanceof WorkerCommand.Start)
                .map(command -> command.task().toString())
                .toList();
    }

    static List<String> stops(List<WorkerCommand> orders) {
        return orders.stream()
                .filter(command -> command instanceof WorkerCommand.Stop)
                .map(command -> command.task().toString())
                .toList();
    }

    @Override
    public void taskCompleted(Job job) {
        progressed.add(job);
    }

    @Override
    public void log(String line) {
        said.add(line);
    }
}
