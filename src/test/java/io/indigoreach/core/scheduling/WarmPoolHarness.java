package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.accounts.Meter;
import io.indigoreach.core.accounts.Sheet;
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
import io.indigoreach.core.model.Resources;
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
    static final String MODEL_IMAGE = "weights-1";
    private static final int FIRST_STEP_S = 1000;

    /** A task on a simulated machine. */
    private static final class SimulatedTask {
        final WorkerCommand.Start start;
        final JobSpec spec;
        TaskState state = TaskState.FETCHING;
        int endsAt = Integer.MAX_VALUE;

        SimulatedTask(WorkerCommand.Start start, JobSpec spec) {
            this.start = start;
            this.spec = spec;
        }
    }

    /** A simulated machine with its actual cache, the least recently used image first. */
    static final class SimulatedMachine {
        final MachinePool pool;
        final int rentedAt;
        final int upAt;
        long incarnation = 1;
        final Map<String, Double> cache = new LinkedHashMap<>();
        final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
        String fetchingImage;
        int fetchedAt;

        SimulatedMachine(MachinePool pool, int rentedAt, int upAt) {
            this.pool = pool;
            this.rentedAt = rentedAt;
            this.upAt = upAt;
        }
    }

    final MachineType type;
    final Map<String, SimulatedMachine> machines = new TreeMap<>();
    final Map<MachinePool, Integer> capacity = new HashMap<>();
    final Map<String, PoolSpec> pools = new TreeMap<>();
    final Map<JobId, Job> openJobs = new TreeMap<>();
    final Map<JobId, List<Integer>> startSteps = new TreeMap<>();
    final List<String> logLines = new ArrayList<>();
    /** The accounts' pages that are stored in the state service. */
    final Map<Integer, Sheet> storedPages = new TreeMap<>();

    List<Team> teams = List.of(new Team("t", 0, 0, 0, 0), new Team("g", 0, 0, 0, 0));
    SchedulerCore core;
    PoolPlanner planner;
    Meter meter;
    double returnedMachineCost;
    int rentedCount;
    int now;
    /** Steps between writes of the accounts' pages to the state service. */
    int pageWritePeriod = 1;
    /** The zone whose machines do not report, or null. */
    String silentZone;

    EffectListener effects = EffectListener.NONE;

    private long token;
    private long heartbeatCount;
    private int machineNameCount;
    private int jobCount;
    private final List<ScaleOutRequest> requests = new ArrayList<>();

    WarmPoolHarness(double cacheGb, int capacityPerZone) {
        type = new MachineType(
                "big", new Resources(8, 0, 64), cacheGb, 1.0, 3.6, 1.2, Span.seconds(20), List.of("east", "west"));
        for (String zone : type.zones()) {
            capacity.put(new MachinePool("big", zone, true), capacityPerZone);
            capacity.put(new MachinePool("big", zone, false), capacityPerZone);
        }
        startNewLeader();
    }

    static PoolSpec poolSpec(String name, String image, double gb, int minimum, int maximum, BurstWindow... windows) {
        return new PoolSpec(
                name,
                "t",
                image,
                gb,
                new Resources(8, 0, 8),
                List.of("big"),
                List.of(),
                0.5,
                minimum,
                maximum,
                0.95,
                List.of(windows),
                false,
                0,
                false);
    }

    static PoolSpec withSpot(PoolSpec spec) {
        return new PoolSpec(
                spec.name(),
                spec.team(),
                spec.image(),
                spec.gb(),
                spec.replica(),
                spec.types(),
                spec.zones(),
                spec.zonePart(),
                spec.least(),
                spec.most(),
                spec.wanted(),
                spec.windows(),
                spec.learned(),
                spec.budget(),
                true);
    }

    static PoolSpec withBudget(PoolSpec spec, double budget) {
        return new PoolSpec(
                spec.name(),
                spec.team(),
                spec.image(),
                spec.gb(),
                spec.replica(),
                spec.types(),
                spec.zones(),
                spec.zonePart(),
                spec.least(),
                spec.most(),
                spec.wanted(),
                spec.windows(),
                spec.learned(),
                budget,
                spec.spot());
    }

    /** Adds a pool and submits its holder job with one task for each machine. */
    Job addPool(PoolSpec spec) {
        pools.put(spec.name(), spec);
        planner.pools(pools.values(), n -> new DemandHistory());
        return submit(JobSpec.builder(new JobId("run-" + ++jobCount))
                .jobClass("hold")
                .team(spec.team())
                .kind(JobKind.SERVICE)
                .urgency(Urgency.STANDARD)
                .taskCount(spec.most())
                .demand(new Resources(0.01, 0, 0.1))
                .image(spec.image())
                .imageGb(spec.gb())
                .spotAllowed()
                .build()
                .with(JobSpec.WARM_POOL_FIELD, spec.name()));
    }

    /** Submits a service whose replicas take whole machines. */
    Job submitService(String image, double gb, int replicas) {
        return submit(JobSpec.builder(new JobId("run-" + ++jobCount))
                .jobClass("serve")
                .team("t")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.PRODUCTION)
                .taskCount(replicas)
                .demand(new Resources(8, 0, 8))
                .image(image)
                .imageGb(gb)
                .spotAllowed()
                .build());
    }

    /** Submits an array job of another team. */
    Job submitArray(String image, double gb, int tasks, double cores, int runSeconds) {
        return submit(JobSpec.builder(new JobId("run-" + ++jobCount))
                .jobClass("guest")
                .team("g")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.BEST_EFFORT)
                .taskCount(tasks)
                .demand(new Resources(cores, 0, 1))
                .image(image)
                .imageGb(gb)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(runSeconds))
                .build());
    }

    private Job submit(JobSpec spec) {
        Job job = new Job(spec, atStep(now).ms(), atStep(now), new Revision(jobCount), new BitSet(), 0, false);
        openJobs.put(job.id(), job);
        startSteps.put(job.id(), new ArrayList<>());
        core.addJob(job);
        return job;
    }

    void cancel(Job job) {
        openJobs.remove(job.id());
        core.cancelJob(job.id());
    }

    static Moment atStep(int step) {
        return new Moment((FIRST_STEP_S + step) * 1000L);
    }

    /** Replaces the leader with one that knows the jobs, recorded machines and stored pages of the cost accounts. */
    void startNewLeader() {
        core = new SchedulerCore(
                new FencingToken(++token),
                SchedulerFixture.SAFETY_TIMES,
                CoreHarness.SETTINGS,
                SchedulerFixture.NO_OBJECTIVES,
                teams,
                this);
        core.addMachineTypes(List.of(type));
        machines.forEach((name, simulatedMachine) -> {
            if (simulatedMachine.upAt <= now) {
                core.inheritMachine(
                        new MachineId(name),
                        simulatedMachine.pool,
                        atStep(simulatedMachine.rentedAt),
                        atStep(simulatedMachine.rentedAt),
                        atStep(now));
            }
        });
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
        planner = new PoolPlanner(teams, () -> List.of(type), CoreHarness.SETTINGS.term(), Moment::ms, logLines::add);
        meter = new Meter(CoreHarness.SETTINGS.minimumPaidTime().ms());
        core.setWarmCapacity(planner);
        planner.pools(pools.values(), page -> new DemandHistory());
        storedPages.forEach((page, sheet) -> meter.recall(page, sheet, this::price));
        planner.recall(meter.lines(), atStep(now));
        // The machine listing of the cloud also contains booting machines.
        core.onMachineListing(listMachines(), atStep(now), atStep(now));
    }

    private List<ListedMachine> listMachines() {
        return new ArrayList<>(machines.entrySet().stream()
                .map(e -> new ListedMachine(
                        new MachineId(e.getKey()),
                        e.getValue().pool,
                        ListedMachine.Status.RUNNING,
                        Span.seconds(now - e.getValue().rentedAt)))
                .toList());
    }

    private double price(MachinePool pool) {
        return pool.spot() ? type.spotPrice() : type.onDemandPrice();
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
            if (entry.getValue().upAt <= now) {
                runTasks(entry.getValue());
                if (!entry.getValue().pool.zone().equals(silentZone) && reporting++ % 2 == now % 2) {
                    sendHeartbeat(entry.getKey(), entry.getValue());
                }
            }
        }
        for (Iterator<Job> jobIterator = openJobs.values().iterator(); jobIterator.hasNext(); ) {
            Job job = jobIterator.next();
            job.completionsRecorded(job.completedTasks());
            if (job.isComplete()) {
                effects.effect(EffectListener.JOB_ENDED, job.id().text());
                core.closeJob(job.id());
                jobIterator.remove();
            }
        }
        meterMachines();
        now++;
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
                ids.add(new MachineId(String.format("m%05d", ++machineNameCount)));
                machines.put(
                        ids.get(i).toString(),
                        new SimulatedMachine(
                                request.pool(), now, now + (int) type.bootTime().seconds()));
                rentedCount++;
            }
            core.onMachinesRented(request.pool(), ids, atStep(now), atStep(now));
        }
        core.planScaleIn(atStep(now));
        List<MachineId> returned = core.machinesToReturn(100);
        effects.onReturns(returned);
        returned.forEach(id -> removeMachine(id.toString()));
        core.onMachinesReturned(returned, atStep(now));
    }

    /** Removes a machine and adds its cost to the bill. */
    void removeMachine(String name) {
        SimulatedMachine simulatedMachine = machines.remove(name);
        if (simulatedMachine != null) {
            returnedMachineCost += price(simulatedMachine.pool) * Math.max(60, now - simulatedMachine.rentedAt) / 3600;
        }
    }

    /** Returns what the cloud has charged until now. */
    double totalCharge() {
        return returnedMachineCost
                + machines.values().stream()
                        .mapToDouble(b -> price(b.pool) * (now - b.rentedAt) / 3600)
                        .sum();
    }

    /** Preempts every second spot machine without notice. */
    void preemptSpotMachines() {
        int index = 0;
        for (String name : new ArrayList<>(machines.keySet())) {
            if (machines.get(name).pool.spot() && index++ % 2 == 0) {
                MachinePool pool = machines.get(name).pool;
                removeMachine(name);
                List<ListedMachine> listing = listMachines();
                listing.add(new ListedMachine(new MachineId(name), pool, ListedMachine.Status.FAILED, Span.ZERO));
                core.onMachineListing(listing, atStep(now), atStep(now));
            }
        }
    }

    private void runTasks(SimulatedMachine simulatedMachine) {
        if (simulatedMachine.fetchingImage != null && now >= simulatedMachine.fetchedAt) {
            String image = simulatedMachine.fetchingImage;
            simulatedMachine.fetchingImage = null;
            double gb = simulatedMachine.tasks.values().stream()
                    .filter(task -> task.spec.image().equals(image))
                    .findFirst()
                    .orElseThrow()
                    .spec
                    .imageGb();
            simulatedMachine.cache.put(image, gb);
            for (Iterator<Map.Entry<String, Double>> imageIterator =
                            simulatedMachine.cache.entrySet().iterator();
                    imageIterator.hasNext()
                            && simulatedMachine.cache.values().stream()
                                            .mapToDouble(d -> d)
                                            .sum()
                                    > type.imageCacheGb(); ) {
                if (!imageIterator.next().getKey().equals(image)) {
                    imageIterator.remove();
                }
            }
        }
        for (SimulatedTask task : simulatedMachine.tasks.values()) {
            if (task.state == TaskState.FETCHING && simulatedMachine.cache.containsKey(task.spec.image())) {
                task.state = TaskState.RUNNING;
                task.endsAt = task.spec.isService()
                        ? Integer.MAX_VALUE
                        : now + (int) task.spec.estimatedRunTime().seconds();
                startSteps.get(task.spec.id()).add(now);
            } else if (task.state == TaskState.FETCHING && simulatedMachine.fetchingImage == null) {
                simulatedMachine.fetchingImage = task.spec.image();
                simulatedMachine.fetchedAt = now + (int) Math.ceil(task.spec.imageGb() / type.imageFetchGbPerS());
            } else if (task.state == TaskState.RUNNING && now >= task.endsAt) {
                task.state = TaskState.EXITED;
            }
        }
    }

    private void sendHeartbeat(String name, SimulatedMachine simulatedMachine) {
        List<TaskStatus> statuses = new ArrayList<>();
        simulatedMachine
                .tasks
                .values()
                .forEach(t -> statuses.add(
                        t.state == TaskState.EXITED
                                ? SchedulerFixture.exitedStatus(t.start, ExitCause.DONE)
                                : new TaskStatus(t.start.task(), t.start.attempt(), t.state, null, false)));
        Heartbeat heartbeat = new Heartbeat(
                new MachineId(name),
                "10.0.0.1:1",
                simulatedMachine.pool,
                new HeartbeatNumber(simulatedMachine.incarnation, ++heartbeatCount),
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
            if (command instanceof WorkerCommand.Start start) {
                Job job = openJobs.get(command.task().job());
                double usedCores = simulatedMachine.tasks.values().stream()
                        .filter(t -> t.state != TaskState.EXITED)
                        .mapToDouble(t -> t.spec.demand().cores())
                        .sum();
                if (usedCores + job.spec().demand().cores() > type.capacity().cores() + 1e-6) {
                    throw new AssertionError("started " + command.task() + " without free cores on " + name);
                }
                SimulatedTask task = new SimulatedTask(start, job.spec());
                simulatedMachine.tasks.put(command.task(), task);
                Double cachedGb = simulatedMachine.cache.remove(job.spec().image());
                if (cachedGb != null) {
                    simulatedMachine.cache.put(job.spec().image(), cachedGb);
                }
            } else {
                SimulatedTask removed = simulatedMachine.tasks.remove(command.task());
                if (removed != null
                        && removed.spec.image().equals(simulatedMachine.fetchingImage)
                        && simulatedMachine.tasks.values().stream()
                                .noneMatch(t -> t.spec.image().equals(removed.spec.image()))) {
                    simulatedMachine.fetchingImage = null;
                }
            }
        }
    }

    private void meterMachines() {
        List<Meter.Look> observations = new ArrayList<>();
        for (Machine machine : core.machines()) {
            boolean inPool = machine.poolMembership() != null
                    && !machine.poolMembership().isEnded();
            observations.add(new Meter.Look(
                    machine.id(),
                    machine.pool(),
                    machine.rentedAt().ms(),
                    inPool ? new Account(machine.poolMembership().pool(), "t") : new Account("", ""),
                    inPool ? machine.poolMembership().image() : "",
                    inPool ? machine.poolMembership().imageGb() : 0,
                    inPool
                                    && machine.imageCache()
                                            .isCached(machine.poolMembership().image())
                            ? machine.incarnation()
                            : 0,
                    machine.coresByTeam(),
                    8,
                    price(machine.pool()),
                    machine.phase() == Machine.Phase.RETURNING));
        }
        meter.look(observations, atStep(now).ms());
        for (int page : now % pageWritePeriod == 0 ? meter.behind(now % 20 == 0) : List.<Integer>of()) {
            Sheet newPage = meter.next(page, storedPages.getOrDefault(page, Sheet.EMPTY));
            effects.onAccountsPage(page, newPage);
            storedPages.put(page, newPage);
            meter.written(page, newPage);
        }
        for (Machine machine : core.machines()) {
            if (!meter.isRecordedInPool(machine.id())) {
                planner.released(machine);
            }
        }
        Map<String, Double> spentByPool = new HashMap<>();
        meter.sums().forEach((account, money) -> spentByPool.merge(account.pool(), money, Double::sum));
        spentByPool.forEach(planner::spent);
        planner.told()
                .forEach(t -> effects.effect(
                        EffectListener.POOL_STATE,
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
    void assertCachesMatch() {
        for (Machine machine : core.machines()) {
            SimulatedMachine simulatedMachine = machines.get(machine.id().toString());
            if (simulatedMachine != null
                    && machine.poolMembership() != null
                    && machine.imageCache().isCached(machine.poolMembership().image())
                    && !simulatedMachine.cache.containsKey(
                            machine.poolMembership().image())) {
                throw new AssertionError("at " + now + " " + machine.id() + " should have cached "
                        + machine.poolMembership().image() + " but has " + simulatedMachine.cache.keySet());
            }
        }
    }

    long poolMachineCount(String pool) {
        return core.machines().stream()
                .filter(machine -> machine.poolMembership() != null
                        && !machine.poolMembership().isEnded()
                        && machine.poolMembership().pool().equals(pool))
                .count();
    }

    /** Returns how many machines actually have the image cached. */
    long machinesWithImage(String image) {
        return machines.values().stream()
                .filter(b -> b.cache.containsKey(image))
                .count();
    }

    /**
     * Returns the sorted seconds from {@code from} until each task of the job began, without tasks that never began.
     */
    List<Integer> startDelays(Job job, int from) {
        return startSteps.get(job.id()).stream().map(t -> t - from).sorted().toList();
    }

    List<ScaleOutRequest> requests() {
        return requests;
    }

    @Override
    public void onTaskCompleted(Job job) {}

    @Override
    public void log(String line) {}
}
