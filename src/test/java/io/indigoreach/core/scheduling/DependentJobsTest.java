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

/** Chained jobs among the others of a leader: what they hold while they wait, and what counts from the release. */
class DependentJobsTest {
    private final SchedulerFixture world = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(4));

    DependentJobsTest() {
        world.core.recordsLoaded();
    }

    private static JobSpec chained(int id, JobSpec... needs) {
        JobSpec spec = SchedulerFixture.spec(id, 2, 1, 20);
        return spec.with(
                JobDependencies.of(List.of(needs).stream().map(JobSpec::id).toList()));
    }

    private static JobSpec due(JobSpec s, Urgency urgency, double dueS) {
        return JobSpec.builder(s.id())
                .jobClass(s.jobClass())
                .team(s.team())
                .kind(s.kind())
                .urgency(urgency)
                .tasks(s.tasks())
                .demand(s.demand())
                .image(s.image())
                .imageGb(s.imageGb())
                .types(s.types())
                .zone(s.zone())
                .oneZone(s.oneZone())
                .spread(s.spread())
                .spotAllowed(s.spotAllowed())
                .estimate(s.estimate())
                .checkpointEvery(s.checkpointEvery())
                .checkpointTime(s.checkpointTime())
                .due(Span.seconds(dueS))
                .more(s.more())
                .dependencies(s.dependencies())
                .build();
    }

    private void advance(double at) {
        world.core.dependentJobs().advance(SchedulerFixture.atSeconds(at), Math.round(at * 1000));
    }

    /** Its need's tasks are all done, and the leader knows it: not before that end is recorded does anything of it move. */
    @Test
    void itHoldsNothingUntilTheEndIsDurable() {
        JobSpec need = SchedulerFixture.spec(1, 2, 1, 20);
        Job first = world.submit(need, 0);
        Job waiting = world.submit(due(chained(2, need), Urgency.HIGH, 300), 0);
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
        world.core.closeJob(need.id());
        advance(40);
        assertEquals(List.of("run-2/0", "run-2/1"), SchedulerFixture.tasksToStart(world.heartbeat("vm-1", 41)));
        assertEquals(SchedulerFixture.atSeconds(40), waiting.eligibleSince);
        assertEquals(SchedulerFixture.atSeconds(300), waiting.dueAt());
        assertEquals(40_000, waiting.spec().dependencies().releasedAtMs(), "its next record tells a later leader");
    }

    /** Its record says when it was released; or a task of it is done, or seen on a machine. Else its needs are looked up. */
    @Test
    void aLaterLeaderKnowsWhatWasReleased() {
        JobSpec need = SchedulerFixture.spec(1, 2, 1, 20);
        BitSet one = new BitSet();
        one.set(0);
        Job marked = new Job(
                chained(2, need).with(chained(2, need).dependencies().released(25_000)),
                5_000,
                SchedulerFixture.atSeconds(5),
                new Revision(1),
                new BitSet(),
                2,
                true);
        Job begun = new Job(chained(3, need), 5_000, SchedulerFixture.atSeconds(5), new Revision(1), one, 2, true);
        Job seen =
                new Job(chained(4, need), 5_000, SchedulerFixture.atSeconds(5), new Revision(1), new BitSet(), 2, true);
        List.of(marked, begun).forEach(world.core::addJob);
        assertEquals(SchedulerFixture.atSeconds(25), marked.eligibleSince);
        assertTrue(marked.hasWaiting() && begun.hasWaiting());
        assertTrue(world.core.dependentJobs().jobsToLookUp().isEmpty());
        world.core.addJob(seen);
        assertEquals(1, world.core.dependentJobs().jobsToLookUp().size());
        world.addSpotMachine("vm-1", "east", 0);
        world.heartbeat("vm-1", 30, SchedulerFixture.statusOfUnknownTask("run-4/0", 9));
        advance(31);
        assertTrue(
                seen.hasWaiting() && world.core.dependentJobs().jobsToLookUp().isEmpty());
    }

    /** A reading of the records that is repeated says nothing of how any job ended. */
    @Test
    void whatIsReadAnewIsNotDone() {
        JobSpec need = SchedulerFixture.spec(1, 2, 1, 20);
        world.submit(need, 0);
        Job waiting = world.submit(chained(2, need), 0);
        world.core.forgetJobs();
        world.core.addJob(waiting);
        advance(1);
        assertFalse(waiting.hasWaiting());
        assertEquals(1, world.core.dependentJobs().jobsToLookUp().size());
    }

    @Test
    void theJobsBeforeAnUrgentDeadlineAreTreatedAlike() {
        JobSpec need = SchedulerFixture.spec(1, 2, 1, 20);
        Job first = world.submit(need, 0);
        JobSpec second = chained(2, need);
        world.submit(second, 0);
        JobSpec last = due(chained(3, second), Urgency.HIGH, 100);
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
