package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.TaskId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A delayed copy of an old heartbeat reaches a leader just when it begins. */
class StaleHeartbeatTest {
    private enum Arrives {
        NEVER,
        BEFORE_THE_RECORDS_ARE_READ,
        AFTER_THE_RECORDS_ARE_READ
    }

    /** The copy must not change the run, whether its machine is alive or dead. */
    @ParameterizedTest
    @CsvSource({
        "its task list is old, true",
        "its task list is old, false",
        "its incarnation has ended, true",
        "its incarnation has ended, false",
        "it carries the new token, true",
        "it carries the new token, false",
        "its machine was returned, false",
        "its machine was rented by the previous leader, false"
    })
    void changesNothing(String what, boolean lives) {
        List<String> without = trace(what, lives, Arrives.NEVER);
        assertTrue(without.stream().anyMatch(line -> line.contains("Start")), "nothing happened");
        if (!what.equals("it carries the new token")) {
            assertEquals(without, trace(what, lives, Arrives.BEFORE_THE_RECORDS_ARE_READ));
        }
        assertEquals(without, trace(what, lives, Arrives.AFTER_THE_RECORDS_ARE_READ));
    }

    private static List<String> trace(String what, boolean lives, Arrives when) {
        SimulatedCluster site = new SimulatedCluster();
        SimulatedCluster.Box a = site.box("a", 0);
        site.box("n", 0);
        site.lead(-30);
        if (what.contains("rented")) {
            site.core.rented(new MachinePool("quad", "east", true), List.of(new MachineId("a")), at(-30), at(-30));
        }
        site.report("a", -21);
        Heartbeat old = a.sent;
        site.submit(spec(1, 2, 4, 500), -20);
        if (!what.contains("rented")) {
            site.become("a", -19);
            assertEquals(1, a.tasks.size());
        }
        if (what.contains("incarnation")) {
            old = a.sent;
            a.newSession(-8);
        } else if (what.contains("returned")) {
            old = a.sent;
            site.core.returned(List.of(new MachineId("a")), at(-8));
        }
        if (what.contains("returned") || what.contains("rented")) {
            // The machine has no record, or not any more.
            site.boxes().remove(a);
        } else {
            site.report("a", -7);
        }
        site.begin(0);
        if (what.contains("new token")) {
            site.report("a", 0.1);
            site.report("a", 0.2);
            old = a.sent;
            a.end(TaskId.parse("run-1/0"), ExitCause.DONE);
            site.report("a", 0.3);
        }
        if (when == Arrives.BEFORE_THE_RECORDS_ARE_READ) {
            site.core.onHeartbeat(old, at(0.4));
        }
        site.load();
        if (when == Arrives.AFTER_THE_RECORDS_ARE_READ) {
            assertEquals(List.of(), site.core.onHeartbeat(old, at(0.4)).commands());
        }
        List<String> trace = new ArrayList<>(List.of(site.core.summary()));
        for (double now = 1; now < 40; now++) {
            for (SimulatedCluster.Box box : List.copyOf(site.boxes())) {
                if (box != a || lives) {
                    trace.add(now + " " + box.name + " " + site.report(box.name, now));
                }
            }
            site.core.expireLeases(at(now));
            trace.add(site.core.summary() + " knows " + site.core.knows(new MachineId("a")));
        }
        assertEquals(List.of(), site.broken);
        return trace;
    }
}
