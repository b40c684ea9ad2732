package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which images a machine has, as far as its reports show. The protocol names the size of the cache and that the most recently
 * used images stay; what is not shown by a report is not claimed. Sizes in GB.
 */
public final class ImageCache {
    /** A bound for images that take no room. */
    private static final int MOST = 256;

    private enum State {
        /** A task that needs it was ordered; it may be on its way, and is given up when no task waits for it. */
        COMING,
        /** A task that needs it ran here since, in this session, and nothing has pushed it out. */
        HELD,
        /** It was here; a session's end or a change of leader may have cost it. The next start's time shows. */
        DOUBTED
    }

    private record Entry(double gb, State state) {}

    private final double capacity;
    /** The least recently used first. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** {@code capacity} 0: not known, and nothing is ever pushed out. */
    public ImageCache(double capacity) {
        this.capacity = capacity;
    }

    /** A task that needs the image is ordered or seen; the result is what it pushes out. */
    public List<String> use(String image, double gb) {
        Entry known = entries.remove(image);
        entries.put(image, known == null ? new Entry(gb, State.COMING) : known);
        return pushOut(image);
    }

    private List<String> pushOut(String kept) {
        List<String> out = new ArrayList<>();
        double total = total();
        for (Iterator<Map.Entry<String, Entry>> i = entries.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, Entry> oldest = i.next();
            if (entries.size() <= MOST && (capacity <= 0 || total <= capacity)) {
                break;
            }
            if (!oldest.getKey().equals(kept)) {
                total -= oldest.getValue().gb;
                out.add(oldest.getKey());
                i.remove();
            }
        }
        return out;
    }

    private double total() {
        double total = 0;
        for (Entry e : entries.values()) {
            total += e.gb;
        }
        return total;
    }

    /** A task that needs it runs, or ran: whatever was doubted, it is here now. */
    public void ran(String image) {
        entries.computeIfPresent(image, (i, e) -> new Entry(e.gb, State.HELD));
    }

    /** A task that needs it was seen to run, but not to start. */
    public void mayHave(String image) {
        entries.computeIfPresent(image, (i, e) -> e.state == State.COMING ? new Entry(e.gb, State.DOUBTED) : e);
    }

    /** No task waits for it any more before one has run; false if it is here all the same. */
    public boolean givenUp(String image) {
        Entry e = entries.get(image);
        return e != null && e.state == State.COMING && entries.remove(image) != null;
    }

    /** The session has ended: what was here may be, what was on its way is not. */
    public void doubt() {
        entries.replaceAll((i, e) -> e.state == State.HELD ? new Entry(e.gb, State.DOUBTED) : e);
    }

    /**
     * An earlier leader recorded it as held. Whatever this leader has seen used since is newer, so it stands behind that, and
     * only if it has room. {@code sure}: the session is the one of the record. False if it is not taken.
     */
    public boolean recall(String image, double gb, boolean sure) {
        Entry known = entries.get(image);
        if (known != null) {
            if (known.state == State.DOUBTED && sure) {
                ran(image);
            }
            return false;
        }
        if (capacity > 0 && total() + gb > capacity) {
            return false;
        }
        Map<String, Entry> newer = new LinkedHashMap<>(entries);
        entries.clear();
        entries.put(image, new Entry(gb, sure ? State.HELD : State.DOUBTED));
        entries.putAll(newer);
        return true;
    }

    /** It is here, may be here, or is on its way. */
    public boolean contains(String image) {
        return entries.containsKey(image);
    }

    /** It is here by the last reports. */
    public boolean holds(String image) {
        Entry e = entries.get(image);
        return e != null && e.state == State.HELD;
    }

    public boolean isComing(String image) {
        Entry e = entries.get(image);
        return e != null && e.state == State.COMING;
    }

    /** Whether another image can be fetched without pushing out one that is here: all used later than that stays too. */
    public boolean hasRoomBeside(String keep, String other, double gb) {
        return capacity <= 0 || laterThan(keep, other) + gb + size(keep) <= capacity;
    }

    /** So much was used since the image was that another of the size it left at first might not fit beside it. */
    public boolean isCrowded(String keep) {
        return capacity > 0 && laterThan(keep, keep) > (capacity - size(keep)) / 2;
    }

    private double size(String image) {
        Entry e = entries.get(image);
        return e == null ? 0 : e.gb;
    }

    private double laterThan(String keep, String except) {
        double later = 0;
        boolean after = !entries.containsKey(keep);
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
            later += after && !e.getKey().equals(except) ? e.getValue().gb : 0;
            after |= e.getKey().equals(keep);
        }
        return later;
    }

    public List<String> images() {
        return List.copyOf(entries.keySet());
    }
}
