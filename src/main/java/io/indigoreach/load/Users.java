package io.indigoreach.load;

import io.indigoreach.api.JobCodec;
import io.indigoreach.checker.Event;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.checker.History;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.emulator.model.Verdict;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Users that submit jobs, poll and cancel them as the protocol says, through a stand-in for the load balancer that
 * takes the nodes that are ready in turn. To be used on one event loop.
 */
public final class Users {
    public static final String PARTY = "users";
    private static final Span SUBMIT_PATIENCE = Span.seconds(5);
    private static final Span POLL_PATIENCE = Span.seconds(2);
    private static final Span POLL_EVERY = Span.seconds(5);
    private static final Span RETRY = Span.seconds(1);
    private static final Span GIVES_UP = Span.seconds(60);
    private static final Span PROBE = Span.seconds(1);
    private static final int CONNECTIONS = 100;

    /** How a user's job stands, as far as its user knows. */
    public static final class Mine {
        private final JobSpec spec;
        private final Moment asked;
        private Moment accepted;
        private Moment over;
        private JobStatus status;
        private int done;
        private int running;
        private boolean cancelling;
        private boolean refused;
        private Span pollEvery = POLL_EVERY;

        private Mine(JobSpec spec, Moment asked) {
            this.spec = spec;
            this.asked = asked;
        }

        public JobSpec spec() {
            return spec;
        }

        /** Null until it is accepted. */
        public JobStatus status() {
            return status;
        }

        public int done() {
            return done;
        }

        public int running() {
            return running;
        }

        /** It was refused for good, or never accepted in the time that a user tries. */
        public boolean isRefused() {
            return refused;
        }

        public boolean isOver() {
            return refused || (status != null && status.isFinal());
        }

        /** When its user first tried to submit it. */
        public Moment asked() {
            return asked;
        }

        /** From the first attempt to submit until it was accepted; null if it is not. */
        public Span acceptedAfter() {
            return accepted == null ? null : accepted.since(asked);
        }

        /** From the first attempt to submit until its user knew that it is over; null if it is not. */
        public Span overAfter() {
            return over == null ? null : over.since(asked);
        }
    }

    private final Vertx vertx;
    private final SteadyClock clock;
    private final Gate gate;
    private final RandomGenerator random;
    private final History history;
    private final List<String> names;
    private final List<ServiceClient> nodes = new ArrayList<>();
    private final List<ServiceClient> probes = new ArrayList<>();
    private final boolean[] ready;
    private final Map<JobId, Mine> jobs = new LinkedHashMap<>();
    private final long probing;
    private boolean closed;
    private int turn;

    /** The nodes by name and address. */
    public Users(
            Vertx vertx,
            SteadyClock clock,
            Gate gate,
            RandomGenerator random,
            History history,
            List<String> names,
            List<Endpoint> endpoints) {
        this.vertx = vertx;
        this.clock = clock;
        this.gate = gate;
        this.random = random;
        this.history = history;
        this.names = List.copyOf(names);
        this.ready = new boolean[names.size()];
        for (Endpoint e : endpoints) {
            nodes.add(new ServiceClient(vertx, e, CONNECTIONS));
            probes.add(new ServiceClient(vertx, e, 1));
        }
        this.probing = vertx.setPeriodic(1, PROBE.ms(), t -> probe());
    }

    private void probe() {
        for (int i = 0; i < probes.size(); i++) {
            int node = i;
            probes.get(i)
                    .get(JobCodec.READY_PATH, PROBE)
                    .onComplete(r -> ready[node] = r.succeeded() && r.result().isOk());
        }
    }

    /** Whether some node takes requests. */
    public boolean isServed() {
        for (boolean r : ready) {
            if (r) {
                return true;
            }
        }
        return false;
    }

    public List<Mine> jobs() {
        return List.copyOf(jobs.values());
    }

    /** Submits a job and follows it to its end; the result comes when it is over or refused. */
    public Future<Mine> run(JobSpec spec, Span cancelAfter) {
        return run(spec, cancelAfter, POLL_EVERY);
    }

    /** The same with another time between polls than the protocol's usual 5 s. */
    public Future<Mine> run(JobSpec spec, Span cancelAfter, Span pollEvery) {
        Mine mine = new Mine(spec, clock.now());
        mine.pollEvery = pollEvery;
        jobs.put(spec.id(), mine);
        history.add(new Event.Submitted(clock.now(), spec));
        Promise<Mine> over = Promise.promise();
        submit(mine, over);
        if (cancelAfter != null) {
            vertx.setTimer(Math.max(1, cancelAfter.ms()), t -> cancel(mine, over));
        }
        return over.future();
    }

