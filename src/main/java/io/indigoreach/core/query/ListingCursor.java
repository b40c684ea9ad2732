package io.indigoreach.core.query;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The order in which a listing in pages comes to those who wait for keys of it. Each listing begins where the one before had got
 * to, and leaves out what nobody waits for: listed from the first key on, each time, the last keys were always told too late.
 *
 * @param <W> who waits
 */
public final class ListingCursor<W> {
    private final TreeMap<String, W> left = new TreeMap<>();
    private String place = "";

    /** Those who wait for the listing that begins now. */
    public void begin(Map<String, W> waiting) {
        left.putAll(waiting);
    }

    public boolean isOver() {
        return left.isEmpty();
    }

    /** The first key of the next page: the next that somebody waits for, beginning again after the last. */
    public String next() {
        String key = left.ceilingKey(place);
        return key != null ? key : left.firstKey();
    }

    /** Those who are answered by a page that began at {@code from}: up to its last key, or to the end if that is null. */
    public Map<String, W> answered(String from, String last) {
        SortedMap<String, W> range = last == null ? left.tailMap(from, true) : left.subMap(from, true, last, true);
        Map<String, W> out = new TreeMap<>(range);
        range.clear();
        // Of a key that is not asked for again, the next page begins after it in any case.
        place = last == null ? "" : last;
        return out;
    }

    /** The page that began at {@code from} has failed: the next listing begins elsewhere. */
    public void failed(String from) {
        place = from + " ";
    }

    /** Gives up those that are left: they are told so, and the next listing begins with their keys. */
    public Map<String, W> end() {
        Map<String, W> out = new TreeMap<>(left);
        left.clear();
        return out;
    }
}
