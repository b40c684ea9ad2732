package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
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
    static final SchedulerSettings STANDARD = new SchedulerSettings(
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
    private static final int BOOT = 20;
    /** Clock value of the first step, in seconds. It is not zero, so that events may lie before the first step. */
    private static final int BEGIN = 1000;

    /**
     * The jobs of one class: {@code atStart} jobs arrive in the first step, and {@code perStep} jobs in each step from
     * {@code from} until {@code until}.
     */
    public record Kind(
            String name,
            String team,
            Urgency urgency,
            double perStep,
            int atStart,
            int from,
            int until,
            int tasks,
            int run,
            double cores,
            boolean saves,
            JobKind shape,
            double estimate) {
        public static Kind of(
                String name, Urgency urgency, double perStep, int atStart, int tasks, int run, double cores) {
            return new Kind(
                    name,
                    "t",
                    urgency,
                    perStep,
                    atStart,
                    0,
                    Integer.MAX_VALUE,
                    tasks,
                    run,
                    cores,
                    false,
                    JobKind.ARRAY,
                    1);
        }

        public Kind team(String other) {
            return new Kind(
                    name, other, urgency, perStep, atStart, from, until, tasks, run, cores, saves, shape, estimate);
        }

        public Kind between(int begin, int end) {
            return new Kind(
                    name, team, urgency, perStep, atStart, begin, end, tasks, run, cores, saves, shape, estimate);
        }

        /** Returns the same workload with estimates of {@code times} the actual run time. */
        public Kind estimated(double times) {
            return new Kind(name, team, urgency, perStep, atStart, from, until, tasks, run, cores, saves, shape, times);
        }

        public Kind saving() {
            return new Kind(
                    name, team, urgency, perStep, atStart, from, until, tasks, run, cores, true, shape, estimate);
        }

        public Kind service() {
            return new Kind(
                    name, team, urgency, 0, atStart, from, until, tasks, run, cores, saves, JobKind.SERVICE, estimate);
        }
    }

    /** The history of a job: its arrival, the start of each task, and its end. */
    static final class Fate {
        final JobSpec spec;
        final int came;
        final int run;
        final Map<TaskId, Integer> started = new HashMap<>();
        int over = -1;

        Fate(JobSpec spec, int came, int run) {
            this.run = run;
            this.spec = spec;
            this.came = came;
        }

        int lastStart(int now) {
            return started.size() < spec.tasks()
                    ? now
                    : started.values().stream().mapToInt(i -> i).max().orElse(now);
        }
    }

    private static final class Box {
        final MachinePool pool;
        final int up;
        final Map<WorkerCommand, Integer> tasks = new LinkedHashMap<>();
        /** Tasks that were commanded to stop and have not reported it. */
        final List<TaskId> stopping = new ArrayList<>();

        Box(MachinePool pool, int up) {
            this.pool = pool;
            this.up = up;
        }
    }

    final Map<JobId, Fate> fates = new TreeMap<>();
    final List<ScaleOutRequest> asked = new ArrayList<>();
    private final SchedulerSettings tuning;
    private final List<Kind> kinds;
    private final Map<MachinePool, Integer> capacity;
    private final List<Team> teams;
    private final ServiceLevelObjectives aims;
    private final Map<String, Box> boxes = new TreeMap<>();
    private final Map<JobId, Job> open = new TreeMap<>();
    private final Map<Kind, Double> owed = new HashMap<>();
    private final Map<TaskId, Integer> left = new HashMap<>();
    private SchedulerCore core;
    private long token;
    private long serial;
    private int names;
    private int now;
    int mostUp;
    public EffectListener effects = EffectListener.NONE;

    public CoreHarness(List<Kind> kinds, int spot, int ordinary, ServiceLevelObjectives aims, Team... teams) {
        this(STANDARD, kinds, spot, ordinary, aims, teams);
    }

    CoreHarness(
            SchedulerSettings tuning,
            List<Kind> kinds,
            int spot,
            int ordinary,
            ServiceLevelObjectives aims,
            Team... teams) {
        this.tuning = tuning;
        this.kinds = kinds;
        this.aims = aims;
        this.teams = teams.length == 0 ? List.of(SimulatedWorld.team(0)) : List.of(teams);
        this.capacity = new HashMap<>(
                Map.of(new MachinePool("quad", "east", true), spot, new MachinePool("quad", "east", false), ordinary));
        newLeader();
    }

    /** Replaces the leader with a new one that has read all records and waits for the machines' heartbeats. */
    public void newLeader() {
        core = new SchedulerCore(new FencingToken(++token), SimulatedWorld.RULES, tuning, aims, teams, this);
        MachineType type = SimulatedWorld.TYPE;
        core.setTypes(List.of(new MachineType(
                type.name(),
                type.capacity(),
                type.cacheGb(),
                type.fetchGbPerS(),
                type.price(),
                type.spotPrice(),
                type.boot(),
                List.of("east"))));
        boxes.forEach((name, box) ->
                core.inheritMachine(new MachineId(name), box.pool, at(box.up - BOOT), at(box.up), at(now)));
        open.replaceAll((id, job) -> new Job(
                job.spec(),
                job.submittedMs(),
                job.eligibleSince,
                job.revision(),
                job.completedTasks(),
                job.startBoundToWrite(),
                true));
        open.values().forEach(core::addJob);
        core.recordsLoaded();
    }

    private static Moment at(int step) {
        return new Moment((BEGIN + step) * 1000L);
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
    double served(String name, int within) {
        return served(name, within, 0);
    }

    /** Returns the same fraction for jobs that arrived at step {@code from} or later. */
    double served(String name, int within, int from) {
        List<Fate> all = fates.values().stream()
                .filter(f -> f.spec.kind() == JobKind.ARRAY
                        && now - f.came >= within
                        && f.came >= from
                        && (f.spec.jobClass().equals(name) || f.spec.team().equals(name)))
                .toList();
        return all.stream()
                        .filter(f -> f.over >= 0 && f.over - f.came <= within)
                        .count()
                / (double) all.size();
    }

    /** Returns the longest wait until the last task started, of the jobs that arrived at step {@code from} or later. */
    int longestWait(String name, int from) {
        return fates.values().stream()
                .filter(f -> f.came >= from && f.spec.jobClass().equals(name))
                .mapToInt(f -> f.lastStart(now) - f.came)
                .max()
                .orElse(0);
    }

    /** Returns the longest wait of the class's jobs until the first task started. */
    int latestBegin(String name) {
        return fates.values().stream()
                .filter(f -> f.spec.jobClass().equals(name))
                .mapToInt(
                        f -> f.started.values().stream().mapToInt(i -> i).min().orElse(now) - f.came)
                .max()
                .orElse(0);
    }

    private void step() {
        for (Kind kind : kinds) {
            double due = owed.getOrDefault(kind, 0.0)
                    + (now == 0 ? kind.atStart : 0)
                    + (now >= kind.from && now < kind.until ? kind.perStep : 0);
            for (; due >= 1; due--) {
                come(kind);
            }
            owed.put(kind, due);
        }
        core.expireLeases(at(now));
        if (now % 2 == 0) {
            tend();
        }
        List<Job> toRaise = core.startBoundsToRaise(at(now));
        effects.boundsToRaise(toRaise);
        for (Job job : toRaise) {
            job.startBoundRecorded(job.startBoundToWrite());
        }
        int n = 0;
        for (Map.Entry<String, Box> e : boxes.entrySet()) {
            if (e.getValue().up <= now && n++ % 2 == now % 2) {
                report(e.getKey(), e.getValue());
            }
        }
        for (Iterator<Job> i = open.values().iterator(); i.hasNext(); ) {
            Job job = i.next();
            job.completionsRecorded(job.completedTasks());
            if (job.isComplete()) {
                effects.effect(EffectListener.JOB_ENDED, job.id().text());
                fates.get(job.id()).over = now;
                core.closeJob(job.id());
                i.remove();
            }
        }
        now++;
    }

    private void come(Kind kind) {
        JobSpec spec = JobSpec.builder(new JobId("run-" + (fates.size() + 1)))
                .jobClass(kind.name)
                .team(kind.team)
                .kind(kind.shape)
                .urgency(kind.urgency)
                .tasks(kind.tasks)
                .demand(new Demand(kind.cores, 0, kind.cores * 4))
                .image("img-" + kind.name)
                .imageGb(0.2)
                .spotAllowed(kind.shape == JobKind.ARRAY)
                .estimate(Span.seconds(kind.run * kind.estimate))
                .checkpointEvery(Span.seconds(kind.saves ? 10 : 0))
                .checkpointTime(Span.seconds(kind.saves ? 2 : 0))
                .build();
        Job job = new Job(spec, at(now).ms(), at(now), new Revision(fates.size() + 1), new BitSet(), 0, false);
        fates.put(job.id(), new Fate(spec, now, kind.run));
        open.put(job.id(), job);
        core.addJob(job);
    }

    private void tend() {
        List<ScaleOutRequest> wishes = core.scaleOutRequests(at(now));
        effects.rents(wishes);
        for (ScaleOutRequest request : wishes) {
            asked.add(request);
            int got = (int) Math.min(
                    request.count(),
                    capacity.get(request.pool())
                            - boxes.values().stream()
                                    .filter(b -> b.pool.equals(request.pool()))
                                    .count());
            if (got < request.count()) {
                core.scaleOutRejected(request.pool(), at(now));
            }
            List<MachineId> ids = new ArrayList<>();
            for (int i = 0; i < got; i++) {
                ids.add(new MachineId(String.format("m%05d", ++names)));
                boxes.put(ids.get(i).toString(), new Box(request.pool(), now + BOOT));
            }
            core.rented(request.pool(), ids, at(now), at(now));
        }
        core.planScaleIn(at(now));
        List<MachineId> leaving = core.machinesToReturn(100);
        effects.returns(leaving);
        leaving.forEach(id -> boxes.remove(id.toString()));
        core.returned(leaving, at(now));
        mostUp = Math.max(mostUp, boxes.size());
    }

    private void report(String name, Box box) {
        List<TaskStatus> list = new ArrayList<>();
        for (Iterator<Map.Entry<WorkerCommand, Integer>> i =
                        box.tasks.entrySet().iterator();
                i.hasNext(); ) {
            Map.Entry<WorkerCommand, Integer> e = i.next();
            boolean stopped = box.stopping.remove(e.getKey().task());
            boolean over = now >= e.getValue();
            if (stopped && !over) {
                left.put(e.getKey().task(), e.getValue() - now);
            }
            list.add(
                    stopped && !over
                            ? SimulatedWorld.exited(e.getKey(), ExitCause.STOPPED)
                            : over
                                    ? SimulatedWorld.exited(e.getKey(), ExitCause.DONE)
                                    : SimulatedWorld.running(e.getKey()));
            if (stopped || over) {
                i.remove();
            }
        }
        Heartbeat heartbeat = new Heartbeat(
                new MachineId(name),
                "10.0.0.1:1",
                box.pool,
                new HeartbeatNumber(1, ++serial),
                new FencingToken(token),
                null,
                list);
        List<WorkerCommand> orders =
                new ArrayList<>(core.onHeartbeat(heartbeat, at(now)).commands());
        if (core.unrecorded(new MachineId(name)).isPresent()) {
            core.recorded(new MachineId(name));
            orders.addAll(core.startTasks(new MachineId(name), heartbeat.number(), at(now)));
        }
        effects.answer(heartbeat.machine(), new HeartbeatResult.Commands(orders), core.mayAnswer(heartbeat.machine()));
        for (WorkerCommand command : orders) {
            Fate fate = fates.get(command.task().job());
            if (command instanceof WorkerCommand.Start) {
                int run = fate.spec.kind() == JobKind.SERVICE ? 1_000_000 : fate.run;
                box.tasks.put(
                        command, now + (fate.spec.savesProgress() ? left.getOrDefault(command.task(), run) : run));
                fate.started.putIfAbsent(command.task(), now);
            } else if (command instanceof WorkerCommand.Stop) {
                box.stopping.add(command.task());
            }
        }
    }

    @Override
    public void taskCompleted(Job job) {}

    @Override
    public void log(String line) {}
}
