package io.indigoreach.core.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Records whose hashes begin alike. Written as one text, a record in 30 to 60 bytes, so that neither the state service nor a
 * controller's memory of pages pays for fields' names. A page that has grown too long is divided by the next bit of the hash,
 * for good: it then only says so.
 *
 * @param floor no fence given on this page so far is above it
 */
record Page(long floor, boolean divided, SortedMap<String, Entry> entries) {
    /** The longest, as its records cost: well within a value's 8 KiB. */
    static final int MOST = 6_500;
    /** Of a line: letter, the holder's place, spaces and the semicolon. */
    private static final int LINE = 10;

    static final Page EMPTY = new Page(0, false, new TreeMap<>());
    private static final int RADIX = 36;

    static Page read(Map<String, Object> value) {
        if (value == null) {
            return EMPTY;
        }
        long floor = ((Number) value.get("f")).longValue();
        if (value.get("x") != null) {
            return new Page(floor, true, new TreeMap<>());
        }
        List<?> holders = (List<?>) value.get("h");
        SortedMap<String, Entry> entries = new TreeMap<>();
        String text = (String) value.get("r");
        for (String line : text.isEmpty() ? new String[0] : text.split(";")) {
            String[] part = line.split(" ", -1);
            entries.put(
                    part[0],
                    new Entry(
                            Entry.State.of(part[1].charAt(0)),
                            number(part[2]),
                            (String) holders.get((int) number(part[3])),
                            part[4],
                            number(part[5]),
                            number(part[6])));
        }
        return new Page(floor, false, entries);
    }

    Map<String, Object> write() {
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("f", floor);
        if (divided) {
            value.put("x", 1L);
            return value;
        }
        List<Object> holders = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        entries.forEach((id, e) -> {
            int holder = holders.indexOf(e.holder());
            if (holder < 0) {
                holder = holders.size();
                holders.add(e.holder());
            }
            text.append(text.length() == 0 ? "" : ";")
                    .append(id)
                    .append(' ')
                    .append(e.state().letter)
                    .append(' ')
                    .append(text(e.fence()))
                    .append(' ')
                    .append(text(holder))
                    .append(' ')
                    .append(e.task())
                    .append(' ')
                    .append(text(e.attempt()))
                    .append(' ')
                    .append(text(e.sinceMs()));
        });
        value.put("h", holders);
        value.put("r", text.toString());
        return value;
    }

    private static String text(long n) {
        return Long.toString(n, RADIX);
    }

    private static long number(String s) {
        return Long.parseLong(s, RADIX);
    }

    /** What a record takes of a page at most; its holder's name is written once for all that it holds there. */
    static int cost(String id, Entry entry) {
        return entry == null
                ? 0
                : id.length()
                        + entry.task().length()
                        + entry.holder().length()
                        + LINE
                        + digits(entry.fence())
                        + digits(entry.attempt())
                        + digits(entry.sinceMs());
    }

    private static int digits(long n) {
        int digits = 1;
        for (long left = n / RADIX; left > 0; left /= RADIX) {
            digits++;
        }
        return digits;
    }

    int cost() {
        int sum = 0;
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
            sum += cost(e.getKey(), e.getValue());
        }
        return sum;
    }

    /** With these entries; null drops one. */
    Page with(Map<String, Entry> changes) {
        SortedMap<String, Entry> changed = new TreeMap<>(entries);
        long highest = floor;
        for (Map.Entry<String, Entry> e : changes.entrySet()) {
            if (e.getValue() == null) {
                changed.remove(e.getKey());
            } else {
                changed.put(e.getKey(), e.getValue());
                highest = Math.max(highest, e.getValue().fence());
            }
        }
        return new Page(highest, divided, changed);
    }

    /** What two copies of a page say together: the newer one, but what either knows to be billed is. */
    Page and(Page older) {
        if (divided) {
            return this;
        }
        Map<String, Entry> billed = new LinkedHashMap<>();
        older.entries.forEach((id, e) -> {
            Entry known = entries.get(id);
            if (e.state() == Entry.State.BILLED && (known == null || known.state() != Entry.State.BILLED)) {
                billed.put(id, e);
            }
        });
        return new Page(Math.max(floor, older.floor), false, entries).with(billed);
    }
}
