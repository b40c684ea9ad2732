package io.indigoreach.checker;

import io.indigoreach.checker.Breach.Rule;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.Team;
import io.indigoreach.net.Fields;
import io.indigoreach.state.CounterRecord;
import io.indigoreach.state.LeaderKey;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient.Txn;
import io.indigoreach.state.StateClient.Write;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks a history by the rules at the end of the protocol, and by those of leadership and records on which they rest.
 * It believes nothing but what was seen on the wire and on the machines.
 */
public final class Checker {
    private static final Span UNANSWERED = Span.seconds(90);
    private static final double MOST_ANSWERED = 0.5;
    private static final int SHOWN = 6;

    /** A task on a machine, from when it had its image until it was gone. */
    private record Stay(TaskId task, MachineId machine, Attempt attempt, Event.Running began, Moment from, Moment to) {
        boolean overlaps(Stay other) {
            return from.isBefore(other.to) && other.from.isBefore(to);
        }
    }

    private final Moment start;
    private final Limits limits;
    private final Map<String, Team> teams = new HashMap<>();
    private final List<Event> events;
    private final Map<JobId, JobSpec> specs = new HashMap<>();
    private final Map<MachineId, MachinePool> pools = new HashMap<>();
    private final List<Stay> stays = new ArrayList<>();
    private final List<Breach> breaches = new ArrayList<>();

    /**
     * Times of the workers that the rules name.
     *
     * @param cancelWithin after which a cancelled job's tasks must be gone
     * @param workerLease for how long a worker goes on after it sent a heartbeat that was answered
     */
    public record Limits(Span cancelWithin, Span workerLease) {}

    private Checker(History history, Moment start, Limits limits, List<Team> teams) {
        this.start = start;
        this.limits = limits;
        teams.forEach(t -> this.teams.put(t.name(), t));
        this.events = new ArrayList<>(history.events());
        this.events.sort(Comparator.comparing(Event::at));
    }

    /**
     * The rules broken, the first first; empty if none is.
     *
     * @param start what the times told count from
     */
    public static List<Breach> check(History history, Moment start, Limits limits, List<Team> teams) {
        Checker checker = new Checker(history, start, limits, teams);
        checker.gather();
        checker.checkTasks();
        checker.checkAnswers();
        checker.checkRenewals();
        checker.checkRecords();
        checker.checkTokens();
        checker.breaches.sort(Comparator.comparingLong(Breach::atMs));
        return checker.breaches;
    }

    private void gather() {
        Moment end = events.isEmpty() ? start : events.get(events.size() - 1).at();
        Map<String, Event.Running> open = new LinkedHashMap<>();
        for (Event e : events) {
            if (e instanceof Event.Submitted s) {
                specs.putIfAbsent(s.spec().id(), s.spec());
            } else if (e instanceof Event.MachineUp m) {
                pools.put(m.machine(), m.pool());
            } else if (e instanceof Event.Running r) {
                open.put(key(r.machine(), r.task(), r.attempt()), r);
            } else if (e instanceof Event.Off off) {
                Event.Running r = open.remove(key(off.machine(), off.task(), off.attempt()));
                if (r != null) {
                    stays.add(new Stay(r.task(), r.machine(), r.attempt(), r, r.at(), off.at()));
                }
            }
        }
        open.values()
                .forEach(
                        r -> stays.add(new Stay(r.task(), r.machine(), r.attempt(), r, r.at(), end.plus(new Span(1)))));
        stays.sort(Comparator.comparing(Stay::from));
    }

    private static String key(MachineId machine, TaskId task, Attempt attempt) {
        return machine + " " + task + " " + attempt;
    }

