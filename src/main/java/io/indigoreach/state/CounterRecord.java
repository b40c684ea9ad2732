package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.Map;

/**
 * The counter of tokens, with the data format that the deployment has been raised to. A campaign reads it before it writes
 * anything, so a version of the program that cannot read it cannot lead. The first format has the highest token under another
 * name than the later ones: what knows only the first finds no token (docs/notes/versions.md).
 *
 * @param highest the highest token so far
 * @param startBounds whether every leader that had a part in any open job kept to start bounds: what a version before these
 *     writes here says nothing, and then no bound is believed
 * @param format the data format, from {@link #FIRST} to {@link #KNOWN}
 */
public record CounterRecord(FencingToken highestToken, boolean startBoundsReliable, int format) {
    /** The format of the versions that know no chained jobs. */
    public static final int ORIGINAL_FORMAT = 1;
    /** From this format on every node knows chained jobs. */
    public static final int DEPENDENCIES_FORMAT = 2;
    /** The newest format that this version knows. */
    public static final int NEWEST_FORMAT = DEPENDENCIES_FORMAT;

    /** A deployment in which nobody has led. */
    static final CounterRecord NONE = new CounterRecord(FencingToken.NONE, true, ORIGINAL_FORMAT);

    private static final String ORIGINAL_HIGHEST_FIELD = "value";
    private static final String HIGHEST_FIELD = "highest";
    private static final String BOUNDS_FIELD = "bounds";
    private static final String FORMAT_FIELD = "format";

    /** Throws {@link WireException} if it cannot be read, or is of a format that this version does not know. */
    public static CounterRecord read(Fields value) {
        boolean startBounds = value.flag(BOUNDS_FIELD, false);
        if (!value.has(FORMAT_FIELD)) {
            return new CounterRecord(
                    new FencingToken(value.whole(ORIGINAL_HIGHEST_FIELD)), startBounds, ORIGINAL_FORMAT);
        }
        long format = value.whole(FORMAT_FIELD);
        if (format <= ORIGINAL_FORMAT || format > NEWEST_FORMAT) {
            throw new WireException("the data format " + format + " is not known to this version of the program");
        }
        return new CounterRecord(new FencingToken(value.whole(HIGHEST_FIELD)), startBounds, (int) format);
    }

    /** {@link #NONE} if there is no counter. */
    static CounterRecord fromEntry(StateClient.Entry entry) {
        return entry == null ? NONE : read(entry.value());
    }

    /** The record as it is written. */
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

    /** The next leadership's, of no lower a format. */
    CounterRecord forNextLeadership(FencingToken token, int minFormat) {
        return new CounterRecord(token, startBoundsReliable, Math.max(format, minFormat));
    }

    /** As this leadership confirms that start bounds can be believed. */
    CounterRecord withStartBounds(FencingToken leader, int minFormat) {
        return new CounterRecord(leader, true, Math.max(format, minFormat));
    }

    CounterRecord withNewestFormat() {
        return new CounterRecord(highestToken, startBoundsReliable, NEWEST_FORMAT);
    }
}
