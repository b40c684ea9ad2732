package io.indigoreach.core;

import io.indigoreach.core.accounts.MeterTest;
import io.indigoreach.core.calendar.OnceTest;
import io.indigoreach.core.intent.IntentsTest;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.ownership.RegistryRun;
import io.indigoreach.core.scheduling.CancellationSimulation;
import io.indigoreach.core.scheduling.CancellationSimulationTest;
import io.indigoreach.core.scheduling.CoreHarness;
import io.indigoreach.core.scheduling.CoreHarness.Workload;
import io.indigoreach.core.scheduling.DependencySimulationTest;
import io.indigoreach.core.scheduling.RandomSimulation;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.core.scheduling.TeamLimitSimulation;
import io.indigoreach.core.scheduling.WarmPoolTest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * A digest of what the core decides in its seeded runs: a line for each kind of run and each 20 seeds, with a hash over all effects
 * in their order ({@link EffectListener}). A refactoring leaves every line as it is. To compare with the committed lines, or to
 * write them anew after a change of behaviour that is meant:
 *
 * <pre>{@code
 * src/test/digest.sh --check src/test/resources/behaviour-digests.txt
 * src/test/digest.sh --write src/test/resources/behaviour-digests.txt
 * }</pre>
 *
 * <p>Without arguments the lines are printed. Each also counts the effects, and names the seeds of the runs that broke a rule
 * which their test checks; such a run is hashed up to there. The digest says that behaviour changed, not whether it is right: that is the tests'.
 */
final class BehaviourDigest {
    private static final int SEEDS_A_LINE = 20;
    private static final int HASH_BYTES = 12;

    /** Plays one run; true if it kept the rules that its test checks. */
    private interface Play {
        boolean run(long seed, EffectListener effects);
    }

    /** Runs with the seeds from 1 on. The name stands in the committed lines. */
    private record Runs(String name, int seeds, Play play) {}

    /** {@code hash}: in hexadecimal digits. */
    private record Result(long seed, String hash, long effects, boolean kept) {}

    private static final List<Runs> ALL = List.of(
            new Runs(
                    "random",
                    100,
                    (seed, effects) -> random(seed, effects, EnumSet.noneOf(RandomSimulation.Trouble.class))),
            new Runs(
                    "random-with-troubles",
                    100,
                    (seed, effects) -> random(
                            seed,
                            effects,
                            EnumSet.complementOf(EnumSet.of(RandomSimulation.Trouble.SHORT_LEADERSHIPS)))),
            new Runs(
                    "random-with-short-leaderships",
                    100,
                    (seed, effects) -> random(seed, effects, EnumSet.of(RandomSimulation.Trouble.SHORT_LEADERSHIPS))),
            new Runs("cancellations", 1000, BehaviourDigest::cancellations),
            new Runs("limits", 360, BehaviourDigest::limits),
            new Runs("chains", 300, (seed, effects) -> {
                DependencySimulationTest.play(seed, effects);
                return true;
            }),
            new Runs("queues", 200, BehaviourDigest::queues),
            new Runs("warm-pools", 200, (seed, effects) -> {
                WarmPoolTest.runRandomEvents(seed, effects);
                return true;
            }),
            new Runs("ownership", 200, (seed, effects) -> ownership(seed, effects, false)),
            new Runs("ownership-with-losses", 200, (seed, effects) -> ownership(seed, effects, true)),
            new Runs(
                    "intents",
                    300,
                    (seed, effects) -> IntentsTest.play(seed, effects).isEmpty()),
            new Runs("calendar-starts", 200, (seed, effects) -> OnceTest.run(seed, true, effects) == null),
            new Runs("accounts", 200, (seed, effects) -> {
                MeterTest.play(seed, effects);
                return true;
            }));

    private BehaviourDigest() {}

    public static void main(String[] args) throws IOException {
        boolean writes = args.length == 2 && args[0].equals("--write");
        boolean checks = args.length == 2 && args[0].equals("--check");
        if (args.length > 0 && !writes && !checks) {
            System.err.println("usage: BehaviourDigest [--check FILE | --write FILE]");
            System.exit(2);
        }
        List<String> lines = new ArrayList<>();
        for (Runs runs : ALL) {
            List<String> some = digest(runs);
            lines.addAll(some);
            if (!checks) {
                some.forEach(System.out::println);
            }
        }
        if (writes) {
            Files.write(Path.of(args[1]), lines);
        }
        if (checks && differs(Files.readAllLines(Path.of(args[1])), lines)) {
            System.exit(1);
        }
    }

    private static List<String> digest(Runs runs) {
        List<Result> results = LongStream.rangeClosed(1, runs.seeds)
                .parallel()
                .mapToObj(seed -> play(runs.play, seed))
                .toList();
        List<String> lines = new ArrayList<>();
        for (int from = 0; from < results.size(); from += SEEDS_A_LINE) {
            List<Result> some = results.subList(from, Math.min(results.size(), from + SEEDS_A_LINE));
            MessageDigest all = EffectHash.sha256();
            some.forEach(r -> all.update(HexFormat.of().parseHex(r.hash)));
            lines.add(runs.name + " " + (from + 1) + "-" + (from + some.size()) + ": "
                    + some.stream().mapToLong(Result::effects).sum() + " effects, broken "
                    + some.stream().filter(r -> !r.kept).map(Result::seed).toList() + ", "
                    + HexFormat.of().formatHex(Arrays.copyOf(all.digest(), HASH_BYTES)));
        }
        return lines;
    }

