package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.RULES;
import static io.indigoreach.core.scheduling.SimulatedWorld.TOKEN;
import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.exited;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.starts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A partition in one direction, where heartbeats arrive but answers do not, is confirmed within a few heartbeats.
 * Single lost answers and other faults never confirm it.
 */
class AsymmetricPartitionTest {
    private static final FencingToken OLDER = new FencingToken(4);

    /**
     * Each row has the evidence in the heartbeats, the seconds between heartbeats, the number of starts that are sent
     * in vain, and the time at which the partition is confirmed and the machine's return is planned.
     */
    @ParameterizedTest
    @CsvSource({
        "ignores starts, 2, 12, 6",
        "ignores starts, 5.5, 12, 16.5",
        "keeps reaped task, 2, 0, 6",
        "runs stopped task, 2, 0, 6",
        "keeps older token, 2, 0, 12",
        "keeps older token, 5.5, 0, 33",
        "new incarnation in each heartbeat, 15, 12, 45"
    })
    void isToldWithinAFewReports(String sign, double every, int started, double told) {
        SimulatedWorld w = new SimulatedWorld();
        w.up("a", "east", 0);
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 500), 0);
        WorkerCommand foreign = new WorkerCommand.Start(TaskId.parse("run-9/0"), TOKEN.attempt(9));
        int given = 0;
        double last = -1;
        for (int i = 0; last < 0 && i < 150; i++) {
            double now = i * every;
            TaskStatus[] tasks = sign.equals("keeps reaped task")
                    ? new TaskStatus[] {exited(foreign, ExitCause.DONE)}
                    : sign.equals("runs stopped task") ? new TaskStatus[] {running(foreign)} : new TaskStatus[0];
            boolean mute = tasks.length > 0;
            if (mute && i == 0) {
                w.core.cancelJob(new JobId("run-1"));
            }
            w.core.expireLeases(at(now));
            given += starts(w.core.onHeartbeat(
                                    w.report(
                                            "a",
                                            "east",
                                            sign.equals("new incarnation in each heartbeat") ? 1 + i : 1,
                                            sign.equals("keeps older token") ? OLDER : TOKEN,
                                            tasks),
                                    at(now))
                            .commands())
                    .size();
            w.core.planScaleIn(at(now));
            last = w.core.machinesToReturn(9).isEmpty() ? -1 : now;
        }
        assertEquals(told, last, 0.01);
        assertEquals(started, given);
        assertEquals(0, w.core.job(new JobId("run-1")) == null ? 0 : w.core.job(new JobId("run-1")).failures);
    }

    /**
     * Some of the zone's eight machines receive no answers. If they are more than a quarter, the network is presumed to
     * be at fault and they are kept for as long as replacing them would take.
     */
    @ParameterizedTest
    @CsvSource({"1, 8, 1", "2, 8, 2", "3, 8, 0", "8, 8, 0", "8, 90, 0", "8, 94, 8"})
    void aZoneOfThemIsTheWaysFault(int deaf, double seconds, int returned) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        List<TaskStatus[]> held = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            w.up("m" + i, "east", 0);
            held.add(new TaskStatus[0]);
        }
        w.submit(spec(1, 400, 1, 500), 0);
        int late = 0;
        for (double now = 0; now <= seconds; now += 2) {
            for (int i = 0; i < 8; i++) {
                long session = i < deaf ? 1 + (long) now / 13 : 1;
                List<WorkerCommand> orders = w.core.onHeartbeat(
                                w.report("m" + i, "east", session, TOKEN, held.get(i)), at(now))
                        .commands();
                if (i >= deaf && held.get(i).length == 0) {
                    held.set(i, running(orders));
                } else if (i < deaf && now > 6) {
                    late += starts(orders).size();
                }
            }
            w.core.planScaleIn(at(now));
        }
        assertEquals(returned, w.core.machinesToReturn(9).size());
        assertEquals(0, late, "no start once the partition is confirmed");
    }

    /** Faults that must not be mistaken for a partition. Each one recurs for three minutes. */
    @ParameterizedTest
    @CsvSource({
        "every third answer is lost",
        "two answers in a row of three are lost",
        "every start is refused",
        "two heartbeats with the older token",
        "recording the machine takes a minute",
        "machine hangs beyond its lease",
        "leader is paused"
    })
    void otherTroublesAreNotTakenForIt(String trouble) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.inheritMachine(new MachineId("a"), new MachinePool("quad", "east", true), at(0), at(0), at(0));
        if (trouble.equals("recording the machine takes a minute")) {
            w = new SimulatedWorld();
            w.core.rented(new MachinePool("quad", "east", true), List.of(new MachineId("a")), at(0), at(0));
        }
        w.core.recordsLoaded();
        long session = 1;
        int round = 0;
        List<TaskStatus> held = new ArrayList<>();
        for (double now = 1; now < 180; now += 2, round++) {
            w.submit(spec(round + 1, 1, 0.25, 500), now);
            if (trouble.equals("machine hangs beyond its lease") && round % 6 == 5) {
                now += 14;
                w.core.expireLeases(at(now));
                held.clear();
                session++;
            }
            if (trouble.equals("leader is paused")) {
                w.core.setAwakeSince(at(now - 0.1));
            }
            FencingToken token = trouble.equals("two heartbeats with the older token") && round < 2 ? OLDER : TOKEN;
            List<WorkerCommand> orders = w.core.onHeartbeat(
                            w.report("a", "east", session, token, held.toArray(new TaskStatus[0])), at(now))
                    .commands();
            if (trouble.equals("recording the machine takes a minute") && now > 60) {
                w.core.recorded(new MachineId("a"));
            }
            boolean lost = switch (trouble) {
                case "every third answer is lost" -> round % 3 == 0;
                case "two answers in a row of three are lost" -> round % 3 != 2;
                case "recording the machine takes a minute" -> now < 60;
                case "leader is paused" -> true;
                default -> false;
            };
            if (!lost) {
                boolean refused = trouble.equals("every start is refused");
                for (WorkerCommand command : orders) {
                    held.removeIf(status -> status.attempt().equals(command.attempt()));
                    if (command instanceof WorkerCommand.Start) {
                        held.add(refused ? exited(command, ExitCause.FULL) : running(command));
                    }
                }
            }
            w.core.planScaleIn(at(now));
            assertEquals(List.of(), w.core.machinesToReturn(9), "at " + now);
        }
    }

    /**
     * The machine runs two tasks and misses the start of a third one, so it is returned. Its tasks start elsewhere once
     * the cloud confirms the return, or once its lease expires if the cloud does not answer.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void itsWorkIsCountedUntilTheReturnIsAnsweredOrItsLeaseIsOver(boolean answered) {
        SimulatedWorld w = new SimulatedWorld();
        w.up("a", "east", 0);
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 2, 1, 500), 0);
        TaskStatus[] held = running(w.hear("a", 0));
        w.hear("a", 2, held);
        w.submit(spec(2, 1, 1, 500), 0);
        double elsewhere = -1;
        for (double now = 4; elsewhere < 0 && now < 60; now += 0.1) {
            if (Math.abs(now % 2) < 0.05 || Math.abs(now % 2) > 1.95) {
                w.hear("a", now, held);
                w.core.planScaleIn(at(now));
            }
            boolean leaving = !w.core.machinesToReturn(9).isEmpty();
            assertEquals(
                    !leaving,
                    w.core.mayAnswer(new MachineId("a")),
                    "no answer may renew its lease once it is being returned");
            if (leaving && answered) {
                w.core.returned(w.core.machinesToReturn(9), at(now));
            }
            w.core.expireLeases(at(now));
            if (leaving && job.placements().isEmpty()) {
                elsewhere = now;
            }
        }
        assertEquals(answered ? 10 : 10 + RULES.leaseBound().seconds(), elsewhere, 0.15);
        assertEquals(0, job.failures, "its job is not at fault");
        w.core.onHeartbeat(w.report("a", "east", 2, TOKEN), at(elsewhere + 20));
        assertEquals(answered, w.core.mayAnswer(new MachineId("a")), "no answer either while the cloud has not confirmed the return");
    }

    /**
     * Machines that were partitioned together with most of their zone are not returned. They get tasks again once their
     * incarnation outlives a lease, which shows that answers arrive.
     */
    @Test
    void oneThatHearsAgainIsUsedAgain() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        for (int i = 0; i < 4; i++) {
            w.up("m" + i, "east", 0);
        }
        w.submit(spec(1, 16, 1, 500), 0);
        int before = 0;
        double again = -1;
        for (double now = 0; again < 0 && now < 60; now += 2) {
            for (int i = 0; i < 4; i++) {
                // The incarnations show that answers are lost until 20 s; the one that begins at 24 s continues.
                boolean given = !starts(w.core.onHeartbeat(
                                        w.report("m" + i, "east", now < 12 ? 1 : now < 24 ? 2 : 3, TOKEN), at(now))
                                .commands())
                        .isEmpty();
                before += given && now < 20 ? 1 : 0;
                again = given && now > 20 ? now : again;
            }
            w.core.planScaleIn(at(now));
            assertTrue(w.core.machinesToReturn(9).isEmpty());
        }
        assertEquals(12, before, "three answers with a start for each machine");
        assertEquals(38, again, "a lease after the last incarnation began");
        assertFalse(w.said.isEmpty(), "the change is logged");
    }
}
