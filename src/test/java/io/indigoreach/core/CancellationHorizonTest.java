package io.indigoreach.core;

import static io.indigoreach.core.World.at;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A leader that the state service does not answer may go on only as long as no cancellation can have passed it by. */
class CancellationHorizonTest {
    /** Heard of everything until 10 s; all nodes asked at 20 s have answered at 21 s. */
    @ParameterizedTest
    @CsvSource({"30, 20, none was told since", "11.2, 20, nor just before", "11, 10, one may have been told as the watch ended",
        "3, 10, one was told that the watch did not bring", "0, 10, one has just been told, or a process is new"})
    void whatEveryNodeSaysStandsInForTheWatch(double quiet, double until, String why) {
        CancellationHorizon horizon = new CancellationHorizon(at(10));
        horizon.noneTold(Span.seconds(quiet), at(20), at(21));
        assertEquals(at(until), horizon.until(), why);
        horizon.heard(at(15));
        assertEquals(at(Math.max(15, until)), horizon.until(), "never back");
    }
}
