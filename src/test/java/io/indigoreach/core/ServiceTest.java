package io.indigoreach.core;

import static io.indigoreach.core.World.at;
import static io.indigoreach.core.World.exited;
import static io.indigoreach.core.World.running;
import static io.indigoreach.core.World.service;
import static io.indigoreach.core.World.spec;
import static io.indigoreach.core.World.starts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replicas have no end of their own: what that means for every decision that rests on when tasks end. */
class ServiceTest {
    private static World loaded() {
        World w = new World();
        w.core.loaded();
        return w;
    }

    /** An array of twelve short one-core tasks, three rounds of one machine, beside a machine that holds so many replicas. */
    @ParameterizedTest
    @CsvSource({"0, 0", "2, 1", "4, 1"})
    void aPlaceThatAReplicaHoldsIsNoPlaceForWhatWaits(int replicas, int rented) {
        World w = loaded();
        if (replicas > 0) {
            w.submit(service(1, replicas), 0);
        }
        w.hearOrdinary("a", 2, running(w.ordinary("a", 1)));
        w.submit(spec(2, 12, 1, 15), 3);
        assertEquals(rented, w.core.wishes(at(4)).stream().mapToInt(RentWish::count).sum());
    }

    /** Each end of a replica but its job's cancellation is followed by another start of it; the job is never done. */
    @ParameterizedTest
    @CsvSource({"DONE, 1", "STOPPED, 0", "FULL, 1", "OTHER, 0"})
    void aReplicaThatEndedIsStartedAgain(ExitCause cause, double after) {
        World w = loaded();
        Job job = w.submit(service(1, 1), 0);
        Order start = w.ordinary("a", 1).get(0);
        w.hearOrdinary("a", 2, running(start));
        List<Order> orders = w.hearOrdinary("a", 3, exited(start, cause));
        assertEquals(after > 0 ? 0 : 1, starts(orders).size());
        if (after > 0) {
            assertEquals(1, starts(w.hearOrdinary("a", 3 + after)).size());
        }
        assertFalse(job.isComplete());
        assertEquals(0, job.doneCount());
    }

    /** With a service first in the queue, 150 spot machines' work was given to ordinary ones (water kiosks, steady). */
    @Test
    void spotMachinesAreAskedForBesideOrdinaryOnes() {
        World w = loaded();
        w.submit(service(1, 8), 0);
        w.submit(spec(2, 16, 1, 100), 0);
        List<RentWish> wishes = w.core.wishes(at(20));
        assertEquals(2, wishes.stream().filter(r -> !r.pool().spot()).mapToInt(RentWish::count).sum());
        assertEquals(4, wishes.stream().filter(r -> r.pool().spot()).mapToInt(RentWish::count).sum());
    }

    /** A machine that holds a replica is paid for in any case, so it is not kept empty beside it. */
    @Test
    void aMachineWithAReplicaIsNeverSpare() {
        World w = loaded();
        w.up("s", "east", 0);
        w.submit(service(1, 1), 0);
        List<Order> replica = w.ordinary("a", 1);
        w.core.wishes(at(2));
        w.submit(spec(2, 2, 1, 20), 600);
        w.core.wishes(at(601));
        assertEquals(2, starts(w.hearOrdinary("a", 602, running(replica))).size());
    }

    /**
     * An image of 1 GB takes 2 s; replicas are to start within 3 s. A machine without the image is passed over only
     * while the aim would be missed there and can be met on one that has it.
     */
    @ParameterizedTest
    @CsvSource({"0.5, true, 1", "1.5, true, 0", "1.5, false, 1", "3.1, true, 1"})
    void aStartThatWouldMissItsAimIsLeftToMachinesThatHaveTheImage(double waited, boolean held, int started) {
        Aims aims = new Aims(List.of(new Aims.Aim("s", true, Span.seconds(3))));
        World w = new World(World.TUNING, aims);
        w.core.loaded();
        if (held) {
            w.submit(service(1, 4), 0);
            w.ordinary("a", 1);
        }
        JobSpec s = service(2, 1);
        w.submit(new JobSpec(s.id(), s.jobClass(), s.team(), s.shape(), s.urgency(), 1, s.demand(), "img-1", 1, null,
                null, false, false, false, s.estimate(), s.checkpointEvery(), s.checkpointTime(), null), 100);
        assertEquals(started, starts(w.ordinary("b", 100 + waited)).size());
    }
}
