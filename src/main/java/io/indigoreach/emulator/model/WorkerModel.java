package io.indigoreach.emulator.model;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.worker.WorkerCodec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** One machine's worker as the protocol has it, without input or output: answers and the time go in, reports come out. */
public final class WorkerModel {
    private static final Span LEAST_BETWEEN = Span.seconds(0.5);
    private static final Span FAILS_AFTER = Span.seconds(0.3);

    /** Told of what becomes of tasks. */
    public interface Listener {
        void started(Moment at, MachineId machine, TaskId task, Attempt attempt, FencingToken token);

        void running(Moment at, MachineId machine, TaskId task, Attempt attempt);

        /** It is not on the machine any more; only for tasks that ran. */
        void off(Moment at, MachineId machine, TaskId task, Attempt attempt, String why);

        void forgotten(Moment at, MachineId machine, TaskId task, Attempt attempt);
    }

    private record Key(TaskId task, Attempt attempt) {}

    private static final class Held {
        final JobSpec spec;
        TaskState state;
        ExitCause cause;
        boolean saved;
        /** When it began to run, and with how much progress. */
        Moment since;

        Span before = Span.ZERO;
        /** When its present state is over, if time ends it. */
        Moment ends;

        Held(JobSpec spec, TaskState state) {
            this.spec = spec;
            this.state = state;
        }
    }

