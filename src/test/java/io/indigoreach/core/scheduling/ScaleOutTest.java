package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how many machines are rented, of which kind, and which machines are returned. */
class ScaleOutTest {
    /** Jobs are written as tasks x estimate. A machine runs four tasks, and jobs below 60 s count as short. */
    @ParameterizedTest
    @CsvSource({
        "8x100,               2",
        "8x100 8x100,         4",
        "8x100 8x30,          3",
        "8x30 8x30,           1",
        "8x30 8x30 8x100,     3",
        "1x100,               1"
    })
    void rentsForLongJobsAndFirstShortJob(String jobs, int machines) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        int id = 0;
        for (String job : jobs.split(" ")) {
            String[] parts = job.split("x");
            fixture.submit(spec(++id, Integer.parseInt(parts[0]), 1, Double.parseDouble(parts[1])), 0);
        }
        assertEquals(
                machines,
                fixture.core.scaleOutRequests(atSeconds(1)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    @Test
    void bootingMachinesAreNotRequestedAgainUntilOverdue() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.submit(spec(1, 8, 1, 100), 0);
        fixture.core.onMachinesRented(
                new MachinePool("quad", "east", true),
                List.of(new MachineId("a"), new MachineId("b")),
                atSeconds(1),
                atSeconds(1));
        assertEquals(List.of(), fixture.core.scaleOutRequests(atSeconds(30)));
        assertEquals(2, fixture.core.scaleOutRequests(atSeconds(60)).get(0).count());
    }

    /**
     * An idle machine on which the only waiting job has failed does not count as available. Otherwise the job waits
     * until that machine's minimum paid time is over before another one is rented. The emulator's fault "spoil"
     * triggers this.
     */
    @Test
    void machineIsRentedIfJobFailedOnTheOnlyIdleOne() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.submit(spec(1, 1, 1, 20), 0);
        WorkerCommand start = fixture.heartbeat("a", 1).get(0);
        fixture.heartbeat("a", 2, runningStatus(start));
        fixture.heartbeat("a", 3, SchedulerFixture.exitedStatus(start, ExitCause.ERROR));
        assertEquals(List.of(), SchedulerFixture.tasksToStart(fixture.heartbeat("a", 4)));
        assertEquals(
                1,
                fixture.core.scaleOutRequests(atSeconds(5)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
        fixture.core.onMachinesRented(
                new MachinePool("quad", "east", true), List.of(new MachineId("b")), atSeconds(5), atSeconds(5));
        assertEquals(List.of(), fixture.core.scaleOutRequests(atSeconds(7)), "the booting machine is enough");
    }

    @Test
    void nothingIsRentedWhileTheTopJobIsPredictedToStartSoon() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.submit(spec(1, 4, 1, 20), 0);
        List<TaskStatus> tasks = new ArrayList<>();
        fixture.heartbeat("a", 1).forEach(command -> tasks.add(runningStatus(command)));
        fixture.heartbeat("a", 2, tasks.toArray(TaskStatus[]::new));
        fixture.submit(spec(2, 4, 1, 20), 3);
        assertEquals(List.of(), fixture.core.scaleOutRequests(atSeconds(4)));
        fixture.submit(withOptions(spec(3, 4, 1, 200), Urgency.HIGH, true, false, true, "west", 0), 5);
        assertEquals(
                "west",
                fixture.core.scaleOutRequests(atSeconds(6)).get(0).pool().zone(),
                "no present machine can ever run the top job");
    }

    /** Guards against renting for tasks beyond the team's limit on GPUs: only its limit on cores was looked at. */
    @ParameterizedTest
    @CsvSource({"0, 0, 8", "3, 0, 3", "0, 2, 2", "3, 2, 2"})
    void rentsOnlyForTasksWithinTheTeamLimits(double coresMax, double gpusMax, int machines) {
        SchedulerFixture fixture = new SchedulerFixture(new Team("t", 0, coresMax, 0, gpusMax));
        MachineType type = SchedulerFixture.MACHINE_TYPE;
        fixture.core.addMachineTypes(List.of(new MachineType(
                "gpu",
                new Resources(4, 1, 16),
                type.imageCacheGb(),
                type.imageFetchGbPerS(),
                type.onDemandPrice(),
                type.spotPrice(),
                type.bootTime(),
                type.zones())));
        fixture.core.onRecordsLoaded();
        JobSpec spec = spec(1, 8, 1, 100);
        fixture.submit(
                JobSpec.builder(spec.id())
                        .jobClass(spec.jobClass())
                        .team(spec.team())
                        .kind(spec.kind())
                        .urgency(spec.urgency())
                        .taskCount(spec.taskCount())
                        .demand(new Resources(1, 1, 1))
                        .image(spec.image())
                        .imageGb(0)
                        .spotAllowed()
                        .estimatedRunTime(spec.estimatedRunTime())
                        .build(),
                0);
        assertEquals(
                machines,
                fixture.core.scaleOutRequests(atSeconds(1)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /**
     * Guards against scaling out because the tasks of a team at its limit have waited too long: machines were rented
     * for other jobs that were about to start.
     */
    @Test
    void waitForATeamLimitRentsNothing() {
        SchedulerFixture fixture =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 4, 0, 0));
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.submit(SchedulerFixture.withTeam(spec(1, 8, 1, 500), "guest"), 0);
        assertEquals(4, SchedulerFixture.tasksToStart(fixture.heartbeat("a", 1)).size());
        fixture.addSpotMachine("b", "east", 100);
        fixture.submit(spec(2, 4, 1, 20), 100);
        List<WorkerCommand> starts = fixture.heartbeat("b", 101);
        assertEquals(4, SchedulerFixture.tasksToStart(starts).size());
        fixture.heartbeat("b", 102, runningStatus(starts));
        fixture.submit(spec(3, 4, 1, 20), 102);
        assertEquals(List.of(), fixture.core.scaleOutRequests(atSeconds(103)));
    }

    /** Guards against keeping on-demand machines for tasks of a team at its limit: the machines were never surplus. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onDemandMachinesAreNotKeptForATeamAtItsLimit(boolean spotAllowed) {
        SchedulerFixture fixture =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 4, 0, 0));
        fixture.core.onRecordsLoaded();
        List.of("a", "b", "c").forEach(name -> fixture.addOnDemandMachine(name, 0));
        JobSpec spec = withOptions(spec(1, 400, 1, 500), Urgency.STANDARD, false, false, spotAllowed, null, 0);
        fixture.submit(SchedulerFixture.withTeam(spec, "guest"), 0);
        TaskStatus[] running = runningStatus(fixture.heartbeatOnDemand("a", 1));
        fixture.core.scaleOutRequests(atSeconds(2));
        fixture.heartbeatOnDemand("a", 200, running);
        fixture.core.scaleOutRequests(atSeconds(201));
        assertEquals(
                Map.of("a", false, "b", true),
                fixture.core.machines().stream()
                        .filter(machine -> !machine.id().equals(new MachineId("c")))
                        .collect(Collectors.toMap(machine -> machine.id().toString(), machine -> machine.surplus)),
                "the busy machine is kept for the tasks that follow, an idle one is not");
    }

    /**
     * Planned work is submitted as late as its prediction allows. Waiting for the wait limit before scaling out would
     * leave no time for a boot before its deadline.
     */
    @ParameterizedTest
    @CsvSource({"true, 60, 1", "true, 1000, 0", "false, 60, 0"})
    void plannedJobRentsWhileBootFitsBeforeDeadline(boolean planned, double dueSeconds, int machines) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.submit(spec(1, 4, 1, 20), 0);
        List<TaskStatus> tasks = new ArrayList<>();
        fixture.heartbeat("a", 1).forEach(command -> tasks.add(runningStatus(command)));
        fixture.heartbeat("a", 2, tasks.toArray(TaskStatus[]::new));
        JobSpec base = spec(2, 4, 1, 20);
        JobSpec jobWithDeadline = JobSpec.builder(base.id())
                .jobClass(base.jobClass())
                .team(base.team())
                .kind(base.kind())
                .urgency(base.urgency())
                .taskCount(base.taskCount())
                .demand(base.demand())
                .image(base.image())
                .imageGb(base.imageGb())
                .machineTypes(base.machineTypes())
                .zone(base.zone())
                .singleZone(base.singleZone())
                .spreadOverZones(base.spreadOverZones())
                .spotAllowed(base.spotAllowed())
                .estimatedRunTime(base.estimatedRunTime())
                .checkpointInterval(base.checkpointInterval())
                .checkpointDuration(base.checkpointDuration())
                .relativeDeadline(Span.seconds(dueSeconds))
                .build();
        fixture.submit(
                planned ? jobWithDeadline.with("plan", Map.of("name", "p", "day", "2027-03-01")) : jobWithDeadline, 3);
        assertEquals(
                machines,
                fixture.core.scaleOutRequests(atSeconds(4)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    @Test
    void onDemandIsRequestedAfterAllSpotZonesAndSpotPatience() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.submit(spec(1, 4, 1, 100), 0);
        MachinePool first = fixture.core.scaleOutRequests(atSeconds(1)).get(0).pool();
        fixture.core.onScaleOutRejected(first, atSeconds(1));
        MachinePool second = fixture.core.scaleOutRequests(atSeconds(2)).get(0).pool();
        fixture.core.onScaleOutRejected(second, atSeconds(2));
        assertEquals(List.of(true, true), List.of(first.spot(), second.spot()));
        assertEquals(List.of(), fixture.core.scaleOutRequests(atSeconds(3)));
        fixture.core.onScaleOutRejected(first, atSeconds(61));
        fixture.core.onScaleOutRejected(second, atSeconds(61));
        assertEquals(
                false,
                fixture.core.scaleOutRequests(atSeconds(62)).get(0).pool().spot());
    }

    /** A queue that spot machines do not serve within 300 s gets on-demand machines at once (incident inc-5d96). */
    @ParameterizedTest
    @CsvSource({"24, 0", "48, 2", "80, 4"})
    void longBacklogRentsOnDemandMachines(int tasks, int onDemandMachines) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.submit(spec(1, tasks, 1, 75), 0);
        fixture.core.onScaleOutRejected(new MachinePool("quad", "east", true), atSeconds(1));
        fixture.core.onScaleOutRejected(new MachinePool("quad", "west", true), atSeconds(1));
        assertEquals(
                onDemandMachines,
                fixture.core.scaleOutRequests(atSeconds(2)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** The machine is rented at 0 s with paid terms of 60 s, and checked every 5 s. */
    @ParameterizedTest
    @CsvSource({"30, false, 0", "54, false, 0", "56, false, 1", "90, false, 0", "116, false, 1", "56, true, 0"})
    void idleMachineIsReturnedAtTermEndUnlessWaitingJobCanUseIt(double seconds, boolean waiting, int returned) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.heartbeat("a", 20);
        if (waiting) {
            fixture.submit(spec(1, 1, 1, 50), seconds);
        }
        fixture.core.planScaleIn(atSeconds(seconds));
        assertEquals(returned, fixture.core.machinesToReturn(9).size());
    }

    @Test
    void machineThatNeverComesUpIsReturned() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.core.onMachinesRented(
                new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        fixture.core.planScaleIn(atSeconds(79));
        assertEquals(0, fixture.core.machinesToReturn(9).size());
        fixture.core.planScaleIn(atSeconds(81));
        assertEquals(1, fixture.core.machinesToReturn(9).size());
    }

    @Test
    void suspectedFaultyJobRentsNothing() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        Job job = fixture.submit(spec(1, 8, 1, 100), 0);
        for (int i = 0; i < 3; i++) {
            job.failedMachines.add(new MachineId("m" + i));
        }
        assertEquals(List.of(), fixture.core.scaleOutRequests(atSeconds(100)));
    }

    /**
     * A surplus on-demand machine stops getting new tasks only after a delay (incident inc-bdad): when two machines are
     * no longer needed, one of them still gets tasks for one or two minutes.
     */
    @ParameterizedTest
    @CsvSource({"0, 2", "45, 1", "90, 1", "400, 0"})
    void surplusOnDemandMachinesAreReleasedSlowly(double laterSeconds, int machinesWithStarts) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("s", "east", 0);
        fixture.heartbeat("s", 1);
        for (String name : List.of("a", "b")) {
            fixture.addOnDemandMachine(name, 0);
        }
        Job large = fixture.submit(spec(1, 48, 1, 75), 2);
        fixture.core.scaleOutRequests(atSeconds(3));
        fixture.core.cancelJob(large.id());
        fixture.submit(spec(2, 8, 1, 20), 3 + laterSeconds);
        fixture.core.scaleOutRequests(atSeconds(3 + laterSeconds));
        assertEquals(
                machinesWithStarts,
                List.of("a", "b").stream()
                        .filter(name -> !SchedulerFixture.tasksToStart(
                                        fixture.heartbeatOnDemand(name, 3 + laterSeconds))
                                .isEmpty())
                        .count());
    }
}
