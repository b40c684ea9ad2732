package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.accounts.Meter;
import io.indigoreach.core.accounts.Sheet;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.ListedMachine;
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
import io.indigoreach.core.warm.BurstWindow;
import io.indigoreach.core.warm.DemandHistory;
import io.indigoreach.core.warm.PoolPlanner;
import io.indigoreach.core.warm.PoolSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Simulates warm pools around the real scheduler core, pool planner and meter in steps of one second. */
final class WarmPoolHarness implements SchedulerListener {
    static final String MODEL = "weights-1";
    private static final int BEGIN = 1000;

    /** A task on a simulated machine. */
    private static final class Task {
        final WorkerCommand.Start start;
        final JobSpec spec;
        TaskState state = TaskState.FETCHING;
        int ends = Integer.MAX_VALUE;

        Task(WorkerCommand.Start start, JobSpec spec) {
            this.start = start;
            this.spec = spec;
        }
    }

    /** A simulated machine with its actual cache, the least recently used image first. */
    static final class Box {
        final MachinePool pool;
        final int rented;
        final int up;
        long session = 1;
        final Map<String, Double> cache = new LinkedHashMap<>();
        final Map<TaskId, Task> tasks = new LinkedHashMap<>();
        String fetching;
        int fetched;

        Box(MachinePool pool, int rented, int up) {
            this.pool = pool;
            this.rented = rented;
            this.up = up;
        }
    }

    final MachineType type;
    final Map<String, Box> boxes = new TreeMap<>();
    final Map<MachinePool, Integer> capacity = new HashMap<>();
    final Map<String, PoolSpec> pools = new TreeMap<>();
    final Map<JobId, Job> open = new TreeMap<>();
    final Map<JobId, List<Integer>> began = new TreeMap<>();
    final List<String> said = new ArrayList<>();
    /** The accounts' pages that are stored in the state service. */
    final Map<Integer, Sheet> sheets = new TreeMap<>();

    List<Team> teams = List.of(new Team("t", 0, 0, 0, 0), new Team("g", 0, 0, 0, 0));
    SchedulerCore core;
    PoolPlanner plan;
    Meter meter;
    double bill;
    int rents;
    int now;
    /** Steps between writes of the accounts' pages to the state service. */
    int writesEvery = 1;
    /** The zone whose machines do not report, or null. */
    String silent;

    EffectListener effects = EffectListener.NONE;

    private long token;
    private long serial;
    private int names;
    private int jobs;
    private final List<ScaleOutRequest> asked = new ArrayList<>();

    WarmPoolHarness(double cacheGb, int perZone) {
        type = new MachineType(
                "big", new Demand(8, 0, 64), cacheGb, 1.0, 3.6, 1.2, Span.seconds(20), List.of("east", "west"));
        for (String zone : type.zones()) {
            capacity.put(new MachinePool("big", zone, true), perZone);
            capacity.put(new MachinePool("big", zone, false), perZone);
        }
        newLeader();
    }

    static PoolSpec pool(String name, String image, double gb, int least, int most, BurstWindow... windows) {
        return new PoolSpec(
                name,
                "t",
                image,
                gb,
                new Demand(8, 0, 8),
                List.of("big"),
                List.of(),
                0.5,
                least,
                most,
                0.95,
                List.of(windows),
                false,
                0,
                false);
    }

    static PoolSpec spot(PoolSpec p) {
        return new PoolSpec(
                p.name(),
                p.team(),
                p.image(),
                p.gb(),
                p.replica(),
                p.types(),
                p.zones(),
                p.zonePart(),
                p.least(),
                p.most(),
                p.wanted(),
                p.windows(),
                p.learned(),
                p.budget(),
                true);
    }

    static PoolSpec budget(PoolSpec p, double budget) {
        return new PoolSpec(
                p.name(),
                p.team(),
                p.image(),
                p.gb(),
                p.replica(),
                p.types(),
                p.zones(),
                p.zonePart(),
                p.least(),
                p.most(),
                p.wanted(),
                p.windows(),
                p.learned(),
                budget,
                p.spot());
    }

