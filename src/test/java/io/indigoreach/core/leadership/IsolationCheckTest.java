package io.indigoreach.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SchedulerFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The verdicts of a node to which the state service does not respond. */
class IsolationCheckTest {
    /**
     * Each row lists states of the other nodes and for how many seconds they last, then the last verdict and how often the node went out of
     * service. A state has a letter for each other node: s if it is served, n if not, - if it does not respond; "alone" if there are no other
     * nodes; "ok" if the state service responds to this node.
     */
    @ParameterizedTest
    @CsvSource({
        "nn 30, TOGETHER, 0",
        "-- 3, TOGETHER, 0",
        "-- 5, CUT_OFF, 1",
        "-n 30, TOGETHER, 0",
        "-s 1, REFUSED_ALONE, 1",
        "ns 1, REFUSED_ALONE, 1",
        "-- 3 nn 1 -- 3, TOGETHER, 0",
        "-- 3 ok 1 -- 3, TOGETHER, 0",
        "-- 60, CUT_OFF, 1",
        "-- 6 ok 1, TOGETHER, 1",
        "-- 6 nn 1, TOGETHER, 1",
        "-- 6 -s 1, REFUSED_ALONE, 1",
        "-- 6 ok 5 -- 6, TOGETHER, 1",
        "-- 6 ok 5 -- 16, CUT_OFF, 2",
        "-- 6 ok 120 -- 6, CUT_OFF, 2",
        "-- 6 ok 9 -- 9 ok 9 -- 9 ok 9 -- 9 ok 9 -- 9, TOGETHER, 1",
        "alone 60, TOGETHER, 0",
        "- 5, CUT_OFF, 1",
        "---- 5, CUT_OFF, 1",
        "---n 9, TOGETHER, 0"
    })
    void verdictFollowsReportsOfOtherNodes(String timeline, IsolationCheck.Verdict lastVerdict, int removals) {
        IsolationCheck check = new IsolationCheck();
        Moment now = SchedulerFixture.atSeconds(100);
        int observedRemovals = 0;
        String[] states = timeline.split(" ");
        for (int i = 0; i < states.length; i += 2) {
            for (int secondsLeft = Integer.parseInt(states[i + 1]); secondsLeft > 0; secondsLeft--) {
                boolean wasOutOfService = check.isOutOfService();
                if (states[i].equals("ok")) {
                    check.onStateServiceResponded();
                } else {
                    check.onStateServiceUnresponsive(peersServed(states[i]), now);
                }
                observedRemovals += !wasOutOfService && check.isOutOfService() ? 1 : 0;
                now = now.plus(Span.seconds(1));
            }
        }
        IsolationCheck.Verdict verdict = check.isCutOff()
                ? IsolationCheck.Verdict.CUT_OFF
                : check.isOutOfService() ? IsolationCheck.Verdict.REFUSED_ALONE : IsolationCheck.Verdict.TOGETHER;
        assertEquals(lastVerdict + " " + removals, verdict + " " + observedRemovals);
    }

    private static List<Boolean> peersServed(String state) {
        List<Boolean> served = new ArrayList<>();
        for (char letter : state.replace("alone", "").toCharArray()) {
            served.add(letter == '-' ? null : letter == 's');
        }
        return served;
    }
}
