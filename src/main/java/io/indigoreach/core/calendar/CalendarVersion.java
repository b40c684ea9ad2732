package io.indigoreach.core.calendar;

import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Which version of the calendar is in force. Its text stands in pieces under its digest: two edits at once write different
 * keys, or the same text. Texts are never removed, so that it stays known by what an occurrence was decided.
 */
public final class CalendarVersion {
    public static final String KEY = "cal/head/now";
    public static final RecordFamily FAMILY = new RecordFamily("cal/head/", 1, true, RecordFamily.MergeRule.KEEP_NEWER);
    private static final String TEXTS = "cal/text/";
    /** Pieces that a controller remembers: the version in force, and a few before it. */
    public static final RecordFamily TEXT_FAMILY = new RecordFamily(TEXTS, 40, true, RecordFamily.MergeRule.KEEP_NEWER);

    private static final int VERSIONS = 40;

    /**
     * One version.
     *
     * @param at when it was set, in milliseconds since 1970
     * @param note why, by whoever set it
     */
    public record Version(int number, String digest, int pieces, long at, String note) {
        List<String> keys() {
            List<String> keys = new ArrayList<>();
            for (int i = 0; i < pieces; i++) {
                keys.add(TEXTS + digest + "/" + i);
            }
            return keys;
        }
    }

    private final VersionedRecord read;

    public CalendarVersion(VersionedRecord read) {
        this.read = read;
    }

    /** The newest first; none if no calendar was ever set. */
    public List<Version> versions() {
        List<Version> out = new ArrayList<>();
        if (read.exists()) {
            for (Object row : (List<?>) read.value().get("versions")) {
                List<?> r = (List<?>) row;
                out.add(new Version(
                        (int) whole(r.get(0)), (String) r.get(1), (int) whole(r.get(2)), whole(r.get(3)), (String)
                                r.get(4)));
            }
        }
        return out;
    }

    public int number() {
        return versions().isEmpty() ? 0 : versions().get(0).number();
    }

    /** Puts a version in force, if this is still the newest. */
    Transaction with(Version next) {
        List<Object> rows = new ArrayList<>();
        rows.add(row(next));
        versions().stream().limit(VERSIONS - 1).forEach(v -> rows.add(row(v)));
        return new Transaction().replace(read, Map.of("versions", rows));
    }

    private static List<Object> row(Version v) {
        return List.of((long) v.number(), v.digest(), (long) v.pieces(), v.at(), v.note());
    }

    private static long whole(Object number) {
        return ((Number) number).longValue();
    }
}
