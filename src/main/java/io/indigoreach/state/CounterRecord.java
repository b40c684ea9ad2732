package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.Map;

/**
 * The token counter, which also holds the data format of the deployment. A campaign reads it before it writes anything, so a
 * version of the program that cannot read it cannot lead. The first format stores the highest token under a different field
 * name, so a version that supports only the first format finds no token in a later one (docs/notes/versions.md).
 *
 * @param highest the highest token so far
 * @param startBounds whether every leader of any open job has maintained start bounds. Versions without start bounds write the
 *     counter without this field, and then no start bound is reliable.
 * @param format the data format, from {@link #FIRST} to {@link #KNOWN}
 */
public record CounterRecord(FencingToken highest, boolean startBounds, int format) {
    /** The format of versions that do not support job dependencies. */
    public static final int FIRST = 1;
    /** The first format in which every node supports job dependencies. */
    public static final int CHAINS = 2;
    /** The newest format that this version supports. */
    public static final int KNOWN = CHAINS;

    /** The state of a new deployment that has had no leader yet. */
    static final CounterRecord NONE = new CounterRecord(FencingToken.NONE, true, FIRST);

    private static final String FIRST_HIGHEST = "value";
    private static final String HIGHEST = "highest";
    private static final String BOUNDS = "bounds";
    private static final String FORMAT = "format";

    /** Throws {@link WireException} if the record is malformed or has a format that this version does not support. */
    public static CounterRecord read(Fields value) {
        boolean bounds = value.flag(BOUNDS, false);
        if (!value.has(FORMAT)) {
            return new CounterRecord(new FencingToken(value.whole(FIRST_HIGHEST)), bounds, FIRST);
        }
        long format = value.whole(FORMAT);
        if (format <= FIRST || format > KNOWN) {
            throw new WireException("the data format " + format + " is not known to this version of the program");
        }
        return new CounterRecord(new FencingToken(value.whole(HIGHEST)), bounds, (int) format);
    }

    /** Reads the counter from an entry; {@link #NONE} if the entry is null. */
    static CounterRecord of(StateClient.Entry entry) {
        return entry == null ? NONE : read(entry.value());
    }

    /** Encodes the record. */
    public Map<String, Object> write() {
        Map<String, Object> map = MessagePackFormat.map(format == FIRST ? FIRST_HIGHEST : HIGHEST, highest.value());
        if (startBounds) {
            map.put(BOUNDS, true);
        }
        if (format != FIRST) {
            map.put(FORMAT, (long) format);
        }
        return map;
    }

    /** The counter of the next leadership, with at least the format {@code atLeast}. */
    CounterRecord next(FencingToken token, int atLeast) {
        return new CounterRecord(token, startBounds, Math.max(format, atLeast));
    }

    /** The counter after the leader has confirmed that start bounds are reliable. */
    CounterRecord withStartBounds(FencingToken leader, int atLeast) {
        return new CounterRecord(leader, true, Math.max(format, atLeast));
    }

    CounterRecord raised() {
        return new CounterRecord(highest, startBounds, KNOWN);
    }
}
