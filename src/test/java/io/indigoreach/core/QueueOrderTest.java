package io.indigoreach.core;

import static io.indigoreach.core.World.at;
import static io.indigoreach.core.World.spec;
import static io.indigoreach.core.World.with;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Which job goes first. Jobs are "tasks@arrival", with "!" if urgent and "B" if a task takes a whole machine; tasks of
 * 20 s, jobs to be finished 100 s after their arrival, ten machines of four cores.
 */
class QueueOrderTest {
    private static Cluster cluster(int machines) {
        Cluster cluster = new Cluster(List.of(World.team(0)));
        cluster.types.put("quad", World.TYPE);
        for (int i = 0; i < machines; i++) {
            Machine m = new Machine(new MachineId("m" + i), new Pool("quad", "east", true), World.TYPE, at(0));
            m.phase = Machine.Phase.UP;
            m.recorded = true;
            cluster.machines.put(m.id, m);
        }
        return cluster;
    }

    @ParameterizedTest
    @CsvSource({
        "40@2 40@1,         1 0,     the order of arrival",
        "40@1 9@2!,         1 0,     urgent first",
        "400@0 40@1 40@2,   1 2 0,   the large one would make all three late",
        "60@0 20@1 20@2,    0 1 2,   all are in time",
        "400@0 400@1 40@2,  2 0 1,   both large ones are out of reach",
        "400@0 40@1! 40@2,  1 2 0,   urgent work takes its part of the time"})
    void jobsThatCannotBeInTimeDoNotMakeOthersLate(String jobs, String order, String why) {
        Cluster cluster = cluster(10);
        List<Job> all = submit(cluster, jobs);
        Aims aims = new Aims(List.of(new Aims.Aim("c", false, Span.seconds(100))));
        QueueOrder.Ordered ordered = new QueueOrder(cluster, aims, new Estimates())
                .order(cluster.shares().iterator().next(), at(3));
        assertEquals(order, ordered.jobs().stream().map(j -> "" + all.indexOf(j)).collect(Collectors.joining(" ")),
                why);
    }

    /** Guards against machines cleared of small tasks, at a fifth of a job's cost, while whole ones had come free. */
    @ParameterizedTest
    @CsvSource({"40@0 5B@50, 1 0", "40@0! 5B@50, 0 1"})
    void aWholeMachineGoesToTheJobThatNeedsOne(String jobs, String order) {
        Cluster cluster = cluster(10);
        List<Job> all = submit(cluster, jobs);
        Aims aims = new Aims(List.of(new Aims.Aim("c", false, Span.seconds(300))));
        Share share = cluster.shares().iterator().next();
        QueueOrder queue = new QueueOrder(cluster, aims, new Estimates());
        Machine m = cluster.machines.firstEntry().getValue();
        assertEquals(order, share.queueFor(m, queue, at(60)).stream().map(j -> "" + all.indexOf(j))
                .collect(Collectors.joining(" ")));
        m.put(new Placement(all.get(0), 0, m, new Attempt(1), TaskState.RUNNING, ReportNumber.NONE, at(50)));
        assertEquals("0 1", share.queueFor(m, queue, at(60)).stream().map(j -> "" + all.indexOf(j))
                .collect(Collectors.joining(" ")));
    }

    private static List<Job> submit(Cluster cluster, String jobs) {
        List<Job> all = new ArrayList<>();
        for (String text : jobs.split(" ")) {
            String[] parts = text.replaceAll("[!B]", "").split("@");
            JobSpec s = spec(all.size() + 1, Integer.parseInt(parts[0]), text.contains("B") ? 4 : 1, 20);
            s = with(s, text.endsWith("!") ? Urgency.HIGH : Urgency.STANDARD, false, false, true, null, 0);
            Job job = new Job(s, Long.parseLong(parts[1]), at(Double.parseDouble(parts[1])), Stamp.ABSENT,
                    new BitSet(), false);
            cluster.add(job);
            all.add(job);
        }
        return all;
    }
}
