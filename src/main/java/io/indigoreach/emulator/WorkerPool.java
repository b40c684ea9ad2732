package io.indigoreach.emulator;

import io.indigoreach.checker.Event;
import io.indigoreach.checker.History;
import io.indigoreach.checker.LeaseRenewals;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.emulator.model.CloudModel;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.emulator.model.Verdict;
import io.indigoreach.emulator.model.WorkerModel;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The workers of all machines that are up: each reports on its own connection and listens on its own address. */
public final class WorkerPool {
    public static final String PARTY = "workers";
    private static final Span PATIENCE = Span.seconds(4);
    private static final Span PAUSE = Span.seconds(1);
    private static final Span MOVES_WITHIN = Span.seconds(0.5);

    /** A controller as the workers know it. */
    public record Node(String name, Endpoint endpoint) {}

    /** The routine of one worker. */
    private final class Routine {
        final WorkerModel model;
        final GatedListener listener;
        ServiceClient caller;
        int target;
        long timer = -1;
        boolean ended;
        Moment deafUntil = Moment.NEVER;

        Routine(WorkerModel model) {
            this.model = model;
            this.target = random.nextInt(nodes.size());
            this.listener = new GatedListener(vertx, clock, gate, "", PARTY, this::serve);
        }

        void start() {
            listener.listen(host, 0)
                    .onSuccess(port -> {
                        model.machine().address(host + ":" + port);
                        step();
                    })
                    .onFailure(e -> step());
        }

        void end(String why) {
            ended = true;
            model.end(clock.now(), why);
            vertx.cancelTimer(timer);
            closeCaller();
            listener.close();
        }

        /** Sends a report if one is due, and comes back when the next thing is. */
        void step() {
            if (ended) {
                return;
            }
            vertx.cancelTimer(timer);
            Moment now = clock.now();
            Heartbeat heartbeat = model.report(now);
            if (heartbeat != null) {
                send(heartbeat, now);
            }
            timer = vertx.setTimer(Math.max(1, model.nextDue(now).since(now).ms()), t -> step());
        }

        private void send(Heartbeat heartbeat, Moment sent) {
            Node node = nodes.get(target);
            reports++;
            Verdict verdict = gate.judge(sent, PARTY, node.name(), true);
            switch (verdict.fate()) {
                case PASS -> after(verdict.delay(), () -> call(node, heartbeat, sent, true));
                case REPEAT -> {
                    call(node, heartbeat, sent, true);
                    after(verdict.delay(), () -> call(node, heartbeat, sent, false));
                }
                case REFUSE, RESET -> missed(heartbeat);
                case LOSE_REQUEST -> after(PATIENCE, () -> missed(heartbeat));
                default -> {
                    // It arrives, perhaps late, but the worker hears nothing in time.
                    after(PATIENCE, () -> missed(heartbeat));
                    after(
                            verdict.fate() == Verdict.Fate.HOLD
                                    ? verdict.until().since(sent)
                                    : verdict.fate() == Verdict.Fate.LATE ? verdict.delay() : Span.ZERO,
                            () -> call(node, heartbeat, sent, false));
                }
            }
        }

        private void call(Node node, Heartbeat heartbeat, Moment sent, boolean hears) {
            if (ended && hears) {
                return;
            }
            ServiceClient used = hears ? caller(node) : new ServiceClient(vertx, node.endpoint(), 1);
            used.post(WorkerCodec.HEARTBEAT_PATH, WorkerCodec.write(heartbeat), PATIENCE)
                    .onComplete(done -> {
                        if (!hears) {
                            used.close();
                        } else if (!ended) {
                            if (done.failed()) {
                                missed(heartbeat);
                            } else {
                                // A machine that hangs takes the answer once it goes on, if that is in time.
                                heard(node, heartbeat, sent, done.result());
                            }
                        }
                    });
        }

        private void heard(Node node, Heartbeat heartbeat, Moment sent, ServiceResponse reply) {
            Moment now = clock.now();
            if (ended) {
                return;
            }
            if (model.hangs(now) || (now.isBefore(deafUntil) && now.since(sent).compareTo(PATIENCE) < 0)) {
                vertx.setTimer(50, t -> heard(node, heartbeat, sent, reply));
                return;
            }
            if (now.since(sent).compareTo(PATIENCE) >= 0) {
                missed(heartbeat);
            } else if (reply.isOk()) {
                WorkerCodec.HeartbeatResponse answer = WorkerCodec.readResponse(reply.body());
                history.add(new Event.TokenSeen(now, node.name(), answer.token()));
                if (model.answered(now, heartbeat.number(), sent, answer)) {
                    history.add(new Event.LeaseRenewed(
                            now,
                            heartbeat.machine(),
                            sent,
                            heartbeat.token().equals(answer.token()),
                            LeaseRenewals.notStopped(heartbeat, answer.commands())));
                }
                step();
            } else {
                int named = reply.status() == 421 ? index(WorkerCodec.readLeaderAddress(reply.body())) : -1;
                if (named >= 0 && named != target) {
                    move(heartbeat, named, MOVES_WITHIN.times(random.nextDouble()));
                } else {
                    missed(heartbeat);
                }
            }
        }

        private void missed(Heartbeat heartbeat) {
            if (!ended) {
                move(heartbeat, (target + 1) % nodes.size(), PAUSE);
            }
        }

        private void move(Heartbeat heartbeat, int to, Span pause) {
            target = to;
            closeCaller();
            model.unanswered(clock.now(), heartbeat.number(), pause);
            step();
        }

