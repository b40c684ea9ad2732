package io.indigoreach.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SchedulerFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a node that the state service does not answer is to think, second by second. */
class IsolationCheckTest {
    /**
     * A word for each second, a letter for each other node: s it is served, n it is not, - it does not answer, alone: there is none; ok: the state
     * service answers this node; a number repeats the word before it. Then the last verdict, and how often the node was removed.
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
    void verdicts(String seconds, IsolationCheck.Verdict last, int removals) {
        IsolationCheck node = new IsolationCheck();
        Moment now = SchedulerFixture.atSeconds(100);
        int removed = 0;
        String[] words = seconds.split(" ");
        for (int i = 0; i < words.length; i += 2) {
            for (int n = Integer.parseInt(words[i + 1]); n > 0; n--) {
                boolean was = node.isOutOfService();
                if (words[i].equals("ok")) {
                    node.onServed();
                } else {
                    node.onUnserved(others(words[i]), now);
                }
                removed += !was && node.isOutOfService() ? 1 : 0;
                now = now.plus(Span.seconds(1));
            }
        }
        IsolationCheck.Verdict is = node.isCutOff()
                ? IsolationCheck.Verdict.CUT_OFF
                : node.isOutOfService() ? IsolationCheck.Verdict.REFUSED_ALONE : IsolationCheck.Verdict.TOGETHER;
        assertEquals(last + " " + removals, is + " " + removed);
    }

    private static List<Boolean> others(String word) {
        List<Boolean> out = new ArrayList<>();
        for (char c : word.replace("alone", "").toCharArray()) {
            out.add(c == '-' ? null : c == 's');
        }
        return out;
    }
}