    private void checkTasks() {
        Map<TaskId, List<Stay>> byTask = new HashMap<>();
        Map<JobId, List<Stay>> byJob = new HashMap<>();
        for (Stay s : stays) {
            List<Stay> others = byTask.computeIfAbsent(s.task, t -> new ArrayList<>());
            for (Stay other : others) {
                if (s.overlaps(other) && !s.machine.equals(other.machine)) {
                    breach(
                            Rule.RAN_TWICE,
                            s.from,
                            s.task + " starts on " + s.machine + " while it is on " + other.machine,
                            List.of(other.began, s.began));
                }
            }
            others.add(s);
            List<Stay> mates = byJob.computeIfAbsent(s.task.job(), j -> new ArrayList<>());
            checkPlace(s, mates);
            mates.add(s);
        }
        checkQuota();
        if (stays.isEmpty()) {
            breach(Rule.NOTHING_RAN, start, "no task was started", List.of());
        }
        Set<String> forgotten = new HashSet<>();
        for (Event e : events) {
            if (e instanceof Event.Forgotten f) {
                forgotten.add(key(f.machine(), f.task(), f.attempt()));
            } else if (e instanceof Event.Started s && forgotten.contains(key(s.machine(), s.task(), s.attempt()))) {
                breach(
                        Rule.START_AFTER_REAP,
                        s.at(),
                        s.task() + " attempt " + s.attempt() + " is started again on " + s.machine(),
                        List.of(s));
            }
        }
    }

    private void checkPlace(Stay s, List<Stay> mates) {
        JobSpec spec = specs.get(s.task.job());
        MachinePool pool = pools.get(s.machine);
        if (spec == null || pool == null) {
            return;
        }
        String wrong = !spec.allowsType(pool.type())
                ? "type " + pool.type()
                : !spec.allowsZone(pool.zone())
                        ? "zone " + pool.zone()
                        : !spec.allowsPurchaseType(pool.spot()) ? "a spot machine" : null;
        int inZone = 1;
        for (Stay mate : mates) {
            if (s.from.isBefore(mate.to)) {
                boolean same = pools.get(mate.machine).zone().equals(pool.zone());
                inZone += same ? 1 : 0;
                if (spec.singleZone() && !same) {
                    wrong = "another zone than " + mate.task;
                }
            }
        }
        if (inZone > spec.maxTasksPerZone()) {
            wrong = inZone + " tasks in one zone";
        }
        if (wrong != null) {
            breach(Rule.WRONG_PLACE, s.from, s.task + " starts on " + s.machine + ": " + wrong, List.of(s.began));
        }
    }

    /** Sweeps over all beginnings and ends; at one moment, ends come first. */
    private void checkQuota() {
        record Step(Moment at, boolean begins, Stay stay) {}
        List<Step> steps = new ArrayList<>();
        for (Stay s : stays) {
            JobSpec spec = specs.get(s.task.job());
            if (spec != null
                    && teams.containsKey(spec.team())
                    && teams.get(spec.team()).hasLimits()
                    && s.from.isBefore(s.to)) {
                steps.add(new Step(s.from, true, s));
                steps.add(new Step(s.to, false, s));
            }
        }
        steps.sort(Comparator.comparing(Step::at).thenComparing(Step::begins));
        Map<String, double[]> used = new TreeMap<>();
        for (Step step : steps) {
            JobSpec spec = specs.get(step.stay.task.job());
            double[] sum = used.computeIfAbsent(spec.team(), t -> new double[2]);
            int sign = step.begins ? 1 : -1;
            sum[0] += sign * spec.demand().cores();
            sum[1] += sign * spec.demand().gpus();
            if (step.begins && !teams.get(spec.team()).isWithinLimits(sum[0], sum[1])) {
                breach(
                        Rule.QUOTA,
                        step.at,
                        String.format("team %s uses %.1f cores and %.1f accelerators", spec.team(), sum[0], sum[1]),
                        List.of(step.stay.began));
            }
        }
    }