        private ServiceClient caller(Node node) {
            if (caller == null) {
                caller = new ServiceClient(vertx, node.endpoint(), 1);
            }
            return caller;
        }

        private void closeCaller() {
            if (caller != null) {
                caller.close();
                caller = null;
            }
        }

        private void serve(GatedListener.Request request, Consumer<ServiceResponse> reply) {
            Moment now = clock.now();
            if (ended) {
                return;
            }
            if (model.hangs(now)) {
                vertx.setTimer(50, t -> serve(request, reply));
                return;
            }
            if (request.path().equals(WorkerCodec.INSPECT_PATH) && request.is(HttpMethod.GET)) {
                reply.accept(report(200, now));
            } else if (request.path().equals(WorkerCodec.DIRECT_COMMANDS_PATH) && request.is(HttpMethod.POST)) {
                WorkerCodec.DirectCommands direct = WorkerCodec.readDirectCommands(request.body());
                if (direct.token() == null || direct.incarnation() == null) {
                    reply.accept(new ServiceResponse(
                            400, new Fields(MessagePackFormat.map("error", "token or session is missing"))));
                    return;
                }
                boolean done = model.direct(now, direct);
                reply.accept(report(done ? 200 : 409, now));
                step();
            } else {
                reply.accept(new ServiceResponse(404, new Fields(MessagePackFormat.map("error", "no such path"))));
            }
        }

        private ServiceResponse report(int status, Moment now) {
            return new ServiceResponse(status, new Fields(WorkerCodec.write(model.state(now))));
        }
    }

    private final Vertx vertx;
    private final SteadyClock clock;
    private final Gate gate;
    private final Deployment.Workers times;
    private final Depot depot;
    private final RandomGenerator random;
    private final History history;
    private final String host;
    private final List<Node> nodes;
    private final Map<MachineId, Routine> routines = new HashMap<>();
    private long reports;

    /** To be made on the event loop on which the workers are to run. */
    public WorkerPool(
            Vertx vertx,
            SteadyClock clock,
            Gate gate,
            Deployment.Workers times,
            Depot depot,
            RandomGenerator random,
            History history,
            String host,
            List<Node> nodes) {
        this.vertx = vertx;
        this.clock = clock;
        this.gate = gate;
        this.times = times;
        this.depot = depot;
        this.random = random;
        this.history = history;
        this.host = host;
        this.nodes = List.copyOf(nodes);
    }

    /** Takes what happens to a machine. */
    public void on(CloudModel.Event event) {
        Moment now = clock.now();
        MachineId id = event.machine().id();
        if (event instanceof CloudModel.Event.Up) {
            history.add(new Event.MachineUp(now, id, event.machine().pool()));
            Routine routine = new Routine(new WorkerModel(
                    event.machine(),
                    depot,
                    Span.seconds(times.leaseS()),
                    Span.seconds(times.reportS()),
                    random,
                    listener(),
                    now));
            routines.put(id, routine);
            routine.start();
        } else if (event instanceof CloudModel.Event.Notice notice) {
            Routine routine = routines.get(id);
            if (routine != null) {
                routine.model.warn(notice.until());
                routine.step();
            }
        } else if (event instanceof CloudModel.Event.Gone gone) {
            Routine routine = routines.remove(id);
            if (routine != null) {
                routine.end(gone.why());
            }
            history.add(new Event.MachineGone(now, id, gone.why()));
        }
    }

    /** Machines hang until then: each with this chance. */
    public void hang(double share, Moment until) {
        some(share, r -> r.model.hang(clock.now(), until));
    }

    /** No answer reaches machines until then, though their reports arrive: each with this chance. */
    public void deafen(double share, Moment until) {
        some(share, r -> r.deafUntil = until);
    }

    /** Machines fail every task from now on: each with this chance. */
    public void spoil(double share) {
        some(share, r -> r.model.spoil());
    }

    private void some(double share, Consumer<Routine> what) {
        List<Routine> chosen = new ArrayList<>(routines.values());
        chosen.removeIf(r -> random.nextDouble() >= share);
        chosen.forEach(r -> {
            what.accept(r);
            r.step();
        });
    }

    /** Workers that run, and reports sent so far. */
    public int size() {
        return routines.size();
    }

    public long reports() {
        return reports;
    }

    public Future<Void> close() {
        List<Routine> all = new ArrayList<>(routines.values());
        routines.clear();
        all.forEach(r -> r.end("closed"));
        return Future.succeededFuture();
    }

    private int index(String name) {
        for (int i = 0; i < nodes.size(); i++) {
            if (nodes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private void after(Span delay, Runnable then) {
        if (delay.ms() <= 0) {
            then.run();
        } else {
            vertx.setTimer(delay.ms(), t -> then.run());
        }
    }

    private WorkerModel.Listener listener() {
        return new WorkerModel.Listener() {
            @Override
            public void started(Moment at, MachineId machine, TaskId task, Attempt attempt, FencingToken token) {
                history.add(new Event.Started(at, machine, task, attempt, token));
            }

            @Override
            public void running(Moment at, MachineId machine, TaskId task, Attempt attempt) {
                history.add(new Event.Running(at, machine, task, attempt));
            }

            @Override
            public void off(Moment at, MachineId machine, TaskId task, Attempt attempt, String why) {
                history.add(new Event.Off(at, machine, task, attempt, why));
            }

            @Override
            public void forgotten(Moment at, MachineId machine, TaskId task, Attempt attempt) {
                history.add(new Event.Forgotten(at, machine, task, attempt));
            }
        };
    }
}
