package io.indigoreach.core.query;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No client starves while others are served. */
class FairAdmissionTest {
    /**
     * Every 5 s, twice as many clients send a request as the limit admits, always in the same order. With one limit for all, the second
     * half is never served.
     */
    @ParameterizedTest
    @CsvSource({"true, 30", "false, 200"})
    void rejectedClientsGoFirst(boolean remembering, int longest) {
        FairAdmission admission = new FairAdmission();
        int users = 2 * FairAdmission.MAX_WAITING;
        int[] servedAt = new int[users];
        int silence = 0;
        for (int s = 0; s < 200; s += 5) {
            int waiting = 0;
            for (int u = 0; u < users; u++) {
                if (admission.tryEnter(remembering ? "run-" + u : "run-" + u + "-" + s)) {
                    waiting++;
                    servedAt[u] = s;
                }
                silence = Math.max(silence, s - servedAt[u]);
            }
            assertTrue(
                    waiting
                            <= FairAdmission.MAX_WAITING
                                    + FairAdmission.EXTRA_PER_REJECTION * FairAdmission.MAX_COUNTED_REJECTIONS,
                    "waiting requests: " + waiting);
            for (; waiting > 0; waiting--) {
                admission.leave();
            }
        }
        assertTrue(remembering ? silence <= longest : silence >= longest - 5, "longest time without a response, s: " + silence);
    }

    /** A listing returns two pages of ten keys in time, and all clients repeat their requests. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void everyKeyIsListedInTime(long seed) {
        Random random = new Random(seed);
        TreeMap<String, Integer> keys = new TreeMap<>();
        for (int n = 0; n < 100; n++) {
            keys.put("j/run-" + random.nextInt(100_000), 0);
        }
        ListingCursor<Integer> cursor = new ListingCursor<>();
        Map<String, Integer> answeredIn = new HashMap<>();
        for (int listing = 1; answeredIn.size() < keys.size(); listing++) {
            assertTrue(listing <= 6, "unanswered keys: " + (keys.size() - answeredIn.size()));
            cursor.begin(keys);
            for (int page = 0; page < 2 && !cursor.isOver(); page++) {
                String from = cursor.next();
                Deque<String> items = new ArrayDeque<>();
                keys.tailMap(from, true).keySet().stream().limit(10).forEach(items::add);
                String last = keys.lastKey().equals(items.peekLast()) ? null : items.peekLast();
                int asked = listing;
                cursor.answered(from, last).keySet().forEach(k -> {
                    assertTrue(items.contains(k));
                    answeredIn.putIfAbsent(k, asked);
                });
            }
            cursor.end();
        }
        assertEquals(keys.keySet(), new TreeMap<>(answeredIn).keySet());
    }
}