    private final CloudModel.Machine machine;
    private final Depot depot;
    private final Span lease;
    private final Span reportEvery;
    private final RandomGenerator random;
    private final Listener listener;
    private final Map<Key, Held> tasks = new LinkedHashMap<>();
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);
    private long session = 1;
    private long serial;
    private FencingToken token = FencingToken.NONE;
    private Moment leaseFrom;
    private Moment noticeUntil;
    private Moment hangsUntil = Moment.NEVER;
    private Moment hungSince;
    private String fetching;
    private Moment fetched;
    private boolean changed = true;
    private boolean spoilt;
    private Moment lastSent = Moment.NEVER;
    private Moment nextReport;
    private Moment tokenTold = Moment.NEVER;
    private boolean underWay;

    public WorkerModel(
            CloudModel.Machine machine,
            Depot depot,
            Span lease,
            Span reportEvery,
            RandomGenerator random,
            Listener listener,
            Moment nextReport) {
        this.machine = machine;
        this.depot = depot;
        this.lease = lease;
        this.reportEvery = reportEvery;
        this.random = random;
        this.listener = listener;
        this.leaseFrom = nextReport;
        this.nextReport = nextReport;
    }

    public CloudModel.Machine machine() {
        return machine;
    }

    /** The cloud takes the machine away at a time. */
    public void warn(Moment until) {
        noticeUntil = until;
        changed = true;
    }

    /** It does nothing until then; its lease goes on running. */
    public void hang(Moment now, Moment until) {
        advance(now);
        hungSince = now;
        hangsUntil = until;
    }

    /** From now on every task that starts fails. */
    public void spoil() {
        spoilt = true;
    }

    public boolean hangs(Moment now) {
        return now.isBefore(hangsUntil);
    }

    /** The machine is gone. */
    public void end(Moment now, String why) {
        advance(now);
        killAll(now, why);
    }

    /** Lets happen what is due, in the order of time. */
    public void advance(Moment now) {
        for (Moment ends = leaseFrom.plus(lease); !now.isBefore(ends); ends = ends.plus(lease)) {
            work(ends);
            killAll(ends, "lease");
            session++;
            leaseFrom = ends;
            changed = true;
            underWay = false;
            nextReport = ends;
        }
        work(now);
    }

    private void work(Moment now) {
        if (hungSince != null) {
            if (now.isBefore(hangsUntil)) {
                return;
            }
            Span lost = hangsUntil.since(hungSince);
            hungSince = null;
            tasks.values().forEach(h -> {
                h.since = h.since == null ? null : h.since.plus(lost);
                h.ends = h.ends == null ? null : h.ends.plus(lost);
            });
            fetched = fetched == null ? null : fetched.plus(lost);
        }
        for (Moment next = nextChange(); next != null && !next.isAfter(now); next = nextChange()) {
            if (fetched != null && !fetched.isAfter(next)) {
                finishFetch(fetched);
            } else {
                finishOne(next);
            }
            changed = true;
        }
    }

    private Moment nextChange() {
        Moment next = fetched;
        for (Held h : tasks.values()) {
            if (h.ends != null && (next == null || h.ends.isBefore(next))) {
                next = h.ends;
            }
        }
        return next;
    }

    private void finishFetch(Moment at) {
        images.put(fetching, depotSize(fetching));
        double held = images.values().stream().mapToDouble(d -> d).sum();
        for (String oldest : List.copyOf(images.keySet())) {
            if (held <= machine.type().cacheGb() || oldest.equals(fetching)) {
                break;
            }
            held -= images.remove(oldest);
        }
        String image = fetching;
        fetching = null;
        fetched = null;
        tasks.forEach((key, h) -> {
            if (h.state == TaskState.FETCHING && h.spec.image().equals(image)) {
                run(key, h, at);
            }
        });
        fetchNext(at);
    }

    private double depotSize(String image) {
        return tasks.values().stream()
                .filter(h -> h.spec != null && h.spec.image().equals(image))
                .mapToDouble(h -> h.spec.imageGb())
                .findFirst()
                .orElse(0);
    }

    /** One image after the other; one that nobody waits for any more is given up. */
    private void fetchNext(Moment at) {
        Held waiting = null;
        for (Held h : tasks.values()) {
            if (h.state == TaskState.FETCHING) {
                if (h.spec.image().equals(fetching)) {
                    return;
                }
                waiting = waiting == null ? h : waiting;
            }
        }
        fetching = waiting == null ? null : waiting.spec.image();
        fetched = waiting == null
                ? null
                : at.plus(Span.seconds(
                        waiting.spec.imageGb() / (machine.type().fetchGbPerS() * (0.67 + 0.66 * random.nextDouble()))));
    }

    private void run(Key key, Held h, Moment at) {
        h.state = TaskState.RUNNING;
        h.since = at;
        h.before = depot.saved(key.task);
        listener.running(at, machine.id(), key.task, key.attempt);
        if (depot.hasResult(key.task)) {
            h.ends = at;
        } else if (spoilt || depot.fails(key.task.job())) {
            h.ends = at.plus(FAILS_AFTER);
        } else if (!h.spec.isService()) {
            h.ends = at.plus(depot.runTime(key.task).minus(h.before).times(1 / machine.speed()));
        }
    }

    private void finishOne(Moment at) {
        for (Map.Entry<Key, Held> e : tasks.entrySet()) {
            Held h = e.getValue();
            if (h.ends != null && !h.ends.isAfter(at)) {
                TaskId task = e.getKey().task;
                if (h.state == TaskState.SAVING) {
                    depot.save(task, progress(h, h.ends.minus(h.spec.checkpointTime())));
                    exit(e.getKey(), h, at, ExitCause.STOPPED, true);
                } else if (!depot.hasResult(task) && (spoilt || depot.fails(task.job()))) {
                    exit(e.getKey(), h, at, ExitCause.ERROR, false);
                } else {
                    depot.keepResult(task);
                    exit(e.getKey(), h, at, ExitCause.DONE, false);
                }
                return;
            }
        }
    }

    private Span progress(Held h, Moment at) {
        return h.before.plus(at.since(h.since).times(machine.speed()));
    }

    private void exit(Key key, Held h, Moment at, ExitCause cause, boolean saved) {
        boolean wasOn = h.state == TaskState.RUNNING || h.state == TaskState.SAVING;
        if (wasOn && cause != ExitCause.DONE) {
            keepCheckpoints(key.task, h, at);
        }
        h.state = TaskState.EXITED;
        h.cause = cause;
        h.saved = saved;
        h.ends = null;
        if (wasOn) {
            listener.off(at, machine.id(), key.task, key.attempt, cause.name().toLowerCase(java.util.Locale.ROOT));
        }
        fetchNext(at);
    }

    /** What the task has saved by itself, at each interval of progress. */
    private void keepCheckpoints(TaskId task, Held h, Moment at) {
        long every = h.spec.checkpointEvery().ms();
        if (every > 0 && h.since != null) {
            depot.save(task, new Span(progress(h, at).ms() / every * every));
        }
    }

    private void killAll(Moment at, String why) {
        tasks.forEach((key, h) -> {
            if (h.state == TaskState.RUNNING || h.state == TaskState.SAVING) {
                keepCheckpoints(key.task, h, at);
                listener.off(at, machine.id(), key.task, key.attempt, why);
            }
        });
        tasks.clear();
        fetching = null;
        fetched = null;
    }

    /** A report, if one is due now; it counts as under way until it is {@link #answered} or {@link #unanswered}. */
    public Heartbeat report(Moment now) {
        advance(now);
        if (underWay || hangs(now) || now.isBefore(reportDue())) {
            return null;
        }
        underWay = true;
        changed = false;
        lastSent = now;
        nextReport = now.plus(reportEvery.times(0.75 + 0.5 * random.nextDouble()));
        return state(now);
    }

    private Moment reportDue() {
        Moment early = lastSent.plus(LEAST_BETWEEN);
        return changed && early.isBefore(nextReport) ? early : nextReport;
    }

    /** When something is due next, as far as is known now. */
    public Moment nextDue(Moment now) {
        if (hangs(now)) {
            return earlier(hangsUntil, leaseFrom.plus(lease));
        }
        Moment next = earlier(leaseFrom.plus(lease), underWay ? null : reportDue());
        return earlier(next, nextChange());
    }

    private static Moment earlier(Moment a, Moment b) {
        return b == null || a.isBefore(b) ? a : b;
    }

    /** The worker's report as it stands, which {@code GET /inspect} answers too. */
    public Heartbeat state(Moment now) {
        List<TaskStatus> list = new ArrayList<>(tasks.size());
        tasks.forEach((key, h) -> list.add(new TaskStatus(key.task, key.attempt, h.state, h.cause, h.saved)));
        return new Heartbeat(
                machine.id(),
                machine.address(),
                machine.pool(),
                new HeartbeatNumber(session, ++serial),
                token,
                noticeUntil == null ? null : noticeUntil.isBefore(now) ? Span.ZERO : noticeUntil.since(now),
                list);
    }

    /** Its report was not taken; it goes on at another node after {@code pause}. */
    public void unanswered(Moment now, HeartbeatNumber heartbeatNumber, Span pause) {
        advance(now);
        if (heartbeatNumber.incarnation() == session) {
            underWay = false;
            nextReport = now.plus(pause);
            lastSent = now.minus(LEAST_BETWEEN).plus(pause);
        }
    }

    /** An answer of 200 to the report with this number, sent at {@code sent}; false if it was dropped and renewed no lease. */
    public boolean answered(
            Moment now, HeartbeatNumber heartbeatNumber, Moment sent, WorkerCodec.HeartbeatResponse answer) {
        advance(now);
        if (heartbeatNumber.incarnation() != session) {
            return false;
        }
        underWay = false;
        if (answer.token().value() < Math.max(0, token.value())) {
            return false;
        }
        see(answer.token(), now);
        leaseFrom = sent.isAfter(leaseFrom) ? sent : leaseFrom;
        answer.commands().forEach(command -> execute(command, now));
        return true;
    }

    /** Direct orders; false: nothing was executed, as token or session do not match. */
    public boolean direct(Moment now, WorkerCodec.DirectCommands direct) {
        advance(now);
        if (direct.token().value() < token.value() || direct.incarnation() != session) {
            return false;
        }
        see(direct.token(), now);
        direct.commands().forEach(command -> execute(command, now));
        return true;
    }

    private void see(FencingToken seen, Moment now) {
        if (seen.value() > token.value()) {
            token = seen;
            if (now.since(tokenTold).compareTo(lease.times(0.5)) >= 0) {
                tokenTold = now;
                changed = true;
            }
        }
    }

    private void execute(WorkerCommand command, Moment now) {
        Key key = new Key(command.task(), command.attempt());
        Held held = tasks.get(key);
        if (command instanceof WorkerCommand.Start) {
            if (held == null) {
                start(key, now);
            }
        } else if (command instanceof WorkerCommand.Stop stop) {
            if (held != null) {
                stop(key, held, stop.grace(), now);
            }
        } else if (held != null && held.state == TaskState.EXITED) {
            tasks.remove(key);
            listener.forgotten(now, machine.id(), key.task, key.attempt);
            changed = true;
        }
    }

    private void start(Key key, Moment now) {
        changed = true;
        listener.started(now, machine.id(), key.task, key.attempt, token);
        JobSpec spec = depot.spec(key.task.job());
        if (spec == null || key.task.index() >= spec.tasks()) {
            refuse(key, null, ExitCause.UNKNOWN);
            return;
        }
        Demand room = machine.type().capacity();
        for (Map.Entry<Key, Held> e : tasks.entrySet()) {
            Held h = e.getValue();
            if (h.state != TaskState.EXITED) {
                if (e.getKey().task.equals(key.task)) {
                    refuse(key, spec, ExitCause.IN_USE);
                    return;
                }
                room = room.minus(h.spec.demand());
            }
        }
        if (!spec.demand().fitsIn(room)) {
            refuse(key, spec, ExitCause.FULL);
            return;
        }
        Held h = new Held(spec, TaskState.FETCHING);
        tasks.put(key, h);
        if (images.get(spec.image()) != null || spec.imageGb() <= 0) {
            run(key, h, now);
        } else {
            fetchNext(now);
        }
    }

    private void refuse(Key key, JobSpec spec, ExitCause cause) {
        Held h = new Held(spec, TaskState.EXITED);
        h.cause = cause;
        tasks.put(key, h);
    }

    private void stop(Key key, Held h, Span grace, Moment now) {
        changed = true;
        if (h.state == TaskState.RUNNING && h.spec.savesProgress() && grace.compareTo(h.spec.checkpointTime()) >= 0) {
            h.state = TaskState.SAVING;
            h.ends = now.plus(h.spec.checkpointTime());
        } else if (h.state == TaskState.SAVING ? grace.ms() == 0 : h.state != TaskState.EXITED) {
            exit(key, h, now, ExitCause.STOPPED, false);
        }
    }
}