    private void checkAnswers() {
        Map<TaskId, Moment> completed = new HashMap<>();
        for (Event e : events) {
            if (e instanceof Event.Off off && "done".equals(off.why())) {
                completed.putIfAbsent(off.task(), off.at());
            }
        }
        Map<JobId, List<Event.Answered>> byJob = new LinkedHashMap<>();
        Map<JobId, Event.CancelAsked> asked = new HashMap<>();
        for (Event e : events) {
            if (e instanceof Event.Answered a) {
                byJob.computeIfAbsent(a.job(), j -> new ArrayList<>()).add(a);
            } else if (e instanceof Event.CancelAsked c) {
                asked.putIfAbsent(c.job(), c);
            }
        }
        byJob.forEach((job, answers) -> checkAnswers(job, answers, asked.get(job), completed));
    }

    private void checkAnswers(
            JobId job, List<Event.Answered> answers, Event.CancelAsked cancel, Map<TaskId, Moment> completed) {
        JobSpec spec = specs.get(job);
        Event.Answered accepted = null;
        Event.Answered over = null;
        Moment answered = null;
        for (Event.Answered a : answers) {
            if (a.status() != null && spec == null) {
                breach(Rule.INVENTED, a.at(), job + " is answered though nobody submitted it", List.of(a));
                continue;
            }
            boolean later = accepted != null && a.asked().isAfter(accepted.at());
            if ((later && a.question() == Question.SUBMIT && (a.http() == 400 || a.http() == 422))
                    || (later && a.http() == 404)) {
                breach(Rule.FORGOTTEN, a.at(), job + " was accepted and is answered " + a.http(), List.of(accepted, a));
            }
            if (a.status() == JobStatus.CANCELLED && cancel == null) {
                breach(
                        Rule.WENT_BACK,
                        a.at(),
                        job + " is called cancelled though its user did not cancel it",
                        List.of(a));
            }
            if (over != null
                    && a.status() != null
                    && a.status() != over.status()
                    && a.asked().isAfter(over.at())) {
                breach(
                        Rule.WENT_BACK,
                        a.at(),
                        job + " was called " + over.status() + " and is called " + a.status(),
                        List.of(over, a));
            }
            if (a.status() == JobStatus.DONE && (over == null || over.status() != JobStatus.DONE)) {
                checkDone(spec, a, completed);
            }
            if (a.question() == Question.POLL && accepted != null) {
                if (a.status() != null || answered == null) {
                    answered = a.at();
                } else if (a.at().since(answered).compareTo(UNANSWERED) >= 0 && othersAreAnswered(answered, a.at())) {
                    breach(Rule.FORGOTTEN, a.at(), job + " is not answered for 90 s while others are", List.of(a));
                    answered = a.at();
                }
            }
            accepted = accepted == null && a.status() != null ? a : accepted;
            if (over == null && a.status() != null && a.status().isFinal()) {
                over = a;
                if (a.status() == JobStatus.CANCELLED) {
                    checkGone(job, a);
                }
            }
        }
    }

    private void checkDone(JobSpec spec, Event.Answered a, Map<TaskId, Moment> completed) {
        for (int i = 0; i < spec.taskCount(); i++) {
            TaskId task = new TaskId(spec.id(), i);
            Moment at = completed.get(task);
            if (at == null || at.isAfter(a.at())) {
                breach(
                        Rule.NOT_DONE,
                        a.at(),
                        spec.id() + " is called done, but " + task + " has not completed",
                        List.of(a));
                return;
            }
        }
    }

    private void checkGone(JobId job, Event.Answered told) {
        Moment limit = told.at().plus(limits.cancelWithin());
        for (Stay s : stays) {
            if (s.task.job().equals(job) && s.to.isAfter(limit)) {
                breach(
                        Rule.RAN_CANCELLED,
                        limit,
                        s.task + " is on " + s.machine + " more than "
                                + limits.cancelWithin().seconds()
                                + " s after its job was cancelled",
                        List.of(told, s.began));
                return;
            }
        }
    }

    private void checkRenewals() {
        LeaseRenewals renewals = new LeaseRenewals(limits.workerLease(), limits.cancelWithin());
        for (Event e : events) {
            if (e instanceof Event.Answered a && a.status() == JobStatus.CANCELLED) {
                renewals.cancelled(a.job(), a.at());
            } else if (e instanceof Event.LeaseRenewed renewed) {
                renewals.check(renewed)
                        .forEach(finding ->
                                breach(Rule.RENEWED_CANCELLED, renewed.at(), finding.toString(), List.of(renewed)));
            }
        }
    }

