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
 * Digests the decisions of the core in seeded simulations: one line for each kind of simulation and 20 seeds, with a hash over all effects in
 * order ({@link EffectListener}). A refactoring must not change any line. To compare with the committed lines, or to rewrite them after an
 * intended change of behaviour:
 *
 * <pre>{@code
 * src/test/digest.sh --check src/test/resources/behaviour-digests.txt
 * src/test/digest.sh --write src/test/resources/behaviour-digests.txt
 * }</pre>
 *
 * <p>Without arguments the lines are printed. Each line also has the number of effects and the seeds of the simulations that violated an
 * invariant which their test checks; such a simulation is hashed up to the violation. The digest shows that behaviour changed; whether it is
 * correct is for the tests to check.
 */
final class BehaviourDigest {
    private static final int SEEDS_PER_LINE = 20;
    private static final int HASH_BYTES = 12;

    /** Runs one simulation; returns whether it satisfied the invariants that its test checks. */
    private interface Simulation {
        boolean run(long seed, EffectListener effects);
    }

    /** Simulations with the seeds from 1 to {@code seeds}. The committed lines contain the name. */
    private record SimulationSet(String name, int seeds, Simulation simulation) {}

    /** The result of one simulation; {@code hash} is hexadecimal. */
    private record Result(long seed, String hash, long effects, boolean satisfied) {}

    private static final List<SimulationSet> SIMULATIONS = List.of(
            new SimulationSet(
                    "random",
                    100,
                    (seed, effects) -> random(seed, effects, EnumSet.noneOf(RandomSimulation.Fault.class))),
            new SimulationSet(
                    "random-with-troubles",
                    100,
                    (seed, effects) -> random(
                            seed, effects, EnumSet.complementOf(EnumSet.of(RandomSimulation.Fault.SHORT_LEADERSHIPS)))),
            new SimulationSet(
                    "random-with-short-leaderships",
                    100,
                    (seed, effects) -> random(seed, effects, EnumSet.of(RandomSimulation.Fault.SHORT_LEADERSHIPS))),
            new SimulationSet("cancellations", 1000, BehaviourDigest::cancellations),
            new SimulationSet("limits", 360, BehaviourDigest::limits),
            new SimulationSet("chains", 300, (seed, effects) -> {
                DependencySimulationTest.simulate(seed, effects);
                return true;
            }),
            new SimulationSet("queues", 200, BehaviourDigest::queues),
            new SimulationSet("warm-pools", 200, (seed, effects) -> {
                WarmPoolTest.runRandomEvents(seed, effects);
                return true;
            }),
            new SimulationSet("ownership", 200, (seed, effects) -> ownership(seed, effects, false)),
            new SimulationSet("ownership-with-losses", 200, (seed, effects) -> ownership(seed, effects, true)),
            new SimulationSet(
                    "intents",
                    300,
                    (seed, effects) -> IntentsTest.play(seed, effects).isEmpty()),
            new SimulationSet("calendar-starts", 200, (seed, effects) -> OnceTest.run(seed, true, effects) == null),
            new SimulationSet("accounts", 200, (seed, effects) -> {
                MeterTest.play(seed, effects);
                return true;
            }));

    private BehaviourDigest() {}

    public static void main(String[] args) throws IOException {
        boolean write = args.length == 2 && args[0].equals("--write");
        boolean check = args.length == 2 && args[0].equals("--check");
        if (args.length > 0 && !write && !check) {
            System.err.println("usage: BehaviourDigest [--check FILE | --write FILE]");
            System.exit(2);
        }
        List<String> lines = new ArrayList<>();
        for (SimulationSet set : SIMULATIONS) {
            List<String> setLines = digest(set);
            lines.addAll(setLines);
            if (!check) {
                setLines.forEach(System.out::println);
            }
        }
        if (write) {
            Files.write(Path.of(args[1]), lines);
        }
        if (check && reportDifference(Files.readAllLines(Path.of(args[1])), lines)) {
            System.exit(1);
        }
    }

