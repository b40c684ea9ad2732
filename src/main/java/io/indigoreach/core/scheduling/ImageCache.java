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

    private record Entry(double sizeGb, State state) {}

    private final double capacityGb;
    /** The least recently used first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** {@code capacity} 0: not known, and nothing is ever evicted. */
    public ImageCache(double capacityGb) {
        this.capacityGb = capacityGb;
    }

    /** A task that needs the image is started or reported; returns the images that are evicted for it. */
    public List<String> markUsed(String image, double sizeGb) {
        Entry known = entries.remove(image);
        entries.put(image, known == null ? new Entry(sizeGb, State.FETCHING) : known);
        return evict(image);
    }

    private List<String> evict(String kept) {
        List<String> evicted = new ArrayList<>();
        double totalGb = totalGb();
        for (Iterator<Map.Entry<String, Entry>> oldestFirst = entries.entrySet().iterator(); oldestFirst.hasNext(); ) {
            Map.Entry<String, Entry> oldest = oldestFirst.next();
            if (entries.size() <= MAX_IMAGES && (capacityGb <= 0 || totalGb <= capacityGb)) {
                break;
            }
            if (!oldest.getKey().equals(kept)) {
                totalGb -= oldest.getValue().sizeGb;
                evicted.add(oldest.getKey());
                oldestFirst.remove();
            }
        }
        return evicted;
    }

    private double totalGb() {
        double totalGb = 0;
        for (Entry entry : entries.values()) {
            totalGb += entry.sizeGb;
        }
        return totalGb;
    }

    /** A task that needs it runs, or ran: whatever was uncertain, it is here now. */
    public void confirmCached(String image) {
        entries.computeIfPresent(image, (name, entry) -> new Entry(entry.sizeGb, State.CACHED));
    }

    /** A task that needs it was reported running, but its start was not observed. */
    public void markUncertain(String image) {
        entries.computeIfPresent(
                image,
                (name, entry) -> entry.state == State.FETCHING ? new Entry(entry.sizeGb, State.UNCERTAIN) : entry);
    }

    /** No task waits for it any more before one has run; false if it is here all the same. */
    public boolean abandonFetch(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.FETCHING && entries.remove(image) != null;
    }

    /** The incarnation has ended: cached images may still be here, fetches have been lost. */
    public void incarnationEnded() {
        entries.replaceAll(
                (name, entry) -> entry.state == State.CACHED ? new Entry(entry.sizeGb, State.UNCERTAIN) : entry);
    }

    /**
     * An earlier leader recorded it as cached. Whatever this leader has observed in use since is newer, so it ranks behind
     * that, and only if it has room.
     *
     * @param sure whether the incarnation is the one of the record
     * @return whether it was restored
     */
    public boolean restore(String image, double sizeGb, boolean sameIncarnation) {
        Entry known = entries.get(image);
        if (known != null) {
            if (known.state == State.UNCERTAIN && sameIncarnation) {
                confirmCached(image);
            }
            return false;
        }
        if (capacityGb > 0 && totalGb() + sizeGb > capacityGb) {
            return false;
        }
        Map<String, Entry> newer = new LinkedHashMap<>(entries);
        entries.clear();
        entries.put(image, new Entry(sizeGb, sameIncarnation ? State.CACHED : State.UNCERTAIN));
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
    public boolean hasRoomWithoutEvicting(String keep, String other, double sizeGb) {
        return capacityGb <= 0 || gbUsedLaterThan(keep, other) + sizeGb + sizeGb(keep) <= capacityGb;
    }

    /** So much was used since the image was that another of the size it left at first might not fit beside it. */
    public boolean isEvictionLikely(String keep) {
        return capacityGb > 0 && gbUsedLaterThan(keep, keep) > (capacityGb - sizeGb(keep)) / 2;
    }

    private double sizeGb(String image) {
        Entry entry = entries.get(image);
        return entry == null ? 0 : entry.sizeGb;
    }

    private double gbUsedLaterThan(String keep, String except) {
        double laterGb = 0;
        boolean isLater = !entries.containsKey(keep);
        for (Map.Entry<String, Entry> cached : entries.entrySet()) {
            laterGb += isLater && !cached.getKey().equals(except) ? cached.getValue().sizeGb : 0;
            isLater |= cached.getKey().equals(keep);
        }
        return laterGb;
    }

    public List<String> images() {
        return List.copyOf(entries.keySet());
    }
}
