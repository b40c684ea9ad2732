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

/** Tests what dependent jobs reserve while they wait, and which times are measured from their release. */
class DependentJobsTest {
    private final SchedulerFixture world = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(4));

    DependentJobsTest() {
        world.core.onRecordsLoaded();
    }

    private static JobSpec dependentSpec(int id, JobSpec... requiredJobs) {
        JobSpec spec = SchedulerFixture.spec(id, 2, 1, 20);
        return spec.with(JobDependencies.of(
                List.of(requiredJobs).stream().map(JobSpec::id).toList()));
    }

    private static JobSpec withDeadline(JobSpec spec, Urgency urgency, double dueS) {
        return JobSpec.builder(spec.id())
                .jobClass(spec.jobClass())
                .team(spec.team())
                .kind(spec.kind())
                .urgency(urgency)
                .taskCount(spec.taskCount())
                .demand(spec.demand())
                .image(spec.image())
                .imageGb(spec.imageGb())
                .machineTypes(spec.machineTypes())
                .zone(spec.zone())
                .singleZone(spec.singleZone())
                .spreadOverZones(spec.spreadOverZones())
                .spotAllowed(spec.spotAllowed())
                .estimatedRunTime(spec.estimatedRunTime())
                .checkpointInterval(spec.checkpointInterval())
                .checkpointDuration(spec.checkpointDuration())
                .relativeDeadline(Span.seconds(dueS))
                .extensions(spec.extensions())
                .dependencies(spec.dependencies())
                .build();
    }

    private void advance(double at) {
        world.core.dependentJobs().advance(SchedulerFixture.atSeconds(at), Math.round(at * 1000));
    }

    /** A job stays blocked when all tasks of the required job are done, until that end is recorded. */
    @Test
    void blockedJobHoldsNothingUntilTheRequiredEndIsRecorded() {
        JobSpec required = SchedulerFixture.spec(1, 2, 1, 20);
        Job first = world.submit(required, 0);
        Job waiting = world.submit(withDeadline(dependentSpec(2, required), Urgency.HIGH, 300), 0);
        world.addSpotMachine("vm-1", "east", 0);
        advance(1);
        List<WorkerCommand> started = world.heartbeat("vm-1", 1);
        assertEquals(List.of("run-1/0", "run-1/1"), SchedulerFixture.tasksToStart(started));
        advance(30);
        TaskStatus[] ended = started.stream()
                .map(command -> SchedulerFixture.exitedStatus(command, ExitCause.DONE))
                .toArray(TaskStatus[]::new);
        assertEquals(List.of(), SchedulerFixture.tasksToStart(world.heartbeat("vm-1", 30, ended)));
        assertTrue(first.isComplete());
        advance(31);
        assertEquals(0, waiting.waitingCount() + waiting.startableCount());
        assertFalse(waiting.isWithinStartBound() || waiting.hasWaiting());
        assertEquals(List.of(), world.core.scaleOutRequests(SchedulerFixture.atSeconds(31)));
        assertTrue(world.core.startBoundsToRaise(SchedulerFixture.atSeconds(31)).stream()
                .noneMatch(waiting::equals));
        world.core.closeJob(required.id());
        advance(40);
        assertEquals(List.of("run-2/0", "run-2/1"), SchedulerFixture.tasksToStart(world.heartbeat("vm-1", 41)));
        assertEquals(SchedulerFixture.atSeconds(40), waiting.eligibleSince);
        assertEquals(SchedulerFixture.atSeconds(300), waiting.dueAt());
        assertEquals(40_000, waiting.spec().dependencies().releasedAtMs(), "the next record has the release time");
    }

    /**
     * A later leader takes a release from the record, a completed task or a reported task; otherwise it looks up the
     * required jobs.
     */
    @Test
    void laterLeaderRecognizesReleasedJobs() {
        JobSpec required = SchedulerFixture.spec(1, 2, 1, 20);
        BitSet firstTaskDone = new BitSet();
        firstTaskDone.set(0);
        Job releasedInRecord = new Job(
                dependentSpec(2, required)
                        .with(dependentSpec(2, required).dependencies().releasedAt(25_000)),
                5_000,
                SchedulerFixture.atSeconds(5),
                new Revision(1),
                new BitSet(),
                2,
                true);
        Job partlyDone = new Job(
                dependentSpec(3, required),
                5_000,
                SchedulerFixture.atSeconds(5),
                new Revision(1),
                firstTaskDone,
                2,
                true);
        Job reported = new Job(
                dependentSpec(4, required),
                5_000,
                SchedulerFixture.atSeconds(5),
                new Revision(1),
                new BitSet(),
                2,
                true);
        List.of(releasedInRecord, partlyDone).forEach(world.core::addJob);
        assertEquals(SchedulerFixture.atSeconds(25), releasedInRecord.eligibleSince);
        assertTrue(releasedInRecord.hasWaiting() && partlyDone.hasWaiting());
        assertTrue(world.core.dependentJobs().jobsToLookUp().isEmpty());
        world.core.addJob(reported);
        assertEquals(1, world.core.dependentJobs().jobsToLookUp().size());
        world.addSpotMachine("vm-1", "east", 0);
        world.heartbeat("vm-1", 30, SchedulerFixture.statusOfUnknownTask("run-4/0", 9));
        advance(31);
        assertTrue(reported.hasWaiting()
                && world.core.dependentJobs().jobsToLookUp().isEmpty());
    }

    /** Loading the records again does not make a job that is no longer loaded count as done. */
    @Test
    void reloadedRecordsDoNotMakeRequiredJobsDone() {
        JobSpec required = SchedulerFixture.spec(1, 2, 1, 20);
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
        JobSpec required = SchedulerFixture.spec(1, 2, 1, 20);
        Job first = world.submit(required, 0);
        JobSpec second = dependentSpec(2, required);
        world.submit(second, 0);
        JobSpec last = withDeadline(dependentSpec(3, second), Urgency.HIGH, 100);
        world.submit(last, 10);
        advance(11);
        assertEquals(Urgency.HIGH, first.urgency());
        assertEquals(SchedulerFixture.atSeconds(110 - 40), first.dueAt());
        world.core.cancelJob(last.id());
        advance(13);
        assertEquals(Urgency.STANDARD, first.urgency());
        assertEquals(null, first.dueAt());
    }
}