    /** Adds a pool and submits its holder job with one task for each machine. */
    Job keep(PoolSpec p) {
        pools.put(p.name(), p);
        plan.pools(pools.values(), n -> new DemandHistory());
        return submit(JobSpec.builder(new JobId("run-" + ++jobs))
                .jobClass("hold")
                .team(p.team())
                .kind(JobKind.SERVICE)
                .urgency(Urgency.STANDARD)
                .tasks(p.most())
                .demand(new Demand(0.01, 0, 0.1))
                .image(p.image())
                .imageGb(p.gb())
                .spotAllowed()
                .build()
                .with(JobSpec.WARM, p.name()));
    }

    /** Submits a service whose replicas take whole machines. */
    Job serve(String image, double gb, int replicas) {
        return submit(JobSpec.builder(new JobId("run-" + ++jobs))
                .jobClass("serve")
                .team("t")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.PRODUCTION)
                .tasks(replicas)
                .demand(new Demand(8, 0, 8))
                .image(image)
                .imageGb(gb)
                .spotAllowed()
                .build());
    }

    /** Submits an array job of another team. */
    Job array(String image, double gb, int tasks, double cores, int run) {
        return submit(JobSpec.builder(new JobId("run-" + ++jobs))
                .jobClass("guest")
                .team("g")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.BEST_EFFORT)
                .tasks(tasks)
                .demand(new Demand(cores, 0, 1))
                .image(image)
                .imageGb(gb)
                .spotAllowed()
                .estimate(Span.seconds(run))
                .build());
    }

    private Job submit(JobSpec spec) {
        Job job = new Job(spec, at(now).ms(), at(now), new Revision(jobs), new BitSet(), 0, false);
        open.put(job.id(), job);
        began.put(job.id(), new ArrayList<>());
        core.addJob(job);
        return job;
    }

    void cancel(Job job) {
        open.remove(job.id());
        core.cancelJob(job.id());
    }

    static Moment at(int step) {
        return new Moment((BEGIN + step) * 1000L);
    }

    /** Replaces the leader with a new one that knows the jobs, the recorded machines, and the accounts' pages. */
    void newLeader() {
        core = new SchedulerCore(
                new FencingToken(++token),
                SimulatedWorld.RULES,
                CoreHarness.STANDARD,
                SimulatedWorld.NO_AIMS,
                teams,
                this);
        core.setTypes(List.of(type));
        boxes.forEach((name, box) -> {
            if (box.up <= now) {
                core.inheritMachine(new MachineId(name), box.pool, at(box.rented), at(box.rented), at(now));
            }
        });
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
        plan = new PoolPlanner(teams, () -> List.of(type), CoreHarness.STANDARD.term(), Moment::ms, said::add);
        meter = new Meter(CoreHarness.STANDARD.minimumPaidTime().ms());
        core.useWarmCapacity(plan);
        plan.pools(pools.values(), n -> new DemandHistory());
        sheets.forEach((n, sheet) -> meter.recall(n, sheet, this::price));
        plan.recall(meter.lines(), at(now));
        // The machine listing of the cloud also contains booting machines.
        core.onMachineListing(listed(), at(now), at(now));
    }

    private List<ListedMachine> listed() {
        return new ArrayList<>(boxes.entrySet().stream()
                .map(e -> new ListedMachine(
                        new MachineId(e.getKey()),
                        e.getValue().pool,
                        ListedMachine.Status.RUNNING,
                        Span.seconds(now - e.getValue().rented)))
                .toList());
    }

    private double price(MachinePool where) {
        return where.spot() ? type.spotPrice() : type.price();
    }

    WarmPoolHarness run(int steps) {
        return run(steps, () -> {});
    }

    /** Runs {@code check} after each step. */
    WarmPoolHarness run(int steps, Runnable check) {
        for (int i = 0; i < steps; i++) {
            step();
            check.run();
        }
        return this;
    }

    private void step() {
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
            if (e.getValue().up <= now) {
                work(e.getValue());
                if (!e.getValue().pool.zone().equals(silent) && n++ % 2 == now % 2) {
                    report(e.getKey(), e.getValue());
                }
            }
        }
        for (Iterator<Job> i = open.values().iterator(); i.hasNext(); ) {
            Job job = i.next();
            job.completionsRecorded(job.completedTasks());
            if (job.isComplete()) {
                effects.effect(EffectListener.JOB_ENDED, job.id().text());
                core.closeJob(job.id());
                i.remove();
            }
        }
        look();
        now++;
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
                boxes.put(
                        ids.get(i).toString(),
                        new Box(request.pool(), now, now + (int) type.boot().seconds()));
                rents++;
            }
            core.rented(request.pool(), ids, at(now), at(now));
        }
        core.planScaleIn(at(now));
        List<MachineId> leaving = core.machinesToReturn(100);
        effects.returns(leaving);
        leaving.forEach(id -> end(id.toString()));
        core.returned(leaving, at(now));
    }

    /** Removes a machine and adds its cost to the bill. */
    void end(String name) {
        Box box = boxes.remove(name);
        if (box != null) {
            bill += price(box.pool) * Math.max(60, now - box.rented) / 3600;
        }
    }

    /** Returns what the cloud has charged until now. */
    double charged() {
        return bill
                + boxes.values().stream()
                        .mapToDouble(b -> price(b.pool) * (now - b.rented) / 3600)
                        .sum();
    }

    /** Preempts every second spot machine without notice. */
    void wave() {
        int n = 0;
        for (String name : new ArrayList<>(boxes.keySet())) {
            if (boxes.get(name).pool.spot() && n++ % 2 == 0) {
                MachinePool where = boxes.get(name).pool;
                end(name);
                List<ListedMachine> list = listed();
                list.add(new ListedMachine(new MachineId(name), where, ListedMachine.Status.FAILED, Span.ZERO));
                core.onMachineListing(list, at(now), at(now));
            }
        }
    }

    private void work(Box box) {
        if (box.fetching != null && now >= box.fetched) {
            String image = box.fetching;
            box.fetching = null;
            double gb = box.tasks.values().stream()
                    .filter(t -> t.spec.image().equals(image))
                    .findFirst()
                    .orElseThrow()
                    .spec
                    .imageGb();
            box.cache.put(image, gb);
            for (Iterator<Map.Entry<String, Double>> i = box.cache.entrySet().iterator();
                    i.hasNext()
                            && box.cache.values().stream().mapToDouble(d -> d).sum() > type.cacheGb(); ) {
                if (!i.next().getKey().equals(image)) {
                    i.remove();
                }
            }
        }
        for (Task t : box.tasks.values()) {
            if (t.state == TaskState.FETCHING && box.cache.containsKey(t.spec.image())) {
                t.state = TaskState.RUNNING;
                t.ends = t.spec.isService()
                        ? Integer.MAX_VALUE
                        : now + (int) t.spec.estimate().seconds();
                began.get(t.spec.id()).add(now);
            } else if (t.state == TaskState.FETCHING && box.fetching == null) {
                box.fetching = t.spec.image();
                box.fetched = now + (int) Math.ceil(t.spec.imageGb() / type.fetchGbPerS());
            } else if (t.state == TaskState.RUNNING && now >= t.ends) {
                t.state = TaskState.EXITED;
            }
        }
    }

    private void report(String name, Box box) {
        List<TaskStatus> list = new ArrayList<>();
        box.tasks
                .values()
                .forEach(t -> list.add(
                        t.state == TaskState.EXITED
                                ? SimulatedWorld.exited(t.start, ExitCause.DONE)
                                : new TaskStatus(t.start.task(), t.start.attempt(), t.state, null, false)));
        Heartbeat heartbeat = new Heartbeat(
                new MachineId(name),
                "10.0.0.1:1",
                box.pool,
                new HeartbeatNumber(box.session, ++serial),
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
            if (command instanceof WorkerCommand.Start s) {
                Job job = open.get(command.task().job());
                double used = box.tasks.values().stream()
                        .filter(t -> t.state != TaskState.EXITED)
                        .mapToDouble(t -> t.spec.demand().cores())
                        .sum();
                if (used + job.spec().demand().cores() > type.capacity().cores() + 1e-6) {
                    throw new AssertionError("started " + command.task() + " without free cores on " + name);
                }
                Task task = new Task(s, job.spec());
                box.tasks.put(command.task(), task);
                Double held = box.cache.remove(job.spec().image());
                if (held != null) {
                    box.cache.put(job.spec().image(), held);
                }
            } else {
                Task gone = box.tasks.remove(command.task());
                if (gone != null
                        && gone.spec.image().equals(box.fetching)
                        && box.tasks.values().stream()
                                .noneMatch(t -> t.spec.image().equals(gone.spec.image()))) {
                    box.fetching = null;
                }
            }
        }
    }

    private void look() {
        List<Meter.Look> looks = new ArrayList<>();
        for (Machine machine : core.machines()) {
            boolean in = machine.poolMembership() != null
                    && !machine.poolMembership().isEnded();
            looks.add(new Meter.Look(
                    machine.id(),
                    machine.pool(),
                    machine.rentedAt().ms(),
                    in ? new Account(machine.poolMembership().pool(), "t") : new Account("", ""),
                    in ? machine.poolMembership().image() : "",
                    in ? machine.poolMembership().imageGb() : 0,
                    in && machine.imageCache().isCached(machine.poolMembership().image()) ? machine.incarnation() : 0,
                    machine.coresByTeam(),
                    8,
                    price(machine.pool()),
                    machine.phase() == Machine.Phase.RETURNING));
        }
        meter.look(looks, at(now).ms());
        for (int page : now % writesEvery == 0 ? meter.behind(now % 20 == 0) : List.<Integer>of()) {
            Sheet next = meter.next(page, sheets.getOrDefault(page, Sheet.EMPTY));
            effects.page(page, next);
            sheets.put(page, next);
            meter.written(page, next);
        }
        for (Machine machine : core.machines()) {
            if (!meter.isRecordedInPool(machine.id())) {
                plan.released(machine);
            }
        }
        Map<String, Double> spent = new HashMap<>();
        meter.sums().forEach((account, money) -> spent.merge(account.pool(), money, Double::sum));
        spent.forEach(plan::spent);
        plan.told()
                .forEach(t -> effects.effect(
                        EffectListener.POOL,
                        t.pool(),
                        t.target(),
                        t.seats(),
                        t.ready(),
                        t.coming(),
                        t.hits(),
                        t.misses(),
                        t.lost()));
    }

    /**
     * Asserts that every image which the leader believes to be cached by a pool's machine is in the machine's cache.
     */
    void truthful() {
        for (Machine machine : core.machines()) {
            Box box = boxes.get(machine.id().toString());
            if (box != null
                    && machine.poolMembership() != null
                    && machine.imageCache().isCached(machine.poolMembership().image())
                    && !box.cache.containsKey(machine.poolMembership().image())) {
                throw new AssertionError("at " + now + " " + machine.id() + " should have cached "
                        + machine.poolMembership().image() + " but has " + box.cache.keySet());
            }
        }
    }

    long machines(String pool) {
        return core.machines().stream()
                .filter(machine -> machine.poolMembership() != null
                        && !machine.poolMembership().isEnded()
                        && machine.poolMembership().pool().equals(pool))
                .count();
    }

    /** Returns how many machines actually have the image cached. */
    long holding(String image) {
        return boxes.values().stream().filter(b -> b.cache.containsKey(image)).count();
    }

    /**
     * Returns the sorted seconds from {@code from} until each task of the job began, without tasks that never began.
     */
    List<Integer> waits(Job job, int from) {
        return began.get(job.id()).stream().map(t -> t - from).sorted().toList();
    }

    List<ScaleOutRequest> asked() {
        return asked;
    }

    @Override
    public void taskCompleted(Job job) {}

    @Override
    public void log(String line) {}
}