    private boolean othersAreAnswered(Moment from, Moment to) {
        int polls = 0;
        int good = 0;
        for (Event e : events) {
            if (e instanceof Event.Answered a
                    && a.question() == Question.POLL
                    && a.at().isAfter(from)
                    && a.at().isBefore(to)) {
                polls++;
                good += a.status() != null ? 1 : 0;
            }
        }
        return good > polls * MOST_ANSWERED;
    }

    /** Every write rests on what it replaces: on its own key, on its job's, or on the leader's for what only a leader writes. */
    private void checkRecords() {
        Map<String, Long> stamps = new HashMap<>();
        long highest = 0;
        for (Event e : events) {
            if (!(e instanceof Event.Committed c)) {
                continue;
            }
            for (Write w : c.txn().writes()) {
                if (!isGuarded(w.key(), c.txn(), stamps)) {
                    breach(
                            Rule.BLIND_WRITE,
                            c.at(),
                            c.node() + " writes " + w.key() + " without a condition on what it " + "replaces",
                            List.of(c));
                }
                if (w.key().equals(RecordKeys.LEADER) && !w.isDelete()) {
                    long token = LeaderKey.tokenOf(w.value());
                    boolean counted = c.txn().writes().stream()
                            .anyMatch(o -> o.key().equals(RecordKeys.COUNTER)
                                    && CounterRecord.read(new Fields(o.value()))
                                                    .highestToken()
                                                    .value()
                                            == token);
                    if (w.lease() == 0 || token <= highest || !counted) {
                        breach(
                                Rule.LEADERSHIP,
                                c.at(),
                                c.node() + " takes leadership "
                                        + (w.lease() == 0
                                                ? "without a lease"
                                                : !counted
                                                        ? "without counting its token"
                                                        : "with token " + token + " after " + highest),
                                List.of(c));
                    }
                    highest = Math.max(highest, token);
                }
            }
            c.txn().writes().forEach(w -> {
                if (w.isDelete()) {
                    stamps.remove(w.key());
                } else {
                    stamps.put(w.key(), c.revision());
                }
            });
        }
    }

    private static boolean isGuarded(String key, Txn txn, Map<String, Long> stamps) {
        Map<String, Revision> conditions = txn.conditions();
        if (conditions.containsKey(key)) {
            return true;
        }
        String guard = RecordKeys.guardKeyOf(key);
        if (guard == null || !conditions.containsKey(guard)) {
            return false;
        }
        // A condition that something is absent guards nothing else.
        return conditions.get(guard).value() > 0 && stamps.containsKey(guard);
    }

    private void checkTokens() {
        Map<Long, Event.TokenSeen> first = new HashMap<>();
        Map<String, Integer> processes = new HashMap<>();
        Map<Long, Integer> of = new HashMap<>();
        for (Event e : events) {
            if (e instanceof Event.Process p && p.begins()) {
                processes.merge(p.node(), 1, Integer::sum);
            } else if (e instanceof Event.TokenSeen t) {
                int process = processes.getOrDefault(t.node(), 0);
                Event.TokenSeen before = first.putIfAbsent(t.token().value(), t);
                if (before == null) {
                    of.put(t.token().value(), process);
                } else if (!before.node().equals(t.node()) || of.get(t.token().value()) != process) {
                    breach(
                            Rule.TOKEN_REUSED,
                            t.at(),
                            "token " + t.token() + " of " + before.node() + " is used by " + t.node()
                                    + (before.node().equals(t.node()) ? "'s next process" : ""),
                            List.of(before, t));
                }
            }
        }
    }

    private void breach(Rule rule, Moment at, String what, List<Event> shownBy) {
        breaches.add(new Breach(rule, at.since(start).ms(), what, shownBy.subList(0, Math.min(SHOWN, shownBy.size()))));
    }
}
