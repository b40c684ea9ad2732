package io.indigoreach.core.query;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Admission control for requests that wait for the state service. A request above the limit is rejected at once, and each rejection raises the
 * limit for the client's next request. This prevents starvation: with one limit for all, a client that retried at the wrong moments was rejected for
 * minutes while others were always served.
 */
public final class FairAdmission {
    /** The limit on waiting requests for a client without rejections. */
    static final int MAX_WAITING = 100;
    /** The increase of a client's limit for each rejection; a client that retries every 5 s reaches the highest limit after 25 s. */
    static final int EXTRA_PER_REJECTION = 20;

    /** Rejections beyond this number do not raise the limit further. */
    static final int MAX_COUNTED_REJECTIONS = 5;

    private static final int MAX_REMEMBERED_CLIENTS = 4_000;

    private int waiting;
    private final Map<String, Integer> rejections = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_REMEMBERED_CLIENTS;
        }
    };

    /** Admits a request of a client, which must call {@link #release} when it is answered; false if the request is rejected. */
    public boolean tryEnter(String client) {
        int rejected = rejections.getOrDefault(client, 0);
        if (waiting >= MAX_WAITING + EXTRA_PER_REJECTION * rejected) {
            rejections.put(client, Math.min(MAX_COUNTED_REJECTIONS, rejected + 1));
            return false;
        }
        rejections.remove(client);
        waiting++;
        return true;
    }

    /** Records that an admitted request no longer waits. */
    public void release() {
        waiting--;
    }
}
