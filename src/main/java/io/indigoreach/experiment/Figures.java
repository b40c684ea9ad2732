package io.indigoreach.experiment;

import io.indigoreach.checker.Event;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.load.Users;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.JobClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** What an experiment's history comes to: latencies, the queue over time, work done for the money, aims. */
final class Figures {
    private static final long LONGEST_MS = 24L * 3600 * 1000;
    private static final int DIGITS = 3;

    /** Tasks that wait and run at a time in seconds. */
    record Point(double atS, int waiting, int running) {}

    /** How an aim was met: the share that did. */
    record AimResult(String text, double wanted, double met, int of) {
        boolean isMet() {
            return of == 0 || met >= wanted;
        }
    }

    /**
     * Of the jobs of a class or a team, or of the largest of a class: how many were over by the end, and how many within their
     * class's longest aim; and the longest that one waited until its first task ran, in seconds, infinite if none has.
     */
    record Served(String name, int of, int byTheEnd, int inTime, double latestBegin) {
        /** The smaller share; a job without an aim is in time when it is over. */
        double least() {
            return of == 0 ? 1 : Math.min(byTheEnd, inTime) / (double) of;
        }
    }

    final List<Served> served = new ArrayList<>();
    final Map<String, Histogram> latencies = new LinkedHashMap<>();
    final List<Point> queue = new ArrayList<>();
    final List<AimResult> aims = new ArrayList<>();
    final Map<String, Integer> causes = new LinkedHashMap<>();
    int starts;
    int tasksDone;
    double usefulCoreS;
    double lostCoreS;

    final LeadershipFigures leadership;
    private final Experiment.Outcome outcome;
    private final Map<TaskId, Moment> firstRun = new HashMap<>();

    Figures(Experiment.Outcome outcome) {
        this.outcome = outcome;
        this.leadership = LeadershipFigures.of(
                outcome.history().events(), outcome.scenario().deployment().workers());
        for (String name : List.of("submission accepted", "task waits", "job over", "poll answered")) {
            latencies.put(name, new Histogram(LONGEST_MS, DIGITS));
        }
        walk();
        for (Users.Mine m : outcome.jobs()) {
            record(
                    "submission accepted",
                    m.acceptedAfter() == null ? -1 : m.acceptedAfter().ms());
            record("job over", m.overAfter() == null ? -1 : m.overAfter().ms());
        }
        outcome.scenario().deployment().aim().forEach(a -> aims.add(judge(a)));
        outcome.scenario().jobs().stream().map(JobClass::name).distinct().forEach(c -> {
            served.add(served("class " + c, spec -> spec.jobClass().equals(c)));
            largest(c, "tasks", JobSpec::taskCount);
            largest(c, "cores a task", spec -> spec.demand().cores());
            largest(
                    c,
                    "work",
                    spec -> spec.taskCount()
                            * spec.demand().cores()
                            * spec.estimatedRunTime().seconds());
        });
        outcome.scenario()
                .deployment()
                .team()
                .forEach(t -> served.add(
                        served("team " + t.name(), spec -> spec.team().equals(t.name()))));
    }

    /** The top tenth of a class, at least one job. */
    private void largest(String jobClass, String by, ToDoubleFunction<JobSpec> size) {
        List<Double> sizes = outcome.jobs().stream()
                .map(Users.Mine::spec)
                .filter(s -> s.jobClass().equals(jobClass))
                .map(size::applyAsDouble)
                .sorted(Comparator.reverseOrder())
                .toList();
        if (!sizes.isEmpty()) {
            double least = sizes.get((sizes.size() - 1) / 10);
            served.add(served(
                    "largest of " + jobClass + " by " + by,
                    spec -> spec.jobClass().equals(jobClass) && size.applyAsDouble(spec) >= least));
        }
    }

    /** Cancelled jobs and replicas aside; a job that was never accepted was not served. */
    private Served served(String name, Predicate<JobSpec> which) {
        List<Users.Mine> mine = outcome.jobs().stream()
                .filter(m -> which.test(m.spec())
                        && m.status() != JobStatus.CANCELLED
                        && !m.spec().isService())
                .toList();
        List<Users.Mine> over = mine.stream()
                .filter(m -> m.overAfter() != null && !m.isRefused())
                .toList();
        return new Served(
                name,
                mine.size(),
                over.size(),
                (int) over.stream()
                        .filter(m -> m.overAfter().seconds() <= longestAim(m.spec()))
                        .count(),
                mine.stream().mapToDouble(this::beginsAfter).max().orElse(0));
    }

