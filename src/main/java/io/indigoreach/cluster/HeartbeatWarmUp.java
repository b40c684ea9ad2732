package io.indigoreach.cluster;

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
 * Warms up the heartbeat path of a node that does not lead, so that the JIT compiler has compiled it by the time the
 * node leads. Processes several hundred synthetic heartbeats for synthetic jobs on a separate scheduler core. Guards
 * against a slow failover: a node that had never processed a heartbeat took 15 ms for each on a tenth of a core, and of
 * 426 machines whose leader had failed, a quarter lost their tasks before the new leader responded to them. The
 * heartbeats are spread over time, to limit the effect on users' requests. The warm-up ends when the node leads, as
 * real heartbeats then run the same path. Bound to the node's event loop.
 */
final class HeartbeatWarmUp {
    /** Delay from the node's start to the warm-up, because the node is busy with other work while it starts. */
    private static final Span START_DELAY = Span.seconds(5);

    private static final Span HEARTBEAT_INTERVAL = Span.seconds(0.08);
    private static final int HEARTBEAT_COUNT = 350;
    private static final int MACHINE_COUNT = 12;
    private static final int JOB_COUNT = 24;
    private static final int TASKS_PER_JOB = 40;
    /** Rounds over all machines between the rounds in which all running tasks end. */
    private static final int ROUNDS_PER_RUN = 3;

    private static final Resources MACHINE_CAPACITY = new Resources(4, 0, 16);
    private static final Resources TASK_DEMAND = new Resources(1, 0, 1);
    private static final MachinePool POOL = new MachinePool("k", "z", true);
    private static final FencingToken TOKEN = new FencingToken(2);
    private static final String TEAM = "t";

    private final NodeContext context;
    private final BooleanSupplier leads;
    private final PeriodicTask task;
    private SchedulerCore core;
    /** Task statuses that each machine reports in its next heartbeat, by machine index. */
    private final Map<Integer, List<TaskStatus>> statuses = new HashMap<>();

    private int heartbeatCount;
    private int startCommandCount;

    HeartbeatWarmUp(NodeContext context, BooleanSupplier leads) {
        this.context = context;
        this.leads = leads;
        this.task = new PeriodicTask(context.vertx(), "warm-up", HEARTBEAT_INTERVAL, this::step);
    }

    void start() {
        context.vertx().setTimer(START_DELAY.ms(), timer -> task.start());
    }

    void cancel() {
        task.cancel();
    }

    /** Number of start commands that the synthetic scheduler core has issued. */
    int startCommandCount() {
        return startCommandCount;
    }

    Future<Span> step() {
        if (leads.getAsBoolean() || heartbeatCount >= HEARTBEAT_COUNT) {
            core = null;
            statuses.clear();
            task.cancel();
            return Future.succeededFuture(HEARTBEAT_INTERVAL);
        }
        if (core == null) {
            core = newCore();
            addMachines();
            addJobs();
        }
        sendHeartbeat(heartbeatCount++ % MACHINE_COUNT);
        return Future.succeededFuture(HEARTBEAT_INTERVAL);
    }

    private SchedulerCore newCore() {
        SchedulerListener noOpListener = new SchedulerListener() {
            @Override
            public void onTaskCompleted(Job job) {}

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
                noOpListener);
    }

    private void addMachines() {
        MachineType type =
                new MachineType(POOL.type(), MACHINE_CAPACITY, 40, 0.3, 1, 0.2, Span.seconds(20), List.of(POOL.zone()));
        core.addMachineTypes(List.of(type));
        core.onRecordsLoaded();
        Moment now = context.clock().now();
        List<MachineId> ids = IntStream.range(0, MACHINE_COUNT)
                .mapToObj(HeartbeatWarmUp::machine)
                .toList();
        core.onMachinesRented(POOL, ids, now, now);
        ids.forEach(core::onMachineRecorded);
    }

    private void addJobs() {
        Moment now = context.clock().now();
        for (int index = 0; index < JOB_COUNT; index++) {
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

    /**
     * Returns a job whose class, urgency and image vary with the index, as these take different paths through the
     * scheduler.
     */
    private static JobSpec spec(int index) {
        return JobSpec.builder(new JobId("run-" + index))
                .jobClass("c" + index % 3)
                .team(TEAM)
                .kind(JobKind.ARRAY)
                .urgency(Urgency.values()[1 + index % 3])
                .taskCount(TASKS_PER_JOB)
                .demand(TASK_DEMAND)
                .image("i" + index % 4)
                .imageGb(1)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(20))
                .build();
    }

    private static MachineId machine(int index) {
        return new MachineId("vm-" + index);
    }

    /** Processes one heartbeat of a machine, including the decoding of the request and the encoding of the response. */
    private void sendHeartbeat(int machine) {
        Heartbeat sent = new Heartbeat(
                machine(machine),
                "0.0.0.0:0",
                POOL,
                new HeartbeatNumber(1, heartbeatCount + 1),
                TOKEN,
                null,
                statuses.getOrDefault(machine, List.of()));
        Buffer request = MessagePackFormat.write(WorkerCodec.write(sent));
        Heartbeat received = WorkerCodec.read(MessagePackFormat.readMap(request));
        List<WorkerCommand> commands =
                core.onHeartbeat(received, context.clock().now()).commands();
        MessagePackFormat.write(WorkerCodec.writeResponse(TOKEN, commands));
        core.expireLeases(context.clock().now());
        boolean tasksEnd = heartbeatCount / MACHINE_COUNT % ROUNDS_PER_RUN == ROUNDS_PER_RUN - 1;
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
                startCommandCount++;
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
