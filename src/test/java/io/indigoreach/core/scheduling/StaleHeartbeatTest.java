package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
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

/** A copy of an old report is kept and reaches a leader just as it begins. */
class StaleHeartbeatTest {
    private enum Arrives {
        NEVER,
        BEFORE_THE_RECORDS_ARE_READ,
        AFTER_THE_RECORDS_ARE_READ
    }

    /** Everything goes as without it, whether its machine lives on or is dead. */
    @ParameterizedTest
    @CsvSource({
        "its list is old, true",
        "its list is old, false",
        "its session is over, true",
        "its session is over, false",
        "it bears the new token, true",
        "it bears the new token, false",
        "its machine was returned, false",
        "its machine was rented by the leader that ended, false"
    })
    void changesNothing(String what, boolean lives) {
        List<String> without = trace(what, lives, Arrives.NEVER);
        assertTrue(without.stream().anyMatch(line -> line.contains("Start")), "nothing happened");
        if (!what.equals("it bears the new token")) {
            assertEquals(without, trace(what, lives, Arrives.BEFORE_THE_RECORDS_ARE_READ));
        }
        assertEquals(without, trace(what, lives, Arrives.AFTER_THE_RECORDS_ARE_READ));
    }

    private static List<String> trace(String what, boolean lives, Arrives when) {
        SimulatedCluster site = new SimulatedCluster();
        SimulatedCluster.Worker a = site.worker("a", 0);
        site.worker("n", 0);
        site.startLeaderWithRecords(-30);
        if (what.contains("rented")) {
            site.core.rented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(-30), atSeconds(-30));
        }
        site.sendHeartbeat("a", -21);
        Heartbeat old = a.lastHeartbeat;
        site.submit(spec(1, 2, 4, 500), -20);
        if (!what.contains("rented")) {
            site.joinLeader("a", -19);
            assertEquals(1, a.tasks.size());
        }
        if (what.contains("session")) {
            old = a.lastHeartbeat;
            a.newSession(-8);
        } else if (what.contains("returned")) {
            old = a.lastHeartbeat;
            site.core.returned(List.of(new MachineId("a")), atSeconds(-8));
        }
        if (what.contains("returned") || what.contains("rented")) {
            // Nobody has recorded it, or no longer.
            site.workers().remove(a);
        } else {
            site.sendHeartbeat("a", -7);
        }
        site.startLeader(0);
        if (what.contains("new token")) {
            site.sendHeartbeat("a", 0.1);
            site.sendHeartbeat("a", 0.2);
            old = a.lastHeartbeat;
            a.exit(TaskId.parse("run-1/0"), ExitCause.DONE);
            site.sendHeartbeat("a", 0.3);
        }
        if (when == Arrives.BEFORE_THE_RECORDS_ARE_READ) {
            site.core.onHeartbeat(old, atSeconds(0.4));
        }
        site.loadRecords();
        if (when == Arrives.AFTER_THE_RECORDS_ARE_READ) {
            assertEquals(List.of(), site.core.onHeartbeat(old, atSeconds(0.4)).commands());
        }
        List<String> trace = new ArrayList<>(List.of(site.core.summary()));
        for (double now = 1; now < 40; now++) {
            for (SimulatedCluster.Worker box : List.copyOf(site.workers())) {
                if (box != a || lives) {
                    trace.add(now + " " + box.name + " " + site.sendHeartbeat(box.name, now));
                }
            }
            site.core.expireLeases(atSeconds(now));
            trace.add(site.core.summary() + " knows " + site.core.knows(new MachineId("a")));
        }
        assertEquals(List.of(), site.violations);
        return trace;
    }
}