    private static Result play(Play play, long seed) {
        EffectHash hash = new EffectHash();
        boolean kept;
        try {
            kept = play.run(seed, hash);
        } catch (AssertionError e) {
            kept = false;
        }
        return new Result(seed, HexFormat.of().formatHex(hash.hash()), hash.count(), kept);
    }

    private static boolean differs(List<String> expected, List<String> found) {
        for (int i = 0; i < Math.max(expected.size(), found.size()); i++) {
            String then = i < expected.size() ? expected.get(i) : "(no line)";
            String now = i < found.size() ? found.get(i) : "(no line)";
            if (!then.equals(now)) {
                System.out.println(
                        "Behaviour differs, first in line " + (i + 1) + "\n  was " + then + "\n  is  " + now);
                return true;
            }
        }
        System.out.println("Behaviour is the same: " + found.size() + " lines");
        return false;
    }

    private static boolean random(long seed, EffectListener effects, EnumSet<RandomSimulation.Trouble> troubles) {
        RandomSimulation run = new RandomSimulation(seed, RandomSimulation.Without.NOTHING, troubles).tell(effects);
        run.play();
        return run.broken().isEmpty();
    }

    private static boolean cancellations(long seed, EffectListener effects) {
        return CancellationSimulationTest.random(seed, CancellationSimulation.Without.NOTHING, effects)
                .broken
                .isEmpty();
    }

    /** Each trouble with one change of leader, and with several that follow soon and late. */
    private static boolean limits(long seed, EffectListener effects) {
        TeamLimitSimulation.Trouble[] troubles = {
            TeamLimitSimulation.Trouble.NONE,
            TeamLimitSimulation.Trouble.CUT,
            TeamLimitSimulation.Trouble.DEAF,
            TeamLimitSimulation.Trouble.HUNG,
            TeamLimitSimulation.Trouble.HELD_UP,
            TeamLimitSimulation.Trouble.AWAY,
            TeamLimitSimulation.Trouble.ZONE
        };
        TeamLimitSimulation run = new TeamLimitSimulation(seed, troubles[(int) (seed % troubles.length)]);
        run.site.effects = effects;
        switch ((int) (seed / troubles.length % 3)) {
            case 0 -> run.play(1, 0);
            case 1 -> run.play(2, 7);
            default -> run.play(10, 9);
        }
        return run.site.violations.isEmpty();
    }

    /** Queues of up to four classes and a service, of three teams, for some of which there is an aim; one change of leader. */
    private static boolean queues(long seed, EffectListener effects) {
        SplittableRandom random = new SplittableRandom(seed);
        Urgency[] urgencies = {Urgency.HIGH, Urgency.STANDARD, Urgency.BEST_EFFORT, Urgency.PRODUCTION};
        String[] teams = {"free", "guaranteed", "limited"};
        double[] cores = {0.5, 1, 2, 4};
        List<Workload> kinds = new ArrayList<>();
        List<ServiceLevelObjectives.Objective> aims = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(3); i++) {
            String name = "class-" + i;
            int from = random.nextInt(60);
            Workload kind = Workload.of(
                            name,
                            urgencies[random.nextInt(urgencies.length)],
                            random.nextDouble() * 0.4,
                            random.nextInt(8),
                            1 + random.nextInt(40),
                            5 + random.nextInt(60),
                            cores[random.nextInt(cores.length)])
                    .activeBetween(from, from + 60 + random.nextInt(150))
                    .team(teams[random.nextInt(teams.length)])
                    .withEstimateFactor(0.5 + random.nextDouble() * 2);
            kinds.add(random.nextInt(3) == 0 ? kind.savingProgress() : kind);
            if (random.nextBoolean()) {
                aims.add(new ServiceLevelObjectives.Objective(
                        name, random.nextInt(3) == 0, Span.seconds(60 + random.nextInt(240))));
            }
        }
        kinds.add(Workload.of("replicas", Urgency.PRODUCTION, 0, random.nextInt(3), 1 + random.nextInt(8), 0, 1)
                .team("free")
                .asService());
        CoreHarness steps = new CoreHarness(
                kinds,
                random.nextInt(80),
                5 + random.nextInt(30),
                new ServiceLevelObjectives(aims),
                new Team("free", 0, 0, 0, 0),
                new Team("guaranteed", 40, 0, 0, 0),
                new Team("limited", 0, 30, 0, 0));
        steps.effects = effects;
        steps.run(100 + random.nextInt(100));
        steps.startNewLeader();
        steps.run(200);
        return true;
    }

    private static boolean ownership(long seed, EffectListener effects, boolean losing) {
        return new RegistryRun(seed, RegistryRun.Fault.NONE, losing)
                .tell(effects)
                .run()
                .isEmpty();
    }
}
