package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Dependent jobs of a leader: what they hold while they wait, and which times count from the release. */
class DependentJobsTest {
    private final SimulatedWorld world = new SimulatedWorld(SimulatedWorld.team(4));

    DependentJobsTest() {
        world.core.recordsLoaded();
    }

    private static JobSpec dependentSpec(int id, JobSpec... requiredJobs) {
        JobSpec spec = SimulatedWorld.spec(id, 2, 1, 20);
        return spec.with(JobDependencies.of(
                List.of(requiredJobs).stream().map(JobSpec::id).toList()));
    }

    private static JobSpec withDeadline(JobSpec spec, Urgency urgency, double dueS) {
        return JobSpec.builder(spec.id())
                .jobClass(spec.jobClass())
                .team(spec.team())
                .kind(spec.kind())
                .urgency(urgency)
                .tasks(spec.tasks())
                .demand(spec.demand())
                .image(spec.image())
                .imageGb(spec.imageGb())
                .types(spec.types())
                .zone(spec.zone())
                .oneZone(spec.oneZone())
                .spread(spec.spread())
                .spotAllowed(spec.spotAllowed())
                .estimate(spec.estimate())
                .checkpointEvery(spec.checkpointEvery())
                .checkpointTime(spec.checkpointTime())
                .due(Span.seconds(dueS))
                .more(spec.more())
                .dependencies(spec.dependencies())
                .build();
    }

    private void advance(double at) {
        world.core.dependentJobs().advance(SimulatedWorld.at(at), Math.round(at * 1000));
    }

    /** A job stays blocked when all tasks of the required job are done, until that end is recorded. */
    @Test
    void blockedJobHoldsNothingUntilTheRequiredEndIsRecorded() {
        JobSpec required = SimulatedWorld.spec(1, 2, 1, 20);
        Job first = world.submit(required, 0);
        Job waiting = world.submit(withDeadline(dependentSpec(2, required), Urgency.HIGH, 300), 0);
        world.up("vm-1", "east", 0);
        advance(1);
        List<WorkerCommand> started = world.hear("vm-1", 1);
        assertEquals(List.of("run-1/0", "run-1/1"), SimulatedWorld.starts(started));
        advance(30);
        TaskStatus[] ended = started.stream()
                .map(command -> SimulatedWorld.exited(command, ExitCause.DONE))
                .toArray(TaskStatus[]::new);
        assertEquals(List.of(), SimulatedWorld.starts(world.hear("vm-1", 30, ended)));
        assertTrue(first.isComplete());
        advance(31);
        assertEquals(0, waiting.waitingCount() + waiting.startableCount());
        assertFalse(waiting.isWithinStartBound() || waiting.hasWaiting());
        assertEquals(List.of(), world.core.scaleOutRequests(SimulatedWorld.at(31)));
        assertTrue(world.core.startBoundsToRaise(SimulatedWorld.at(31)).stream().noneMatch(waiting::equals));
        world.core.closeJob(required.id());
        advance(40);
        assertEquals(List.of("run-2/0", "run-2/1"), SimulatedWorld.starts(world.hear("vm-1", 41)));
        assertEquals(SimulatedWorld.at(40), waiting.eligibleSince);
        assertEquals(SimulatedWorld.at(300), waiting.dueAt());
        assertEquals(40_000, waiting.spec().dependencies().releasedAtMs(), "the next record has the release time");
    }

    /**
     * A later leader takes a release from the record, a completed task or a reported task; otherwise it looks up the
     * required jobs.
     */
    @Test
    void laterLeaderRecognizesReleasedJobs() {
        JobSpec required = SimulatedWorld.spec(1, 2, 1, 20);
        BitSet firstTaskDone = new BitSet();
        firstTaskDone.set(0);
        Job releasedInRecord = new Job(
                dependentSpec(2, required)
                        .with(dependentSpec(2, required).dependencies().released(25_000)),
                5_000,
                SimulatedWorld.at(5),
                new Revision(1),
                new BitSet(),
                2,
                true);
        Job partlyDone = new Job(
                dependentSpec(3, required), 5_000, SimulatedWorld.at(5), new Revision(1), firstTaskDone, 2, true);
        Job reported = new Job(
                dependentSpec(4, required), 5_000, SimulatedWorld.at(5), new Revision(1), new BitSet(), 2, true);
        List.of(releasedInRecord, partlyDone).forEach(world.core::addJob);
        assertEquals(SimulatedWorld.at(25), releasedInRecord.eligibleSince);
        assertTrue(releasedInRecord.hasWaiting() && partlyDone.hasWaiting());
        assertTrue(world.core.dependentJobs().jobsToLookUp().isEmpty());
        world.core.addJob(reported);
        assertEquals(1, world.core.dependentJobs().jobsToLookUp().size());
        world.up("vm-1", "east", 0);
        world.hear("vm-1", 30, SimulatedWorld.foreign("run-4/0", 9));
        advance(31);
        assertTrue(reported.hasWaiting()
                && world.core.dependentJobs().jobsToLookUp().isEmpty());
    }

    /** Loading the records again does not make a job that is no longer loaded count as done. */
    @Test
    void reloadedRecordsDoNotMakeRequiredJobsDone() {
        JobSpec required = SimulatedWorld.spec(1, 2, 1, 20);
        world.submit(required, 0);
        Job waiting = world.submit(dependentSpec(2, required), 0);
        world.core.forgetJobs();
        world.core.addJob(waiting);
        advance(1);
        assertFalse(waiting.hasWaiting());
        assertEquals(1, world.core.dependentJobs().jobsToLookUp().size());
    }

    @Test
    void requiredJobsInheritUrgencyAndDeadline() {
        JobSpec required = SimulatedWorld.spec(1, 2, 1, 20);
        Job first = world.submit(required, 0);
        JobSpec second = dependentSpec(2, required);
        world.submit(second, 0);
        JobSpec last = withDeadline(dependentSpec(3, second), Urgency.HIGH, 100);
        world.submit(last, 10);
        advance(11);
        assertEquals(Urgency.HIGH, first.urgency());
        assertEquals(SimulatedWorld.at(110 - 40), first.dueAt());
        world.core.cancelJob(last.id());
        advance(13);
        assertEquals(Urgency.STANDARD, first.urgency());
        assertEquals(null, first.dueAt());
    }
}