    private void submit(Mine mine, Promise<Mine> over) {
        if (closed) {
            return;
        }
        ask(Question.SUBMIT, mine.spec.id(), JobCodec.JOBS_PATH, JobCodec.write(mine.spec), SUBMIT_PATIENCE)
                .onSuccess(r -> {
                    Moment now = clock.now();
                    if (r.status() == 200 || r.status() == 201) {
                        mine.accepted = now;
                        take(mine, r, over);
                        vertx.setTimer(pause(mine.pollEvery), t -> poll(mine, over));
                    } else if (r.status() == 400
                            || r.status() == 422
                            || now.since(mine.asked).compareTo(GIVES_UP) > 0) {
                        mine.refused = true;
                        over.tryComplete(mine);
                    } else {
                        vertx.setTimer(pause(RETRY), t -> submit(mine, over));
                    }
                });
    }

    private void poll(Mine mine, Promise<Mine> over) {
        if (closed || mine.isOver()) {
            return;
        }
        ask(Question.POLL, mine.spec.id(), JobCodec.JOBS_PATH + "/" + mine.spec.id(), null, POLL_PATIENCE)
                .onSuccess(r -> {
                    if (r.isOk()) {
                        take(mine, r, over);
                    }
                    vertx.setTimer(pause(mine.pollEvery), t -> poll(mine, over));
                });
    }

    private void cancel(Mine mine, Promise<Mine> over) {
        if (closed || mine.isOver()) {
            return;
        }
        if (!mine.cancelling) {
            mine.cancelling = true;
            history.add(new Event.CancelAsked(clock.now(), mine.spec.id()));
        }
        ask(
                        Question.CANCEL,
                        mine.spec.id(),
                        JobCodec.JOBS_PATH + "/" + mine.spec.id() + JobCodec.CANCEL_PATH_SUFFIX,
                        Map.of(),
                        SUBMIT_PATIENCE)
                .onSuccess(r -> {
                    if (r.isOk()) {
                        take(mine, r, over);
                    } else {
                        vertx.setTimer(pause(RETRY), t -> cancel(mine, over));
                    }
                });
    }

    private void take(Mine mine, ServiceResponse r, Promise<Mine> over) {
        if (mine.isOver()) {
            return;
        }
        JobCodec.Progress p = JobCodec.readProgress(r.body());
        mine.status = p.status();
        mine.done = Math.max(mine.done, p.doneTasks());
        mine.running = p.runningTasks();
        if (mine.isOver()) {
            mine.over = clock.now();
            over.tryComplete(mine);
        }
    }

    private long pause(Span usual) {
        return Math.max(1, usual.times(0.9 + 0.2 * random.nextDouble()).ms());
    }

    /** Never fails: no answer is a status of 0. */
    private Future<ServiceResponse> ask(
            Question question, JobId job, String path, Map<String, Object> body, Span patience) {
        int node = next();
        Moment asked = clock.now();
        Promise<ServiceResponse> answer = Promise.promise();
        Verdict verdict = gate.judge(asked, PARTY, names.get(node), body != null);
        Runnable send = () -> (body == null
                        ? nodes.get(node).get(path, patience)
                        : nodes.get(node).post(path, body, patience))
                .otherwise(new ServiceResponse(0, null))
                .onSuccess(r -> {
                    if (verdict.answers()) {
                        answer.tryComplete(r);
                    }
                });
        long delay = switch (verdict.fate()) {
            case HOLD -> verdict.until().since(asked).ms();
            case LATE, PASS -> verdict.delay().ms();
            default -> 0;
        };
        switch (verdict.fate()) {
            case REFUSE -> answer.tryComplete(new ServiceResponse(verdict.status(), null));
            case RESET -> answer.tryComplete(new ServiceResponse(0, null));
            case LOSE_REQUEST -> {}
            default -> {
                if (delay > 0) {
                    vertx.setTimer(delay, t -> send.run());
                } else {
                    send.run();
                }
                if (verdict.fate() == Verdict.Fate.REPEAT) {
                    vertx.setTimer(Math.max(1, verdict.delay().ms()), t -> send.run());
                }
            }
        }
        if (!verdict.answers() || delay > 0) {
            vertx.setTimer(patience.ms(), t -> answer.tryComplete(new ServiceResponse(0, null)));
        }
        return answer.future().onSuccess(r -> {
            JobStatus status = r.isOk() || r.status() == 201
                    ? JobCodec.readProgress(r.body()).status()
                    : null;
            history.add(new Event.Answered(clock.now(), asked, question, job, names.get(node), r.status(), status));
        });
    }

    /** The next node that is ready; any node if none is. */
    private int next() {
        for (int i = 0; i < ready.length; i++) {
            int node = (turn + 1 + i) % ready.length;
            if (ready[node]) {
                turn = node;
                return node;
            }
        }
        turn = (turn + 1) % ready.length;
        return turn;
    }

    public Future<Void> close() {
        closed = true;
        vertx.cancelTimer(probing);
        List<Future<Void>> all = new ArrayList<>();
        nodes.forEach(n -> all.add(n.close()));
        probes.forEach(n -> all.add(n.close()));
        return Future.join(all).mapEmpty();
    }
}
