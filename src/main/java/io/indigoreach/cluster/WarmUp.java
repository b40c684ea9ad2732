package io.indigoreach.cluster;

import io.indigoreach.core.Aims;
import io.indigoreach.core.Demand;
import io.indigoreach.core.ExitCause;
import io.indigoreach.core.Job;
import io.indigoreach.core.JobId;
import io.indigoreach.core.JobSpec;
import io.indigoreach.core.LeaderCore;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.MachineType;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Notes;
import io.indigoreach.core.Order;
import io.indigoreach.core.Pool;
import io.indigoreach.core.ReportNumber;
import io.indigoreach.core.Shape;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.TaskReport;
import io.indigoreach.core.TaskState;
import io.indigoreach.core.Team;
import io.indigoreach.core.Token;
import io.indigoreach.core.Urgency;
import io.indigoreach.core.WorkerReport;
import io.indigoreach.net.Duty;
import io.indigoreach.net.Wire;
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

    private final Reign.Surroundings env;
    private final BooleanSupplier leads;
    private final Duty duty;
    private LeaderCore core;
    private final Map<Integer, List<TaskReport>> tasks = new HashMap<>();
    private int reports;
    private int ordered;

    WarmUp(Reign.Surroundings env, BooleanSupplier leads) {
        this.env = env;
        this.leads = leads;
        this.duty = new Duty(env.vertx(), "warm-up", PAUSE, this::step);
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
        core = new LeaderCore(
                new Token(2),
                env.config().rules(),
                env.settings().tuning(),
                new Aims(List.of(new Aims.Aim("c0", false, Span.seconds(200)))),
                List.of(new Team("t", 0, 0, 0, 0)),
                new Notes() {
                    @Override
                    public void progress(Job job) {}

                    @Override
                    public void say(String line) {}
                });
        core.setTypes(List.of(new MachineType("k", SIZE, 40, 0.3, 1, 0.2, Span.seconds(20), List.of("z"))));
        core.loaded();
        Moment now = env.clock().now();
        List<MachineId> ids = new ArrayList<>();
        for (int n = 0; n < MACHINES; n++) {
            ids.add(machine(n));
        }
        core.rented(pool(), ids, now, now);
        ids.forEach(core::recorded);
        for (int n = 0; n < JOBS; n++) {
            JobSpec spec = new JobSpec(
                    new JobId("run-" + n),
                    "c" + n % 3,
                    "t",
                    Shape.ARRAY,
                    Urgency.values()[1 + n % 3],
                    40,
                    new Demand(1, 0, 1),
                    "i" + n % 4,
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    Span.seconds(20),
                    Span.ZERO,
                    Span.ZERO,
                    null);
            core.addJob(new Job(spec, env.clock().timeOfDay(), now, new Stamp(1), new BitSet(), 40, false));
        }
    }

    private static MachineId machine(int n) {
        return new MachineId("vm-" + n);
    }

    private static Pool pool() {
        return new Pool("k", "z", true);
    }

    /** Every third time a machine reports, its tasks have ended. */
    private void report(int n) {
        WorkerReport sent = new WorkerReport(
                machine(n),
                "0.0.0.0:0",
                pool(),
                new ReportNumber(1, reports + 1),
                new Token(2),
                null,
                tasks.getOrDefault(n, List.of()));
        WorkerReport read = WorkerCodec.read(Wire.readMap(Wire.write(WorkerCodec.write(sent))));
        List<Order> orders = core.onReport(read, env.clock().now());
        Wire.write(WorkerCodec.answer(new Token(2), orders));
        core.expireLeases(env.clock().now());
        boolean ended = reports / MACHINES % 3 == 2;
        List<TaskReport> next = new ArrayList<>();
        if (!ended) {
            tasks.getOrDefault(n, List.of()).stream()
                    .filter(t -> t.state() == TaskState.RUNNING)
                    .forEach(next::add);
        }
        for (Order order : orders) {
            if (order instanceof Order.Start) {
                ordered++;
                next.add(
                        ended
                                ? new TaskReport(order.task(), order.attempt(), TaskState.EXITED, ExitCause.DONE, false)
                                : new TaskReport(order.task(), order.attempt(), TaskState.RUNNING, null, false));
            }
        }
        tasks.put(n, next);
    }
}
