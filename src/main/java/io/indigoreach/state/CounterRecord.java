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
public record CounterRecord(FencingToken highest, boolean startBounds, int format) {
    /** The format of the versions that know no chained jobs. */
    public static final int FIRST = 1;
    /** From this format on every node knows chained jobs. */
    public static final int CHAINS = 2;
    /** The newest format that this version knows. */
    public static final int KNOWN = CHAINS;

    /** A deployment in which nobody has led. */
    static final CounterRecord NONE = new CounterRecord(FencingToken.NONE, true, FIRST);

    private static final String FIRST_HIGHEST = "value";
    private static final String HIGHEST = "highest";
    private static final String BOUNDS = "bounds";
    private static final String FORMAT = "format";

    /** Throws {@link WireException} if it cannot be read, or is of a format that this version does not know. */
    public static CounterRecord read(Fields value) {
        boolean bounds = value.flag(BOUNDS, false);
        if (!value.has(FORMAT)) {
            return new CounterRecord(new FencingToken(value.wholeNumber(FIRST_HIGHEST)), bounds, FIRST);
        }
        long format = value.wholeNumber(FORMAT);
        if (format <= FIRST || format > KNOWN) {
            throw new WireException("the data format " + format + " is not known to this version of the program");
        }
        return new CounterRecord(new FencingToken(value.wholeNumber(HIGHEST)), bounds, (int) format);
    }

    /** {@link #NONE} if there is no counter. */
    static CounterRecord of(StateClient.Entry entry) {
        return entry == null ? NONE : read(entry.value());
    }

    /** The record as it is written. */
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

    /** The next leadership's, of no lower a format. */
    CounterRecord next(FencingToken token, int atLeast) {
        return new CounterRecord(token, startBounds, Math.max(format, atLeast));
    }

    /** As this leadership confirms that start bounds can be believed. */
    CounterRecord withStartBounds(FencingToken leader, int atLeast) {
        return new CounterRecord(leader, true, Math.max(format, atLeast));
    }

    CounterRecord raised() {
        return new CounterRecord(highest, startBounds, KNOWN);
    }
}
