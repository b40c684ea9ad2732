package io.indigoreach.cluster;

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
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Runs the heartbeat path of a node that does not lead, so that the JIT compiler has compiled it when the node begins to lead: some hundred
 * synthetic heartbeats for synthetic jobs, on a scheduler core of its own. Guards against a slow failover: a node that had never
 * processed a heartbeat took 15 ms for each on a tenth of a core, so that of 426 machines whose leader had fallen silent a
 * quarter lost their tasks before it came to them. Done a little at a time, so that users hardly notice; it ends when the node
 * leads, as it then runs the path in any case. Bound to the node's event loop.
 */
final class WarmUp {
    /** After the node has started, when it has other things to do. */
    private static final Span START_DELAY = Span.seconds(5);

    private static final Span PAUSE = Span.seconds(0.08);
    private static final int HEARTBEATS = 350;
    private static final int MACHINES = 12;
    private static final int JOBS = 24;
    private static final int TASKS_PER_JOB = 40;
    /** In every so many rounds over all machines the running tasks end. */
    private static final int ROUNDS_PER_RUN = 3;

    private static final Demand MACHINE_CAPACITY = new Demand(4, 0, 16);
    private static final Demand TASK_DEMAND = new Demand(1, 0, 1);
    private static final MachinePool POOL = new MachinePool("k", "z", true);
    private static final FencingToken TOKEN = new FencingToken(2);
    private static final String TEAM = "t";

    private final NodeContext context;
    private final BooleanSupplier leads;
    private final PeriodicTask task;
    private SchedulerCore core;
    /** The tasks that each machine reports in its next heartbeat. */
    private final Map<Integer, List<TaskStatus>> statuses = new HashMap<>();

    private int heartbeats;
    private int startCommands;

    WarmUp(NodeContext context, BooleanSupplier leads) {
        this.context = context;
        this.leads = leads;
        this.task = new PeriodicTask(context.vertx(), "warm-up", PAUSE, this::step);
    }

    void start() {
        context.vertx().setTimer(START_DELAY.ms(), timer -> task.start());
    }

    void cancel() {
        task.cancel();
    }

    /** How many start commands its core has given. */
    int startCommands() {
        return startCommands;
    }

    Future<Span> step() {
        if (leads.getAsBoolean() || heartbeats >= HEARTBEATS) {
            core = null;
            statuses.clear();
            task.cancel();
            return Future.succeededFuture(PAUSE);
        }
        if (core == null) {
            core = newCore();
            addMachines();
            addJobs();
        }
        sendHeartbeat(heartbeats++ % MACHINES);
        return Future.succeededFuture(PAUSE);
    }

    private SchedulerCore newCore() {
        SchedulerListener silent = new SchedulerListener() {
            @Override
            public void taskCompleted(Job job) {}

            @Override
            public void log(String line) {}
        };
        return new SchedulerCore(
                TOKEN,
                context.config().safetyTimes(),
                context.settings().schedulerSettings(),
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c0", false, Span.seconds(200)))),
                List.of(new Team(TEAM, 0, 0, 0, 0)),
                silent);
    }

    private void addMachines() {
        MachineType type =
                new MachineType(POOL.type(), MACHINE_CAPACITY, 40, 0.3, 1, 0.2, Span.seconds(20), List.of(POOL.zone()));
        core.setTypes(List.of(type));
        core.recordsLoaded();
        Moment now = context.clock().now();
        List<MachineId> ids =
                IntStream.range(0, MACHINES).mapToObj(WarmUp::machine).toList();
        core.rented(POOL, ids, now, now);
        ids.forEach(core::recorded);
    }

    private void addJobs() {
        Moment now = context.clock().now();
        for (int index = 0; index < JOBS; index++) {
            core.addJob(new Job(
                    spec(index),
                    context.clock().timeOfDay(),
                    now,
                    new Revision(1),
                    new BitSet(),
                    TASKS_PER_JOB,
                    false));
        }
    }

    /** Jobs of several classes, urgencies and images, as these take different paths through the scheduler. */
    private static JobSpec spec(int index) {
        return JobSpec.builder(new JobId("run-" + index))
                .jobClass("c" + index % 3)
                .team(TEAM)
                .kind(JobKind.ARRAY)
                .urgency(Urgency.values()[1 + index % 3])
                .tasks(TASKS_PER_JOB)
                .demand(TASK_DEMAND)
                .image("i" + index % 4)
                .imageGb(1)
                .spotAllowed()
                .estimate(Span.seconds(20))
                .build();
    }

    private static MachineId machine(int index) {
        return new MachineId("vm-" + index);
    }

    /** Processes a machine's heartbeat from the bytes received to the bytes of the response. */
    private void sendHeartbeat(int machine) {
        Heartbeat sent = new Heartbeat(
                machine(machine),
                "0.0.0.0:0",
                POOL,
                new HeartbeatNumber(1, heartbeats + 1),
                TOKEN,
                null,
                statuses.getOrDefault(machine, List.of()));
        Buffer request = MessagePackFormat.write(WorkerCodec.write(sent));
        Heartbeat received = WorkerCodec.read(MessagePackFormat.readMap(request));
        List<WorkerCommand> commands =
                core.onHeartbeat(received, context.clock().now()).commands();
        MessagePackFormat.write(WorkerCodec.writeResponse(TOKEN, commands));
        core.expireLeases(context.clock().now());
        boolean tasksEnd = heartbeats / MACHINES % ROUNDS_PER_RUN == ROUNDS_PER_RUN - 1;
        statuses.put(machine, nextStatuses(machine, commands, tasksEnd));
    }

    private List<TaskStatus> nextStatuses(int machine, List<WorkerCommand> commands, boolean tasksEnd) {
        List<TaskStatus> next = new ArrayList<>();
        if (!tasksEnd) {
            statuses.getOrDefault(machine, List.of()).stream()
                    .filter(status -> status.state() == TaskState.RUNNING)
                    .forEach(next::add);
        }
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start start) {
                startCommands++;
                next.add(status(start, tasksEnd));
            }
        }
        return next;
    }

    private static TaskStatus status(WorkerCommand.Start start, boolean ended) {
        return ended
                ? new TaskStatus(start.task(), start.attempt(), TaskState.EXITED, ExitCause.DONE, false)
                : new TaskStatus(start.task(), start.attempt(), TaskState.RUNNING, null, false);
    }
}
