package io.indigoreach.core.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A claim's own record, the commit point for all its records on however many pages: they become its own with one change of it
 * to {@link State#HELD}, and those not begun become free with one to {@link State#ENDED}. Whoever reads a page resolves what it
 * finds by this record; the pages are put in order later.
 *
 * @param life how often it was begun: a job's claim that gave way is begun anew, and what pages say from before counts no more
 * @param startedMs time of day; of two claims that are being prepared the one that started later gives way
 * @param groups where its records lie; null: more than are listed
 * @param reason why it has ended, in lines for a person
 * @param clean it has ended, and no page names it any more
 */
record Claim(
        State state,
        long life,
        long startedMs,
        long touchedMs,
        long records,
        List<String> groups,
        List<String> reason,
        boolean clean) {
    enum State {
        OPEN,
        HELD,
        ENDED
    }

    private static final int MOST_GROUPS = 50;

    /** After {@code before}, which has ended; null if there was none. */
    static Claim begun(Claim before, long now) {
        return new Claim(State.OPEN, before == null ? 0 : before.life + 1, now, now, 0, List.of(), List.of(), false);
    }

    @SuppressWarnings("unchecked")
    static Claim read(Map<String, Object> value) {
        return value == null
                ? null
                : new Claim(
                        State.values()[(int) number(value, "s")],
                        number(value, "i"),
                        number(value, "b"),
                        number(value, "t"),
                        number(value, "n"),
                        (List<String>) value.get("g"),
                        (List<String>) value.get("y"),
                        value.get("z") != null);
    }

    private static long number(Map<String, Object> value, String field) {
        return ((Number) value.get(field)).longValue();
    }

    Map<String, Object> write() {
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("s", (long) state.ordinal());
        value.put("i", life);
        value.put("b", startedMs);
        value.put("t", touchedMs);
        value.put("n", records);
        value.put("g", groups);
        value.put("y", reason);
        if (clean) {
            value.put("z", 1L);
        }
        return value;
    }

    Claim in(State next, long now) {
        return new Claim(next, life, startedMs, now, records, groups, reason, clean);
    }

    Claim ended(List<String> why, long now) {
        return new Claim(State.ENDED, life, startedMs, now, records, groups, why, false);
    }

    Claim cleaned(long now) {
        return new Claim(state, life, startedMs, now, records, groups, reason, true);
    }

    /** With so many more records, of these groups. */
    Claim with(int more, Iterable<String> where) {
        List<String> all = groups == null ? null : new ArrayList<>(groups);
        for (String group : where) {
            if (all != null && !all.contains(group)) {
                all.add(group);
            }
        }
        return new Claim(
                state,
                life,
                startedMs,
                touchedMs,
                records + more,
                all == null || all.size() > MOST_GROUPS ? null : all,
                reason,
                clean);
    }

    boolean isOlderThan(Claim other, String name, String otherName) {
        return startedMs != other.startedMs ? startedMs < other.startedMs : name.compareTo(otherName) < 0;
    }
}
