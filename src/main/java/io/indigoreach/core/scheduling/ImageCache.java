package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's model of a machine's image cache, derived from heartbeats. The worker protocol defines the cache size
 * and LRU eviction; images that no heartbeat implies are not assumed. Sizes are in GB.
 */
public final class ImageCache {
    /** Limits the number of entries, as images of size zero never exceed the capacity. */
    private static final int MAX_IMAGES = 256;

    private enum State {
        /** A task that needs the image was started. The worker abandons the fetch when no task waits for it. */
        FETCHING,
        /** A task that needs the image has run in this incarnation, and the image was not evicted since. */
        CACHED,
        /**
         * The image was cached, but an incarnation end or a failover may have lost it. The next start shows by its
         * duration.
         */
        UNCERTAIN
    }

    private record Entry(double sizeGb, State state) {}

    private final double capacityGb;
    /** Entries by image, the least recently used first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** With {@code capacityGb} 0 the size is unknown and images are evicted only by their number. */
    public ImageCache(double capacityGb) {
        this.capacityGb = capacityGb;
    }

    /** Notes that a task that needs the image was started or reported; returns the images evicted for it. */
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

    /** Notes that a task that needs the image runs or ran, so that the image is cached. */
    public void confirmCached(String image) {
        entries.computeIfPresent(image, (name, entry) -> new Entry(entry.sizeGb, State.CACHED));
    }

    /** Notes that a task that needs the image was reported running, but its start was not observed. */
    public void markUncertain(String image) {
        entries.computeIfPresent(
                image,
                (name, entry) -> entry.state == State.FETCHING ? new Entry(entry.sizeGb, State.UNCERTAIN) : entry);
    }

    /**
     * Removes the image if it is still being fetched, as no task waits for it any more; returns whether it was removed.
     */
    public boolean abandonFetch(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.FETCHING && entries.remove(image) != null;
    }

    /** Notes the end of the worker's incarnation, after which cached images are uncertain. */
    public void incarnationEnded() {
        entries.replaceAll(
                (name, entry) -> entry.state == State.CACHED ? new Entry(entry.sizeGb, State.UNCERTAIN) : entry);
    }

    /**
     * Restores an image that an earlier leader recorded as cached. Images that this leader has observed in use are
     * newer, so the restored one ranks as least recently used, and is dropped if it does not fit.
     *
     * @param sameIncarnation whether the record is of the worker's current incarnation
     * @return whether the image was restored
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

    /** Whether the image is or may be cached, or is being fetched. */
    public boolean contains(String image) {
        return entries.containsKey(image);
    }

    /** Whether the last heartbeats show that the image is cached. */
    public boolean isCached(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.CACHED;
    }

    public boolean isFetching(String image) {
        Entry entry = entries.get(image);
        return entry != null && entry.state == State.FETCHING;
    }

    /**
     * Whether {@code other} fits without evicting {@code keep}, for which all images used later than {@code keep} must
     * fit too.
     */
    public boolean hasRoomWithoutEvicting(String keep, String other, double sizeGb) {
        return capacityGb <= 0 || sizeGbOfImagesUsedAfter(keep, other) + sizeGb + sizeGb(keep) <= capacityGb;
    }

    /**
     * Whether images used later than {@code keep} take more than half of the other capacity, so that it may soon be
     * evicted.
     */
    public boolean isEvictionLikely(String keep) {
        return capacityGb > 0 && sizeGbOfImagesUsedAfter(keep, keep) > (capacityGb - sizeGb(keep)) / 2;
    }

    private double sizeGb(String image) {
        Entry entry = entries.get(image);
        return entry == null ? 0 : entry.sizeGb;
    }

    private double sizeGbOfImagesUsedAfter(String image, String excluded) {
        double laterGb = 0;
        boolean isLater = !entries.containsKey(image);
        for (Map.Entry<String, Entry> cached : entries.entrySet()) {
            laterGb += isLater && !cached.getKey().equals(excluded) ? cached.getValue().sizeGb : 0;
            isLater |= cached.getKey().equals(image);
        }
        return laterGb;
    }

    public List<String> images() {
        return List.copyOf(entries.keySet());
    }
}
