package io.indigoreach.core.calendar;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * When an occurrence must be started at the latest. The time it takes is that of its acceptance, of a machine's boot and the
 * image's fetch, and of its tasks over the places it can have: by Graham's bound for list scheduling (1966) no more than the work
 * by the places and one longest task. The longest of the last ones is a quantile: of n tasks all end within the 1 - 0.05/n
 * quantile with 95% at least (Boole). Where other plans need the same hour, places are shared by need.
 */
public final class Forecast {
    /** Acceptance, the leader's hearing of it, and the check that rents. */
    private static final Span BEGIN = Span.seconds(5);
    /** Between two acceptances of plans, as they leave users their part of the changes. */
    private static final Span PACE = Span.seconds(0.5);

    private static final double UNSURE = 0.05;
    /** Fewer ends than this say less than the estimate does. */
    private static final int ENOUGH = 5;
    /** Estimates are often wrong by half. */
    private static final double UNSEEN_MEAN = 1.5;

    private static final double UNSEEN_LONGEST = 2;

    /**
     * What one occurrence is forecast to need.
     *
     * @param needed from its start until it is ready; null if it never can be, and then {@code obstacle} says why
     * @param alone the same if no other plan needed anything
     * @param unlimited the same with a place for every task
     * @param besides another plan that needs most of what it needs itself at that time; null if there is none
     */
    public record Entry(
            Occurrence occurrence, Span needed, Span alone, Span unlimited, Occurrence besides, String obstacle) {
        public boolean isPossible() {
            return needed != null;
        }

        public long latestStart() {
            return occurrence.readyBy() - (needed == null ? 0 : needed.ms());
        }
    }

    /** A job's time by the places it gets. */
    private record Work(
            Occurrence occurrence,
            Span ahead,
            double mean,
            double longest,
            double failed,
            int places,
            String obstacle) {
        Span on(int n) {
            int tasks = occurrence.tasks();
            double retries = Math.min(1, failed * tasks) * longest;
            double run = tasks <= n ? longest : tasks * mean / n + longest;
            return ahead.plus(Span.seconds(run + retries));
        }

        Span alone() {
            return on(places);
        }

        double cores() {
            return Math.max(1e-3, occurrence.plan().template().demand().cores());
        }

        double wanted() {
            return places * cores();
        }

        boolean meets(Work other) {
            return from() < other.occurrence.readyBy() && other.from() < occurrence.readyBy();
        }

        private long from() {
            return occurrence.readyBy() - alone().ms();
        }
    }

    private Forecast() {}

    /** For those that run, in the order of their latest starts. */
    public static List<Entry> of(List<Occurrence> occurrences, Means means) {
        List<Work> works = new ArrayList<>();
        List<Entry> out = new ArrayList<>();
        for (Occurrence o : occurrences) {
            if (!o.runs()) {
                continue;
            }
            Work work = work(o, means);
            if (work.obstacle.isEmpty()) {
                works.add(work);
            } else {
                out.add(new Entry(o, null, null, null, null, work.obstacle));
            }
        }
        works.sort(Comparator.comparingLong(w -> w.occurrence.readyBy()));
        long longest = works.stream().mapToLong(w -> w.alone().ms()).max().orElse(0);
        for (int i = 0; i < works.size(); i++) {
            out.add(entry(works, i, longest, means));
        }
        out.sort(Comparator.comparingLong(Entry::latestStart));
        return out;
    }

    /** Looks at those around it for as long as they can meet it. */
    private static Entry entry(List<Work> works, int i, long longest, Means means) {
        Work own = works.get(i);
        double all = own.wanted();
        double team = own.wanted();
        int before = 0;
        Work most = null;
        for (int step : new int[] {-1, 1}) {
            for (int k = i + step; k >= 0 && k < works.size(); k += step) {
                Work other = works.get(k);
                if (Math.abs(other.occurrence.readyBy() - own.occurrence.readyBy()) > longest) {
                    break;
                }
                if (!other.meets(own)) {
                    continue;
                }
                boolean sameTeam = teamOf(other).equals(teamOf(own));
                all += other.wanted();
                team += sameTeam ? other.wanted() : 0;
                before += step < 0 ? 1 : 0;
                if ((sameTeam || means.cores() > 0) && (most == null || other.wanted() > most.wanted())) {
                    most = other;
                }
            }
        }
        double part = Math.min(means.cores() > 0 ? means.cores() / all : 1, means.teamMost(teamOf(own)) / team);
        int places = part >= 1 ? own.places : (int) Math.max(1, Math.floor(own.places * part));
        return new Entry(
                own.occurrence,
                own.on(places).plus(PACE.times(before)),
                own.alone(),
                own.on(own.occurrence.tasks()),
                places < own.places ? most.occurrence : null,
                "");
    }

    private static String teamOf(Work work) {
        return work.occurrence.plan().template().team();
    }

    private static Work work(Occurrence o, Means means) {
        JobSpec job = o.plan().template();
        Resources demand = job.demand();
        Span ahead = null;
        for (MachineType type : means.types()) {
            if (job.allowsType(type.name()) && demand.countFittingIn(type.capacity()) > 0) {
                Span fetch = Span.seconds(type.imageFetchGbPerS() > 0 ? job.imageGb() / type.imageFetchGbPerS() : 0);
                Span time = type.bootTime().plus(fetch);
                ahead = ahead == null || time.compareTo(ahead) > 0 ? time : ahead;
            }
        }
        double cores = means.coresOf(job.team());
        int places = (int) Math.min(o.tasks(), Math.floor(cores / Math.max(1e-3, demand.cores()) + 1e-9));
        String obstacle = ahead == null
                ? "no machine type that it allows can take a task"
                : places == 0
                        ? "its team's limit, or the cores that plans may count on, are less than one task takes"
                        : "";
        Means.Runs runs = means.seen().of(job.jobClass(), o.tasks());
        boolean known = runs != null && runs.count() >= ENOUGH;
        double estimate = job.estimatedRunTime().seconds();
        return new Work(
                o,
                ahead == null ? BEGIN : ahead.plus(BEGIN),
                known ? runs.mean() : UNSEEN_MEAN * estimate,
                known ? runs.quantile(1 - UNSURE / o.tasks()) : UNSEEN_LONGEST * estimate,
                known ? runs.failed() : 0,
                places,
                obstacle);
    }
}
