package io.indigoreach.core.query;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Admission control for requests that wait for the state service. A client that finds no room is rejected at once; each time that it comes back there
 * is more room for it, which first-time clients do not get. Guards against starvation: with one limit for all, a client that came at the wrong moments
 * was rejected for minutes beside others that were always served.
 */
public final class FairAdmission {
    /** Requests that may wait at a time. */
    static final int MAX_WAITING = 100;
    /** Further places for each rejection before, up to {@link #MAX_COUNTED_REJECTIONS} times: with requests 5 s apart, all after 25 s. */
    static final int EXTRA_PER_REJECTION = 20;

    static final int MAX_COUNTED_REJECTIONS = 5;
    private static final int MAX_REMEMBERED_CLIENTS = 4_000;

    private int waiting;
    private final Map<String, Integer> rejections = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_REMEMBERED_CLIENTS;
        }
    };

    /** Takes a place, to be given back by {@link #leave}; false if there is none for {@code who} now. */
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

    public void release() {
        waiting--;
    }
}
