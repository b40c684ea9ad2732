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
 * @param highestToken the highest token so far
 * @param startBoundsReliable whether every leader of any open job has maintained start bounds. Versions without start bounds write the
 *     counter without this field, and then no start bound is reliable.
 * @param format the data format, from {@link #ORIGINAL_FORMAT} to {@link #NEWEST_FORMAT}
 */
public record CounterRecord(FencingToken highestToken, boolean startBoundsReliable, int format) {
    /** The format of versions that do not support job dependencies. */
    public static final int ORIGINAL_FORMAT = 1;
    /** The first format in which every node supports job dependencies. */
    public static final int DEPENDENCIES_FORMAT = 2;
    /** The newest format that this version supports. */
    public static final int NEWEST_FORMAT = DEPENDENCIES_FORMAT;

    /** The state of a new deployment that has had no leader yet. */
    static final CounterRecord NONE = new CounterRecord(FencingToken.NONE, true, ORIGINAL_FORMAT);

    private static final String ORIGINAL_HIGHEST_FIELD = "value";
    private static final String HIGHEST_FIELD = "highest";
    private static final String BOUNDS_FIELD = "bounds";
    private static final String FORMAT_FIELD = "format";

    /** Throws {@link WireException} if the record is malformed or has a format that this version does not support. */
    public static CounterRecord read(Fields value) {
        boolean startBounds = value.flag(BOUNDS_FIELD, false);
        if (!value.has(FORMAT_FIELD)) {
            return new CounterRecord(
                    new FencingToken(value.wholeNumber(ORIGINAL_HIGHEST_FIELD)), startBounds, ORIGINAL_FORMAT);
        }
        long format = value.wholeNumber(FORMAT_FIELD);
        if (format <= ORIGINAL_FORMAT || format > NEWEST_FORMAT) {
            throw new WireException("the data format " + format + " is not known to this version of the program");
        }
        return new CounterRecord(new FencingToken(value.wholeNumber(HIGHEST_FIELD)), startBounds, (int) format);
    }

    /** Reads the counter from an entry; {@link #NONE} if the entry is null. */
    static CounterRecord fromEntry(StateClient.Entry entry) {
        return entry == null ? NONE : read(entry.value());
    }

    /** Encodes the record. */
    public Map<String, Object> write() {
        Map<String, Object> map = MessagePackFormat.map(
                format == ORIGINAL_FORMAT ? ORIGINAL_HIGHEST_FIELD : HIGHEST_FIELD, highestToken.value());
        if (startBoundsReliable) {
            map.put(BOUNDS_FIELD, true);
        }
        if (format != ORIGINAL_FORMAT) {
            map.put(FORMAT_FIELD, (long) format);
        }
        return map;
    }

    /** The counter of the next leadership, with at least the format {@code minFormat}. */
    CounterRecord forNextLeadership(FencingToken token, int minFormat) {
        return new CounterRecord(token, startBoundsReliable, Math.max(format, minFormat));
    }

    /** The counter after the leader has confirmed that start bounds are reliable. */
    CounterRecord withStartBounds(FencingToken leader, int minFormat) {
        return new CounterRecord(leader, true, Math.max(format, minFormat));
    }

    CounterRecord withNewestFormat() {
        return new CounterRecord(highestToken, startBoundsReliable, NEWEST_FORMAT);
    }
}
