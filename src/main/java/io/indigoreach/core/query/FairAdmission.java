package io.indigoreach.core.query;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who may wait when many do. Whoever finds the places taken is refused at once; each time that it comes back there is more
 * room for it, which those who come for the first time do not get. With one limit for all, who asked at the wrong moments was
 * refused for minutes beside others that were always served.
 */
public final class FairAdmission {
    static final int PLACES = 100;
    /** Further places for each refusal before, up to {@link #STEPS} times: with questions 5 s apart, all after 25 s. */
    static final int STEP = 20;

    static final int STEPS = 5;
    private static final int REMEMBERED = 4_000;

    private int waiting;
    private final Map<String, Integer> refused = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > REMEMBERED;
        }
    };

    /** Takes a place, to be given back by {@link #leave}; false if there is none for {@code who} now. */
    public boolean enter(String who) {
        int before = refused.getOrDefault(who, 0);
        if (waiting >= PLACES + STEP * before) {
            refused.put(who, Math.min(STEPS, before + 1));
            return false;
        }
        refused.remove(who);
        waiting++;
        return true;
    }

    public void leave() {
        waiting--;
    }
}
