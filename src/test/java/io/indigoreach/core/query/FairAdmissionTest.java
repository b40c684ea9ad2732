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
    void rejectedClientsGoFirst(boolean rejectionsCount, int expectedWait) {
        FairAdmission admission = new FairAdmission();
        int clientCount = 2 * FairAdmission.MAX_WAITING;
        int[] servedAt = new int[clientCount];
        int longestWait = 0;
        for (int second = 0; second < 200; second += 5) {
            int waiting = 0;
            for (int client = 0; client < clientCount; client++) {
                if (admission.tryEnter(rejectionsCount ? "run-" + client : "run-" + client + "-" + second)) {
                    waiting++;
                    servedAt[client] = second;
                }
                longestWait = Math.max(longestWait, second - servedAt[client]);
            }
            assertTrue(
                    waiting
                            <= FairAdmission.MAX_WAITING
                                    + FairAdmission.EXTRA_PER_REJECTION * FairAdmission.MAX_COUNTED_REJECTIONS,
                    "waiting requests: " + waiting);
            for (; waiting > 0; waiting--) {
                admission.release();
            }
        }
        assertTrue(
                rejectionsCount ? longestWait <= expectedWait : longestWait >= expectedWait - 5,
                "longest time without a response, s: " + longestWait);
    }

    /** A listing returns two pages of ten keys in time, and all clients repeat their requests. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void everyKeyIsListedInTime(long seed) {
        Random random = new Random(seed);
        TreeMap<String, Integer> keys = new TreeMap<>();
        for (int i = 0; i < 100; i++) {
            keys.put("j/run-" + random.nextInt(100_000), 0);
        }
        ListingCursor<Integer> cursor = new ListingCursor<>();
        Map<String, Integer> listingByKey = new HashMap<>();
        for (int listing = 1; listingByKey.size() < keys.size(); listing++) {
            assertTrue(listing <= 6, "unanswered keys: " + (keys.size() - listingByKey.size()));
            cursor.begin(keys);
            for (int page = 0; page < 2 && !cursor.isComplete(); page++) {
                String from = cursor.nextPageStart();
                Deque<String> pageKeys = new ArrayDeque<>();
                keys.tailMap(from, true).keySet().stream().limit(10).forEach(pageKeys::add);
                String last = keys.lastKey().equals(pageKeys.peekLast()) ? null : pageKeys.peekLast();
                int currentListing = listing;
                cursor.removeAnswered(from, last).keySet().forEach(key -> {
                    assertTrue(pageKeys.contains(key));
                    listingByKey.putIfAbsent(key, currentListing);
                });
            }
            cursor.end();
        }
        assertEquals(keys.keySet(), new TreeMap<>(listingByKey).keySet());
    }
}