    private static List<String> digest(SimulationSet set) {
        List<Result> results = LongStream.rangeClosed(1, set.seeds)
                .parallel()
                .mapToObj(seed -> play(set.simulation, seed))
                .toList();
        List<String> lines = new ArrayList<>();
        for (int from = 0; from < results.size(); from += SEEDS_PER_LINE) {
            List<Result> chunk = results.subList(from, Math.min(results.size(), from + SEEDS_PER_LINE));
            MessageDigest digest = EffectHash.sha256();
            chunk.forEach(result -> digest.update(HexFormat.of().parseHex(result.hash)));
            lines.add(set.name + " " + (from + 1) + "-" + (from + chunk.size()) + ": "
                    + chunk.stream().mapToLong(Result::effects).sum() + " effects, broken "
                    + chunk.stream()
                            .filter(result -> !result.satisfied)
                            .map(Result::seed)
                            .toList() + ", "
                    + HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), HASH_BYTES)));
        }
        return lines;
    }

    private static Result play(Simulation simulation, long seed) {
        EffectHash hash = new EffectHash();
        boolean satisfied;
        try {
            satisfied = simulation.run(seed, hash);
        } catch (AssertionError e) {
            satisfied = false;
        }
        return new Result(seed, HexFormat.of().formatHex(hash.hash()), hash.count(), satisfied);
    }

    private static boolean reportDifference(List<String> expected, List<String> found) {
        for (int i = 0; i < Math.max(expected.size(), found.size()); i++) {
            String expectedLine = i < expected.size() ? expected.get(i) : "(no line)";
            String foundLine = i < found.size() ? found.get(i) : "(no line)";
            if (!expectedLine.equals(foundLine)) {
                System.out.println("Behaviour differs, first in line " + (i + 1) + "\n  was " + expectedLine
                        + "\n  is  " + foundLine);
                return true;
            }
        }
        System.out.println("Behaviour is the same: " + found.size() + " lines");
        return false;
    }

    private static boolean random(long seed, EffectListener effects, EnumSet<RandomSimulation.Fault> faults) {
        RandomSimulation simulation =
                new RandomSimulation(seed, RandomSimulation.DisabledGuard.NONE, faults).withListener(effects);
        simulation.run();
        return simulation.violations().isEmpty();
    }

    private static boolean cancellations(long seed, EffectListener effects) {
        return CancellationSimulationTest.randomRun(seed, CancellationSimulation.DisabledGuard.NONE, effects)
                .violations
                .isEmpty();
    }

    /** Each fault with one change of leader, and with several at short and at long intervals. */
    private static boolean limits(long seed, EffectListener effects) {
        TeamLimitSimulation.Fault[] faults = {
            TeamLimitSimulation.Fault.NONE,
            TeamLimitSimulation.Fault.PARTITIONED,
            TeamLimitSimulation.Fault.RESPONSES_LOST,
            TeamLimitSimulation.Fault.PAUSED,
            TeamLimitSimulation.Fault.RESPONSES_DELAYED,
            TeamLimitSimulation.Fault.CONTROLLERS_DOWN,
            TeamLimitSimulation.Fault.ZONE_PARTITIONED
        };
        TeamLimitSimulation simulation = new TeamLimitSimulation(seed, faults[(int) (seed % faults.length)]);
        simulation.cluster.effects = effects;
        switch ((int) (seed / faults.length % 3)) {
            case 0 -> simulation.simulate(1, 0);
            case 1 -> simulation.simulate(2, 7);
            default -> simulation.simulate(10, 9);
        }
        return simulation.cluster.violations.isEmpty();
    }

    /** Up to four job classes and a service, of three teams, some with a service level objective; one change of leader. */
    private static boolean queues(long seed, EffectListener effects) {
        SplittableRandom random = new SplittableRandom(seed);
        Urgency[] urgencies = {Urgency.HIGH, Urgency.STANDARD, Urgency.BEST_EFFORT, Urgency.PRODUCTION};
        String[] teams = {"free", "guaranteed", "limited"};
        double[] cores = {0.5, 1, 2, 4};
        List<Workload> kinds = new ArrayList<>();
        List<ServiceLevelObjectives.Objective> objectives = new ArrayList<>();
        for (int i = 0; i < 2 + random.nextInt(3); i++) {
            String name = "class-" + i;
            int startsAt = random.nextInt(60);
            Workload jobKind = Workload.of(
                            name,
                            urgencies[random.nextInt(urgencies.length)],
                            random.nextDouble() * 0.4,
                            random.nextInt(8),
                            1 + random.nextInt(40),
                            5 + random.nextInt(60),
                            cores[random.nextInt(cores.length)])
                    .activeBetween(startsAt, startsAt + 60 + random.nextInt(150))
                    .team(teams[random.nextInt(teams.length)])
                    .withEstimateFactor(0.5 + random.nextDouble() * 2);
            kinds.add(random.nextInt(3) == 0 ? jobKind.savingProgress() : jobKind);
            if (random.nextBoolean()) {
                objectives.add(new ServiceLevelObjectives.Objective(
                        name, random.nextInt(3) == 0, Span.seconds(60 + random.nextInt(240))));
            }
        }
        kinds.add(Workload.of("replicas", Urgency.PRODUCTION, 0, random.nextInt(3), 1 + random.nextInt(8), 0, 1)
                .team("free")
                .asService());
        CoreHarness harness = new CoreHarness(
                kinds,
                random.nextInt(80),
                5 + random.nextInt(30),
                new ServiceLevelObjectives(objectives),
                new Team("free", 0, 0, 0, 0),
                new Team("guaranteed", 40, 0, 0, 0),
                new Team("limited", 0, 30, 0, 0));
        harness.effects = effects;
        harness.run(100 + random.nextInt(100));
        harness.startNewLeader();
        harness.run(200);
        return true;
    }

    private static boolean ownership(long seed, EffectListener effects, boolean withLosses) {
        return new RegistryRun(seed, RegistryRun.Fault.NONE, withLosses)
                .tell(effects)
                .run()
                .isEmpty();
    }
}
