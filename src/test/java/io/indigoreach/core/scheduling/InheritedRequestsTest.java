package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.starts;
import static io.indigoreach.core.scheduling.SimulatedWorld.with;
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

/** Rental and return requests of earlier leaders, and the cloud's answers to them. */
class InheritedRequestsTest {
    /** A request name that was used twice returned an on-demand machine for a spot request, and the reverse. */
    @Test
    void aMachineIsOfThePoolThatItReports() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.core.rented(new MachinePool("quad", "east", false), List.of(new MachineId("a")), at(0), at(0));
        w.core.recorded(new MachineId("a"));
        w.submit(with(spec(1, 4, 1, 50), Urgency.STANDARD, false, false, false, null, 0), 1);
        assertEquals(List.of(), w.hear("a", 20), "its heartbeat reports the spot pool");
        w.core.recorded(new MachineId("a"));
        assertEquals(List.of(), starts(w.hear("a", 22)), "the job may not use spot machines");
        w.submit(spec(2, 1, 1, 50), 23);
        assertEquals(List.of("run-2/0"), starts(w.hear("a", 24)));
    }

    /** The recorded return may still be executed, and a task started on the machine would be lost with it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMachineThatWasToBeReturnedIsNeverUsedAgain(boolean recorded) {
        SimulatedWorld w = new SimulatedWorld();
        MachineId id = new MachineId("a");
        if (recorded) {
            w.core.inheritMachine(id, new MachinePool("quad", "east", true), at(0), at(0), at(0));
        }
        w.core.inheritReturns(List.of(id), at(0));
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 50), 1);
        assertEquals(List.of(), starts(w.hear("a", 2)));
        w.core.onMachineListing(
                List.of(new ListedMachine(
                        id, new MachinePool("quad", "east", true), ListedMachine.Status.RUNNING, Span.seconds(9))),
                at(2),
                at(3));
        w.core.rented(new MachinePool("quad", "east", true), List.of(id), at(0), at(3));
        assertEquals(List.of(), starts(w.hear("a", 4)));
        assertEquals(List.of(id), w.core.machinesToReturn(9), "the return is still pending");
        w.core.returned(List.of(id), at(5));
        assertTrue(w.core.machinesToReturn(9).isEmpty() && w.core.isFailoverComplete());
        assertEquals(List.of(), starts(w.hear("a", 6)), "a late heartbeat of a returned machine");
    }
}
