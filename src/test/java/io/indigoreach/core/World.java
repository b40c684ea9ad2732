package io.indigoreach.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A small setting for tests of the core: one machine type in two zones, a leader under token 5, jobs and reports. */
final class World implements Notes {
    static final MachineType TYPE = new MachineType(
            "quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("east", "west"));
    static final Rules RULES = new Rules(Span.seconds(12), Span.seconds(2), Span.seconds(32), Span.seconds(3));
    static final Tuning TUNING = new Tuning(
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
    static final Aims NO_AIMS = new Aims(List.of());
    static final Token TOKEN = new Token(5);

    final List<String> said = new ArrayList<>();
    final List<Job> progressed = new ArrayList<>();
    final LeaderCore core;
    private int jobs;
    private long serial;

    World(Team... teams) {
        this(TUNING, teams);
    }

    World(Tuning tuning, Team... teams) {
        this(tuning, NO_AIMS, teams);
    }

    World(Tuning tuning, Aims aims, Team... teams) {
        core = new LeaderCore(TOKEN, RULES, tuning, aims, teams.length == 0 ? List.of(team(0)) : List.of(teams), this);
        core.setTypes(List.of(TYPE));
    }

    static Team team(double coresMax) {
        return new Team("t", 0, coresMax, 0, 0);
    }

    static Moment at(double seconds) {
        return new Moment(Math.round(seconds * 1000));
    }

    static JobSpec spec(int id, int tasks, double cores, double estimate) {
        return new JobSpec(
                new JobId("run-" + id),
                "c",
                "t",
                Shape.ARRAY,
                Urgency.STANDARD,
                tasks,
                new Demand(cores, 0, 1),
                "img",
                0,
                null,
                null,
                false,
                false,
                true,
                Span.seconds(estimate),
                Span.ZERO,
                Span.ZERO,
                null);
    }

    static JobSpec with(
            JobSpec s, Urgency urgency, boolean oneZone, boolean spread, boolean spot, String zone, double saveEvery) {
        return new JobSpec(
                s.id(),
                s.jobClass(),
                s.team(),
                s.shape(),
                urgency,
                s.tasks(),
                s.demand(),
                s.image(),
                s.imageGb(),
                s.types(),
                zone,
                oneZone,
                spread,
                spot,
                s.estimate(),
                Span.seconds(saveEvery),
                Span.seconds(saveEvery > 0 ? 2 : 0),
                s.due());
    }

    /** A service: replicas of one core on ordinary machines, until it is cancelled. */
    static JobSpec service(int id, int replicas) {
        return new JobSpec(
                new JobId("run-" + id),
                "s",
                "t",
                Shape.SERVICE,
                Urgency.PRODUCTION,
                replicas,
                new Demand(1, 0, 1),
                "img-" + id,
                1,
                null,
                null,
                false,
                false,
                false,
                Span.ZERO,
                Span.ZERO,
                Span.ZERO,
                null);
    }

    Job submit(JobSpec spec, double at) {
        Job job = new Job(
                spec, Math.round(at * 1000) + ++jobs, at(at), new Stamp(100 + jobs), new BitSet(), spec.tasks(), false);
        core.addJob(job);
        return job;
    }

    Job inherited(JobSpec spec) {
        return inherited(spec, spec.tasks());
    }

    /** One of whose tasks an earlier leader may have started those below {@code bound}. */
    Job inherited(JobSpec spec, int bound) {
        Job job = new Job(spec, ++jobs, at(0), new Stamp(jobs), new BitSet(), bound, true);
        core.addJob(job);
        return job;
    }

    /** A machine that is rented, recorded, and has made its first report. */
    void up(String name, String zone, double at) {
        core.rented(new Pool("quad", zone, true), List.of(new MachineId(name)), at(at), at(at));
        core.recorded(new MachineId(name));
    }

    WorkerReport report(String name, String zone, long session, Token token, TaskReport... tasks) {
        return new WorkerReport(
                new MachineId(name),
                "10.0.0.1:1",
                new Pool("quad", zone, true),
                new ReportNumber(session, ++serial),
                token,
                null,
                List.of(tasks));
    }

    /** An ordinary machine that is rented, recorded, and has made its first report. */
    List<Order> ordinary(String name, double at) {
        core.rented(new Pool("quad", "east", false), List.of(new MachineId(name)), at(at), at(at));
        core.recorded(new MachineId(name));
        return hearOrdinary(name, at);
    }

    List<Order> hearOrdinary(String name, double at, TaskReport... tasks) {
        WorkerReport r = report(name, "east", 1, TOKEN, tasks);
        return core.onReport(
                new WorkerReport(
                        r.machine(),
                        r.address(),
                        new Pool("quad", "east", false),
                        r.number(),
                        r.token(),
                        null,
                        r.tasks()),
                at(at));
    }

    static TaskReport[] running(List<Order> orders) {
        return orders.stream()
                .filter(o -> o instanceof Order.Start)
                .map(World::running)
                .toArray(TaskReport[]::new);
    }

    List<Order> hear(String name, double at, TaskReport... tasks) {
        return core.onReport(report(name, "east", 1, TOKEN, tasks), at(at));
    }

    static TaskReport running(Order o) {
        return new TaskReport(o.task(), o.attempt(), TaskState.RUNNING, null, false);
    }

    static TaskReport exited(Order o, ExitCause cause) {
        return new TaskReport(o.task(), o.attempt(), TaskState.EXITED, cause, false);
    }

    static TaskReport foreign(String task, long attempt) {
        return new TaskReport(TaskId.parse(task), new Attempt(attempt), TaskState.RUNNING, null, false);
    }

    static List<String> starts(List<Order> orders) {
        return orders.stream()
                .filter(o -> o instanceof Order.Start)
                .map(o -> o.task().toString())
                .toList();
    }

    static List<String> stops(List<Order> orders) {
        return orders.stream()
                .filter(o -> o instanceof Order.Stop)
                .map(o -> o.task().toString())
                .toList();
    }

    @Override
    public void progress(Job job) {
        progressed.add(job);
    }

    @Override
    public void say(String line) {
        said.add(line);
    }
}
