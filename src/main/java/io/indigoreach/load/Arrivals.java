package io.indigoreach.load;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.scenario.JobClass;
import io.indigoreach.scenario.Scenario;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** The jobs of an experiment: which come when is settled by the seed before it begins. */
public final class Arrivals {
    private static final long FIRST_ID = 100_000;

    /**
     * A job to be submitted.
     *
     * @param at from the start
     * @param cancelAfter when its user cancels it, counted from its submission; null: never
     */
    public record Arrival(Span at, JobSpec spec, Depot.Conduct conduct, Span cancelAfter) {}

    private Arrivals() {}

    /** All jobs, the first to come first. Ids do not follow the order of arrival. */
    public static List<Arrival> of(Scenario scenario) {
        SplittableRandom random = new SplittableRandom(scenario.seed() + 17);
        List<Arrival> all = new ArrayList<>();
        for (JobClass c : scenario.jobs()) {
            SplittableRandom own = random.split();
            for (int i = 0; i < c.atStart(); i++) {
                all.add(arrival(c, Span.seconds(own.nextDouble()), own));
            }
            double most = c.perMinute() * Math.max(1, c.burstTimes()) / 60;
            // Arrivals at the highest rate, thinned out to the rate of the moment (Lewis and Shedler, 1979).
            for (double at = next(0, most, own); at < scenario.lengthS(); at = next(at, most, own)) {
                boolean burst = at >= c.burstAtS() && at < c.burstAtS() + c.burstForS();
                double rate = c.perMinute() / 60 * (burst ? c.burstTimes() : 1);
                if (own.nextDouble() * most < rate) {
                    all.add(arrival(c, Span.seconds(at), own));
                }
            }
        }
        all.sort(Comparator.comparing(Arrival::at));
        return numbered(all, random);
    }

    private static double next(double at, double rate, RandomGenerator random) {
        return rate <= 0 ? Double.MAX_VALUE : at + random.nextExponential() / rate;
    }

    private static List<Arrival> numbered(List<Arrival> all, RandomGenerator random) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            ids.add(FIRST_ID + i);
        }
        java.util.Collections.shuffle(ids, new java.util.Random(random.nextLong()));
        List<Arrival> out = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            Arrival a = all.get(i);
            JobSpec s = a.spec;
            out.add(new Arrival(
                    a.at,
                    JobSpec.builder(new JobId("run-" + ids.get(i)))
                            .jobClass(s.jobClass())
                            .team(s.team())
                            .kind(s.kind())
                            .urgency(s.urgency())
                            .taskCount(s.taskCount())
                            .demand(s.demand())
                            .image(s.image())
                            .imageGb(s.imageGb())
                            .machineTypes(s.machineTypes())
                            .zone(s.zone())
                            .singleZone(s.singleZone())
                            .spreadOverZones(s.spreadOverZones())
                            .spotAllowed(s.spotAllowed())
                            .estimatedRunTime(s.estimatedRunTime())
                            .checkpointInterval(s.checkpointInterval())
                            .checkpointDuration(s.checkpointDuration())
                            .relativeDeadline(s.relativeDeadline())
                            .build(),
                    a.conduct,
                    a.cancelAfter));
        }
        return out;
    }

    private static Arrival arrival(JobClass c, Span at, RandomGenerator random) {
        int tasks = (int) Math.min(
                c.mostTasks(), Math.max(1, Math.round(c.tasks() * (0.5 + random.nextExponential() / 2))));
        boolean service = c.shape() == io.indigoreach.core.model.JobKind.SERVICE;
        double run = c.runS() * logNormal(c.runSpread() / 2, random);
        double estimate = service ? 0 : run * logNormal(c.estimateSpread(), random);
        boolean cancels = service ? run > 0 : random.nextDouble() < c.cancelShare();
        Span cancelAfter = !cancels ? null : Span.seconds(service ? run : 2 * run * random.nextDouble());
        JobSpec spec = JobSpec.builder(new JobId("run-0"))
                .jobClass(c.name())
                .team(c.team())
                .kind(c.shape())
                .urgency(c.urgency())
                .taskCount(tasks)
                .demand(new Resources(c.cores(), c.gpus(), c.ramGb()))
                .image(c.name() + "-" + random.nextInt(c.images()))
                .imageGb(c.imageGb())
                .singleZone(c.oneZone())
                .spreadOverZones(c.spread())
                .spotAllowed(c.spot())
                .estimatedRunTime(Span.seconds(estimate))
                .checkpointInterval(Span.seconds(service ? 0 : c.checkpointEveryS()))
                .checkpointDuration(Span.seconds(c.checkpointS()))
                .relativeDeadline(c.dueTimes() <= 0 ? null : Span.seconds(estimate * c.dueTimes()))
                .build();
        return new Arrival(
                at,
                spec,
                new Depot.Conduct(Span.seconds(run), c.runSpread(), random.nextDouble() < c.mistakeShare()),
                cancelAfter);
    }

    private static double logNormal(double spread, RandomGenerator random) {
        return Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }
}
