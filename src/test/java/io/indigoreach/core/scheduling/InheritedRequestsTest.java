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

/** What earlier leaders asked of the cloud, and what its answers were taken for. */
class InheritedRequestsTest {
    /** A name used twice brought an ordinary machine as the answer to a request for spot ones, and the reverse. */
    @Test
    void aMachineIsOfThePoolThatItReports() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.core.rented(new MachinePool("quad", "east", false), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        w.core.recorded(new MachineId("a"));
        w.submit(withOptions(spec(1, 4, 1, 50), Urgency.STANDARD, false, false, false, null, 0), 1);
        assertEquals(List.of(), w.heartbeat("a", 20), "it says that it is a spot machine");
        w.core.recorded(new MachineId("a"));
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 22)), "the job may not use one");
        w.submit(spec(2, 1, 1, 50), 23);
        assertEquals(List.of("run-2/0"), tasksToStart(w.heartbeat("a", 24)));
    }

    /** Its return may still be executed: what is started there would be lost with it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMachineThatWasToBeReturnedIsNeverUsedAgain(boolean recorded) {
        SchedulerFixture w = new SchedulerFixture();
        MachineId id = new MachineId("a");
        if (recorded) {
            w.core.inheritMachine(id, new MachinePool("quad", "east", true), atSeconds(0), atSeconds(0), atSeconds(0));
        }
        w.core.inheritReturns(List.of(id), atSeconds(0));
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 50), 1);
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 2)));
        w.core.onMachineListing(
                List.of(new ListedMachine(
                        id, new MachinePool("quad", "east", true), ListedMachine.Status.RUNNING, Span.seconds(9))),
                atSeconds(2),
                atSeconds(3));
        w.core.rented(new MachinePool("quad", "east", true), List.of(id), atSeconds(0), atSeconds(3));
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 4)));
        assertEquals(List.of(id), w.core.machinesToReturn(9), "its return is finished");
        w.core.returned(List.of(id), atSeconds(5));
        assertTrue(w.core.machinesToReturn(9).isEmpty() && w.core.isFailoverComplete());
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 6)), "a late report");
    }
}
