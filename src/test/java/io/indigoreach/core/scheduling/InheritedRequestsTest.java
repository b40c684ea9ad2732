package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a leader handles rental and return requests of earlier leaders, and the cloud's responses to them. */
class InheritedRequestsTest {
    /** A request name that was used twice returned an on-demand machine for a spot request, and the reverse. */
    @Test
    void aMachineBelongsToTheReportedPool() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.core.onMachinesRented(
                new MachinePool("quad", "east", false), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        world.core.onMachineRecorded(new MachineId("a"));
        world.submit(withOptions(spec(1, 4, 1, 50), Urgency.STANDARD, false, false, false, null, 0), 1);
        assertEquals(List.of(), world.heartbeat("a", 20), "its heartbeat reports the spot pool");
        world.core.onMachineRecorded(new MachineId("a"));
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 22)), "the job may not use spot machines");
        world.submit(spec(2, 1, 1, 50), 23);
        assertEquals(List.of("run-2/0"), tasksToStart(world.heartbeat("a", 24)));
    }

    /** The recorded return may still be executed, and a task started on the machine would be lost with it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMachineWithARecordedReturnIsNeverUsed(boolean recorded) {
        SchedulerFixture world = new SchedulerFixture();
        MachineId id = new MachineId("a");
        if (recorded) {
            world.core.inheritMachine(
                    id, new MachinePool("quad", "east", true), atSeconds(0), atSeconds(0), atSeconds(0));
        }
        world.core.inheritReturns(List.of(id), atSeconds(0));
        world.core.onRecordsLoaded();
        world.submit(spec(1, 4, 1, 50), 1);
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 2)));
        world.core.onMachineListing(
                List.of(new ListedMachine(
                        id, new MachinePool("quad", "east", true), ListedMachine.Status.RUNNING, Span.seconds(9))),
                atSeconds(2),
                atSeconds(3));
        world.core.onMachinesRented(new MachinePool("quad", "east", true), List.of(id), atSeconds(0), atSeconds(3));
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 4)));
        assertEquals(List.of(id), world.core.machinesToReturn(9), "the return is still pending");
        world.core.onMachinesReturned(List.of(id), atSeconds(5));
        assertTrue(world.core.machinesToReturn(9).isEmpty() && world.core.isFailoverComplete());
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 6)), "a late heartbeat of a returned machine");
    }
}
