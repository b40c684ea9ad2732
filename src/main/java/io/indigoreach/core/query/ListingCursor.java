package io.indigoreach.core.query;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Assigns the pages of a listing to the requests that wait for its keys. Each listing begins where the previous one ended, and skips
 * what nobody waits for. Guards against starvation: where each listing began at the first key, the last keys were always answered too late.
 *
 * @param <W> a waiting request
 */
public final class ListingCursor<W> {
    private final TreeMap<String, W> remaining = new TreeMap<>();
    private String position = "";

    /** Adds the requests that wait for the listing that begins now, by their keys. */
    public void begin(Map<String, W> waiting) {
        remaining.putAll(waiting);
    }

    /** Whether all requests are answered. */
    public boolean isComplete() {
        return remaining.isEmpty();
    }

    /** The first key of the next page: the next one with a waiting request, starting over after the last. */
    public String nextPageStart() {
        String key = remaining.ceilingKey(position);
        return key != null ? key : remaining.firstKey();
    }

    /** Removes the requests that a page beginning at {@code from} answers: up to its {@code last} key, or to the end if that is null. */
    public Map<String, W> removeAnswered(String from, String last) {
        SortedMap<String, W> range =
                last == null ? remaining.tailMap(from, true) : remaining.subMap(from, true, last, true);
        Map<String, W> answered = new TreeMap<>(range);
        range.clear();
        // The next page begins after the last key in any case, as that key is not requested again.
        position = last == null ? "" : last;
        return answered;
    }

    /** The page that began at {@code from} has failed: the next listing begins elsewhere. */
    public void onPageFailed(String from) {
        position = from + " ";
    }

    /** Ends the listing and removes the requests that are left unanswered; the next listing begins with their keys. */
    public Map<String, W> end() {
        Map<String, W> unanswered = new TreeMap<>(remaining);
        remaining.clear();
        return unanswered;
    }
}