    private double beginsAfter(Users.Mine m) {
        return IntStream.range(0, m.spec().taskCount())
                .mapToObj(i -> firstRun.get(new TaskId(m.spec().id(), i)))
                .filter(Objects::nonNull)
                .mapToDouble(at -> at.since(m.asked()).seconds())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private double longestAim(JobSpec spec) {
        return outcome.scenario().deployment().aim().stream()
                .filter(a -> a.jobClass().equals(spec.jobClass()) && a.kind().equals("finished"))
                .mapToDouble(Deployment.Aim::withinS)
                .max()
                .orElse(Double.MAX_VALUE);
    }

    private void record(String name, long ms) {
        if (ms >= 0) {
            latencies.get(name).recordValue(Math.min(ms, LONGEST_MS));
        }
    }

    private void walk() {
        Map<JobId, JobSpec> specs = new HashMap<>();
        Map<JobId, Moment> submitted = new HashMap<>();
        Map<String, Moment> running = new HashMap<>();
        Set<TaskId> done = new HashSet<>();
        Set<JobId> gone = new HashSet<>();
        int[] waiting = {0};
        List<Event> events = new ArrayList<>(outcome.history().events());
        events.sort(Comparator.comparing(Event::at));
        for (Event e : events) {
            if (e instanceof Event.Submitted s && specs.putIfAbsent(s.spec().id(), s.spec()) == null) {
                submitted.put(s.spec().id(), s.at());
                waiting[0] += s.spec().taskCount();
            } else if (e instanceof Event.Running r) {
                starts++;
                running.put(r.machine() + " " + r.task() + " " + r.attempt(), r.at());
                waiting[0]--;
                if (firstRun.putIfAbsent(r.task(), r.at()) == null
                        && submitted.containsKey(r.task().job())) {
                    record(
                            "task waits",
                            r.at().since(submitted.get(r.task().job())).ms());
                }
            } else if (e instanceof Event.Off off) {
                Moment from = running.remove(off.machine() + " " + off.task() + " " + off.attempt());
                JobSpec spec = specs.get(off.task().job());
                causes.merge(off.why(), 1, Integer::sum);
                boolean isDone = off.why().equals("done");
                if (isDone && done.add(off.task())) {
                    tasksDone++;
                } else if (!isDone && !gone.contains(off.task().job())) {
                    waiting[0]++;
                }
                if (from != null && spec != null) {
                    double coreS =
                            off.at().since(from).seconds() * spec.demand().cores();
                    usefulCoreS += isDone || spec.isService() ? coreS : 0;
                    lostCoreS += isDone || spec.isService() ? 0 : coreS;
                }
            } else if (e instanceof Event.CancelAsked c && specs.containsKey(c.job()) && gone.add(c.job())) {
                int over = 0;
                for (int i = 0; i < specs.get(c.job()).taskCount(); i++) {
                    over += done.contains(new TaskId(c.job(), i)) ? 1 : 0;
                }
                int runs = (int) running.keySet().stream()
                        .filter(k -> k.contains(" " + c.job() + "/"))
                        .count();
                waiting[0] -= specs.get(c.job()).taskCount() - over - runs;
            } else if (e instanceof Event.Answered a && a.question() == Event.Question.POLL && a.status() != null) {
                record("poll answered", a.at().since(a.asked()).ms());
            }
            double at = e.at().since(outcome.start()).seconds();
            if (queue.isEmpty() || at - queue.get(queue.size() - 1).atS >= 0.25) {
                queue.add(new Point(at, Math.max(0, waiting[0]), running.size()));
            }
        }
    }

    private AimResult judge(Deployment.Aim aim) {
        int of = 0;
        int met = 0;
        for (Users.Mine m : outcome.jobs()) {
            JobSpec spec = m.spec();
            if (!spec.jobClass().equals(aim.jobClass()) || m.isRefused() || m.status() == JobStatus.CANCELLED) {
                continue;
            }
            if (aim.kind().equals("wait")) {
                of += spec.taskCount();
                for (int i = 0; i < spec.taskCount(); i++) {
                    Moment ran = firstRun.get(new TaskId(spec.id(), i));
                    met += ran != null && ran.since(m.asked()).seconds() <= aim.withinS() ? 1 : 0;
                }
            } else {
                double within = aim.kind().equals("deadline")
                        ? spec.relativeDeadline() == null
                                ? Double.MAX_VALUE
                                : spec.relativeDeadline().seconds()
                        : aim.withinS();
                of++;
                met += m.overAfter() != null && m.overAfter().seconds() <= within ? 1 : 0;
            }
        }
        String text = aim.kind() + " " + aim.jobClass()
                + (aim.kind().equals("deadline") ? "" : " within " + aim.withinS() + " s");
        return new AimResult(text, aim.share(), of == 0 ? 1 : (double) met / of, of);
    }
}
