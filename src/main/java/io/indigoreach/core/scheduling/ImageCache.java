package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which images a machine has, as far as its heartbeats show. The protocol defines the size of the cache and that the most
 * recently used images stay; what no heartbeat shows is not claimed. Sizes in GB.
 */
public final class ImageCache {
    /** A bound for images that take no room. */
    private static final int MAX_IMAGES = 256;

    private enum State {
        /** A task that needs it was started; it may be being fetched, which is abandoned when no task waits for it. */
        FETCHING,
        /** A task that needs it ran here since, in this incarnation, and nothing has evicted it. */
        CACHED,
        /** It was here; the end of an incarnation or a failover may have lost it. The duration of the next start shows. */
        UNCERTAIN
    }

    private record Entry(double gb, State state) {}

    private final double capacity;
    /** The least recently used first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** {@code capacity} 0: not known, and nothing is ever evicted. */
    public ImageCache(double capacity) {
        this.capacity = capacity;
    }

    /** A task that needs the image is started or reported; returns the images that are evicted for it. */
    public List<String> use(String image, double gb) {
        Entry known = entries.remove(image);
        entries.put(image, known == null ? new Entry(gb, State.FETCHING) : known);
        return evict(image);
    }

    private List<String> evict(String kept) {
        List<String> evicted = new ArrayList<>();
        double total = total();
        for (Iterator<Map.Entry<String, Entry>> oldestFirst = entries.entrySet().iterator(); oldestFirst.hasNext(); ) {
            Map.Entry<String, Entry> oldest = oldestFirst.next();
            if (entries.size() <= MAX_IMAGES && (capacity <= 0 || total <= capacity)) {
                break;
            }
            if (!oldest.getKey().equals(kept)) {
                total -= oldest.getValue().gb;
                evicted.add(oldest.getKey());
                oldestFirst.remove();
            }
        }
        return evicted;
    }

    private double total() {
        double total = 0;
        for (Entry entry : entries.values()) {
            total += entry.gb;
        }
        return total;
    }

    /** A task that needs it runs, or ran: whatever was uncertain, it is here now. */
    public void confirmCached(String image) {
        entries.computeIfPresent(image, (name, entry) -> new Entry(entry.gb, State.CACHED));
    }

    /** A task that needs it was reported running, but its start was not observed. */
    public void markUncertain(String image) {
        entries.computeIfPresent(
                image, (name, entry) -> entry.state == State.FETCHING ? new Entry(entry.gb, State.UNCERTAIN) : entry);
    }

    /** No task waits for it any more before one has run; false if it is here all the same. */
    public boolean abandonFetch(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.FETCHING && entries.remove(image) != null;
    }

    /** The incarnation has ended: cached images may still be here, fetches have been lost. */
    public void incarnationEnded() {
        entries.replaceAll((name, entry) -> entry.state == State.CACHED ? new Entry(entry.gb, State.UNCERTAIN) : entry);
    }

    /**
     * An earlier leader recorded it as cached. Whatever this leader has observed in use since is newer, so it ranks behind
     * that, and only if it has room.
     *
     * @param sure whether the incarnation is the one of the record
     * @return whether it was restored
     */
    public boolean restore(String image, double gb, boolean sure) {
        Entry known = entries.get(image);
        if (known != null) {
            if (known.state == State.UNCERTAIN && sure) {
                confirmCached(image);
            }
            return false;
        }
        if (capacity > 0 && total() + gb > capacity) {
            return false;
        }
        Map<String, Entry> newer = new LinkedHashMap<>(entries);
        entries.clear();
        entries.put(image, new Entry(gb, sure ? State.CACHED : State.UNCERTAIN));
        entries.putAll(newer);
        return true;
    }

    /** It is here, may be here, or is being fetched. */
    public boolean contains(String image) {
        return entries.containsKey(image);
    }

    /** It is here by the last heartbeats. */
    public boolean isCached(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.CACHED;
    }

    public boolean isFetching(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.FETCHING;
    }

    /** Whether another image can be fetched without evicting one that is here: all used later than that stays too. */
    public boolean hasRoomBeside(String keep, String other, double gb) {
        return capacity <= 0 || usedLaterThan(keep, other) + gb + size(keep) <= capacity;
    }

    /** So much was used since the image was that another of the size it left at first might not fit beside it. */
    public boolean isCrowded(String keep) {
        return capacity > 0 && usedLaterThan(keep, keep) > (capacity - size(keep)) / 2;
    }

    private double size(String image) {
        Entry entry = entries.get(image);
        return entry == null ? 0 : entry.gb;
    }

    private double usedLaterThan(String keep, String except) {
        double later = 0;
        boolean after = !entries.containsKey(keep);
        for (Map.Entry<String, Entry> cached : entries.entrySet()) {
            later += after && !cached.getKey().equals(except) ? cached.getValue().gb : 0;
            after |= cached.getKey().equals(keep);
        }
        return later;
    }

    public List<String> images() {
        return List.copyOf(entries.keySet());
    }
}
