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
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Has a node that does not lead take some hundred reports that nobody sent, for jobs that nobody submitted, on a core of
 * their own: what has run so often is compiled. A node that had never taken a report took 15 ms for each on a tenth of a
 * core, so that of 426 machines whose leader had fallen silent a quarter lost their tasks before it came to them. A little
 * at a time, so that users hardly notice; it ends when the node leads, as it then learns by doing.
 */
final class WarmUp {
    private static final Span AFTER = Span.seconds(5);
    private static final Span PAUSE = Span.seconds(0.08);
    private static final int REPORTS = 350;
    private static final int MACHINES = 12;
    private static final int JOBS = 24;
    private static final Demand SIZE = new Demand(4, 0, 16);

    private final LeadershipTerm.Context env;
    private final BooleanSupplier leads;
    private final PeriodicTask duty;
    private SchedulerCore core;
    private final Map<Integer, List<TaskStatus>> tasks = new HashMap<>();
    private int reports;
    private int ordered;

    WarmUp(LeadershipTerm.Context env, BooleanSupplier leads) {
        this.env = env;
        this.leads = leads;
        this.duty = new PeriodicTask(env.vertx(), "warm-up", PAUSE, this::step);
    }

    void start() {
        env.vertx().setTimer(AFTER.ms(), t -> duty.start());
    }

    void cancel() {
        duty.cancel();
    }

    /** How many tasks it has had its own core order. */
    int ordered() {
        return ordered;
    }

    Future<Span> step() {
        if (leads.getAsBoolean() || reports >= REPORTS) {
            core = null;
            tasks.clear();
            duty.cancel();
            return Future.succeededFuture(PAUSE);
        }
        if (core == null) {
            begin();
        }
        report(reports++ % MACHINES);
        return Future.succeededFuture(PAUSE);
    }

    private void begin() {
        core = new SchedulerCore(
                new FencingToken(2),
                env.config().rules(),
                env.settings().tuning(),
                new ServiceLevelObjectives(
                        List.of(new ServiceLevelObjectives.Objective("c0", false, Span.seconds(200)))),
                List.of(new Team("t", 0, 0, 0, 0)),
                new SchedulerListener() {
                    @Override
                    public void taskCompleted(Job job) {}

                    @Override
                    public void log(String line) {}
                });
        core.setTypes(List.of(new MachineType("k", SIZE, 40, 0.3, 1, 0.2, Span.seconds(20), List.of("z"))));
        core.recordsLoaded();
        Moment now = env.clock().now();
        List<MachineId> ids = new ArrayList<>();
        for (int n = 0; n < MACHINES; n++) {
            ids.add(machine(n));
        }
        core.rented(pool(), ids, now, now);
        ids.forEach(core::recorded);
        for (int n = 0; n < JOBS; n++) {
            JobSpec spec = JobSpec.builder(new JobId("run-" + n))
                    .jobClass("c" + n % 3)
                    .team("t")
                    .kind(JobKind.ARRAY)
                    .urgency(Urgency.values()[1 + n % 3])
                    .tasks(40)
                    .demand(new Demand(1, 0, 1))
                    .image("i" + n % 4)
                    .imageGb(1)
                    .spotAllowed()
                    .estimate(Span.seconds(20))
                    .build();
            core.addJob(new Job(spec, env.clock().timeOfDay(), now, new Revision(1), new BitSet(), 40, false));
        }
    }

    private static MachineId machine(int n) {
        return new MachineId("vm-" + n);
    }

    private static MachinePool pool() {
        return new MachinePool("k", "z", true);
    }

    /** Every third time a machine reports, its tasks have ended. */
    private void report(int n) {
        Heartbeat sent = new Heartbeat(
                machine(n),
                "0.0.0.0:0",
                pool(),
                new HeartbeatNumber(1, reports + 1),
                new FencingToken(2),
                null,
                tasks.getOrDefault(n, List.of()));
        Heartbeat read = WorkerCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(WorkerCodec.write(sent))));
        List<WorkerCommand> orders = core.onHeartbeat(read, env.clock().now()).commands();
        MessagePackFormat.write(WorkerCodec.answer(new FencingToken(2), orders));
        core.expireLeases(env.clock().now());
        boolean ended = reports / MACHINES % 3 == 2;
        List<TaskStatus> next = new ArrayList<>();
        if (!ended) {
            tasks.getOrDefault(n, List.of()).stream()
                    .filter(status -> status.state() == TaskState.RUNNING)
                    .forEach(next::add);
        }
        for (WorkerCommand command : orders) {
            if (command instanceof WorkerCommand.Start) {
                ordered++;
                next.add(
                        ended
                                ? new TaskStatus(
                                        command.task(), command.attempt(), TaskState.EXITED, ExitCause.DONE, false)
                                : new TaskStatus(command.task(), command.attempt(), TaskState.RUNNING, null, false));
            }
        }
        tasks.put(n, next);
    }
}
