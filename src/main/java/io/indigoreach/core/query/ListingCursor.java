package io.indigoreach.core.query;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Assigns the pages of a listing to the requests that wait for its keys. Each listing starts where the previous one ended, and skips ranges
 * without waiting requests. This prevents starvation: when each listing started at the first key, requests for the last keys always timed out.
 *
 * @param <W> a waiting request
 */
public final class ListingCursor<W> {
    private final TreeMap<String, W> remaining = new TreeMap<>();
    private String position = "";

    /** Starts a listing for the given requests, by their keys. */
    public void begin(Map<String, W> waiting) {
        remaining.putAll(waiting);
    }

    /** Whether all requests are answered. */
    public boolean isComplete() {
        return remaining.isEmpty();
    }

    /** Returns the first key of the next page: the next key with a waiting request, wrapping around after the last. */
    public String nextPageStart() {
        String key = remaining.ceilingKey(position);
        return key != null ? key : remaining.firstKey();
    }

    /** Removes and returns the requests that a page from {@code from} to {@code last} answers; null stands for the end of the listing. */
    public Map<String, W> removeAnswered(String from, String last) {
        SortedMap<String, W> range =
                last == null ? remaining.tailMap(from, true) : remaining.subMap(from, true, last, true);
        Map<String, W> answered = new TreeMap<>(range);
        range.clear();
        // The next page starts after the last key, as no remaining request waits for that key.
        position = last == null ? "" : last;
        return answered;
    }

    /** Records that the page starting at {@code from} failed; the next page starts after that key. */
    public void onPageFailed(String from) {
        position = from + " ";
    }

    /** Ends the listing, and removes and returns the unanswered requests; the next listing starts with their keys. */
    public Map<String, W> end() {
        Map<String, W> unanswered = new TreeMap<>(remaining);
        remaining.clear();
        return unanswered;
    }
}
