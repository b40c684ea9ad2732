package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.SAFETY_TIMES;
import static io.indigoreach.core.scheduling.SchedulerFixture.TOKEN;
import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
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

/** Machines whose reports arrive and that answers do not reach: told within a few reports, and never by a lost answer. */
class AsymmetricPartitionTest {
    private static final FencingToken OLDER = new FencingToken(4);

    /** Reports come every {@code every} s: how many starts it was given, by when it is given none, and is to be returned. */
    @ParameterizedTest
    @CsvSource({
        "takes no start, 2, 12, 6",
        "takes no start, 5.5, 12, 16.5",
        "keeps what is reaped, 2, 0, 6",
        "goes on with what is stopped, 2, 0, 6",
        "never follows the token, 2, 0, 12",
        "never follows the token, 5.5, 0, 33",
        "its sessions end, 15, 12, 45"
    })
    void isToldWithinAFewReports(String sign, double every, int started, double told) {
        SchedulerFixture w = new SchedulerFixture();
        w.addSpotMachine("a", "east", 0);
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 500), 0);
        WorkerCommand foreign = new WorkerCommand.Start(TaskId.parse("run-9/0"), TOKEN.attempt(9));
        int given = 0;
        double last = -1;
        for (int i = 0; last < 0 && i < 150; i++) {
            double now = i * every;
            TaskStatus[] tasks = sign.startsWith("keeps")
                    ? new TaskStatus[] {exitedStatus(foreign, ExitCause.DONE)}
                    : sign.startsWith("goes") ? new TaskStatus[] {runningStatus(foreign)} : new TaskStatus[0];
            boolean mute = tasks.length > 0;
            if (mute && i == 0) {
                w.core.cancelJob(new JobId("run-1"));
            }
            w.core.expireLeases(atSeconds(now));
            given += tasksToStart(w.core.onHeartbeat(
                                    w.newHeartbeat(
                                            "a",
                                            "east",
                                            sign.startsWith("its") ? 1 + i : 1,
                                            sign.startsWith("never") ? OLDER : TOKEN,
                                            tasks),
                                    atSeconds(now))
                            .commands())
                    .size();
            w.core.planScaleIn(atSeconds(now));
            last = w.core.machinesToReturn(9).isEmpty() ? -1 : now;
        }
        assertEquals(told, last, 0.01);
        assertEquals(started, given);
        assertEquals(0, w.core.job(new JobId("run-1")) == null ? 0 : w.core.job(new JobId("run-1")).failures);
    }

    /** Of eight machines in the zone, so many take nothing: more than a quarter are the way's fault, up to what another costs. */
    @ParameterizedTest
    @CsvSource({"1, 8, 1", "2, 8, 2", "3, 8, 0", "8, 8, 0", "8, 90, 0", "8, 94, 8"})
    void aZoneOfThemIsTheWaysFault(int deaf, double seconds, int returned) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        List<TaskStatus[]> held = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            w.addSpotMachine("m" + i, "east", 0);
            held.add(new TaskStatus[0]);
        }
        w.submit(spec(1, 400, 1, 500), 0);
        int late = 0;
        for (double now = 0; now <= seconds; now += 2) {
            for (int i = 0; i < 8; i++) {
                long session = i < deaf ? 1 + (long) now / 13 : 1;
                List<WorkerCommand> orders = w.core.onHeartbeat(
                                w.newHeartbeat("m" + i, "east", session, TOKEN, held.get(i)), atSeconds(now))
                        .commands();
                if (i >= deaf && held.get(i).length == 0) {
                    held.set(i, runningStatus(orders));
                } else if (i < deaf && now > 6) {
                    late += tasksToStart(orders).size();
                }
            }
            w.core.planScaleIn(atSeconds(now));
        }
        assertEquals(returned, w.core.machinesToReturn(9).size());
        assertEquals(0, late, "no start once it is told");
    }

    /** What must not be taken for it; each for three minutes, with the fault again and again. */
    @ParameterizedTest
    @CsvSource({
        "every third answer is lost",
        "two answers in a row of three are lost",
        "every start is refused",
        "two reports with the older token",
        "its record takes a minute",
        "hangs beyond its lease",
        "the leader stands still"
    })
    void otherTroublesAreNotTakenForIt(String trouble) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.inheritMachine(
                new MachineId("a"), new MachinePool("quad", "east", true), atSeconds(0), atSeconds(0), atSeconds(0));
        if (trouble.startsWith("its record")) {
            w = new SchedulerFixture();
            w.core.rented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        }
        w.core.recordsLoaded();
        long session = 1;
        int round = 0;
        List<TaskStatus> held = new ArrayList<>();
        for (double now = 1; now < 180; now += 2, round++) {
            w.submit(spec(round + 1, 1, 0.25, 500), now);
            if (trouble.startsWith("hangs") && round % 6 == 5) {
                now += 14;
                w.core.expireLeases(atSeconds(now));
                held.clear();
                session++;
            }
            if (trouble.startsWith("the leader")) {
                w.core.setAwakeSince(atSeconds(now - 0.1));
            }
            FencingToken token = trouble.startsWith("two reports") && round < 2 ? OLDER : TOKEN;
            List<WorkerCommand> orders = w.core.onHeartbeat(
                            w.newHeartbeat("a", "east", session, token, held.toArray(new TaskStatus[0])),
                            atSeconds(now))
                    .commands();
            if (trouble.startsWith("its record") && now > 60) {
                w.core.recorded(new MachineId("a"));
            }
            boolean lost = switch (trouble) {
                case "every third answer is lost" -> round % 3 == 0;
                case "two answers in a row of three are lost" -> round % 3 != 2;
                case "its record takes a minute" -> now < 60;
                case "the leader stands still" -> true;
                default -> false;
            };
            if (!lost) {
                boolean refused = trouble.startsWith("every start");
                for (WorkerCommand command : orders) {
                    held.removeIf(status -> status.attempt().equals(command.attempt()));
                    if (command instanceof WorkerCommand.Start) {
                        held.add(refused ? exitedStatus(command, ExitCause.FULL) : runningStatus(command));
                    }
                }
            }
            w.core.planScaleIn(atSeconds(now));
            assertEquals(List.of(), w.core.machinesToReturn(9), "at " + now);
        }
    }

    /** It runs two tasks, takes no third one, and the cloud answers at once, or does not answer. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void itsWorkIsCountedUntilTheReturnIsAnsweredOrItsLeaseIsOver(boolean answered) {
        SchedulerFixture w = new SchedulerFixture();
        w.addSpotMachine("a", "east", 0);
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 2, 1, 500), 0);
        TaskStatus[] held = runningStatus(w.heartbeat("a", 0));
        w.heartbeat("a", 2, held);
        w.submit(spec(2, 1, 1, 500), 0);
        double elsewhere = -1;
        for (double now = 4; elsewhere < 0 && now < 60; now += 0.1) {
            if (Math.abs(now % 2) < 0.05 || Math.abs(now % 2) > 1.95) {
                w.heartbeat("a", now, held);
                w.core.planScaleIn(atSeconds(now));
            }
            boolean leaving = !w.core.machinesToReturn(9).isEmpty();
            assertEquals(
                    !leaving,
                    w.core.mayAnswer(new MachineId("a")),
                    "no answer renews its lease once it is being returned");
            if (leaving && answered) {
                w.core.returned(w.core.machinesToReturn(9), atSeconds(now));
            }
            w.core.expireLeases(atSeconds(now));
            if (leaving && job.placements().isEmpty()) {
                elsewhere = now;
            }
        }
        assertEquals(answered ? 10 : 10 + SAFETY_TIMES.leaseBound().seconds(), elsewhere, 0.15);
        assertEquals(0, job.failures, "its job is not at fault");
        w.core.onHeartbeat(w.newHeartbeat("a", "east", 2, TOKEN), atSeconds(elsewhere + 20));
        assertEquals(answered, w.core.mayAnswer(new MachineId("a")), "nor later, while the cloud has not answered");
    }

    /** Told while many of its zone were, so not returned: by a start taken, by the token, or by a session that goes on. */
    @Test
    void oneThatHearsAgainIsUsedAgain() {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        for (int i = 0; i < 4; i++) {
            w.addSpotMachine("m" + i, "east", 0);
        }
        w.submit(spec(1, 16, 1, 500), 0);
        int before = 0;
        double again = -1;
        for (double now = 0; again < 0 && now < 60; now += 2) {
            for (int i = 0; i < 4; i++) {
                // What is lost until 20 s; then the session goes on, as answers arrive.
                boolean given = !tasksToStart(w.core.onHeartbeat(
                                        w.newHeartbeat("m" + i, "east", now < 12 ? 1 : now < 24 ? 2 : 3, TOKEN),
                                        atSeconds(now))
                                .commands())
                        .isEmpty();
                before += given && now < 20 ? 1 : 0;
                again = given && now > 20 ? now : again;
            }
            w.core.planScaleIn(atSeconds(now));
            assertTrue(w.core.machinesToReturn(9).isEmpty());
        }
        assertEquals(12, before, "three answers to each");
        assertEquals(38, again, "a lease after the last session began");
        assertFalse(w.logLines.isEmpty(), "it is said");
    }
}
