package io.indigoreach.core.ownership;

import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.VersionedRecord;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Where records lie. A group's pages form a tree by the bits of a hash of the record's id; that a page was divided is never
 * undone, so it may be remembered without being asked for again.
 *
 * <p>The registry's root says for which era absence means free. It is begun by a person, never by itself: where everything was
 * lost and nobody remembers, nobody could tell a new registry from a lost one. After a loss the era is later than the root's, and
 * what is not known to be newer than the loss is in doubt until a person has compared it and says so.
 */
public final class Registry {
    static final String PAGES = "own/p/";
    static final String CLAIMS = "own/c/";
    static final String ROOTS = "own/r/";
    static final String ROOT = ROOTS + "root";
    /** A leader's token, which an era is, has its seconds from the sixth bit on; a fence leaves 16 more for counting. */
    private static final int COUNTED = 16;

    private static final int NODE_BITS = 5;
    private static final long BEGINNING_S = 1_577_836_800L;
    private static final int SPLITS_KEPT = 50_000;
    /** Pages of up to 5 KB, as one text each: 4 MB at most. */
    private static final int PAGES_KEPT = 800;

    private static final int CLAIMS_KEPT = 400;

    /** A billing in either copy is true whatever was written after it. */
    private static final RecordFamily.MergeRule PAGE = (present, remembered) -> {
        if (present.version() >= remembered.version()) {
            Page there = Page.read(present.value());
            Page both = there.and(Page.read(remembered.value()));
            return both.equals(there) ? null : counted(both, present, remembered);
        }
        return counted(Page.read(remembered.value()).and(Page.read(present.value())), present, remembered);
    };

    public static final List<RecordFamily> FAMILIES = List.of(
            new RecordFamily(PAGES, PAGES_KEPT, true, PAGE),
            new RecordFamily(CLAIMS, CLAIMS_KEPT, false, RecordFamily.MergeRule.KEEP_NEWER),
            new RecordFamily(ROOTS, 1, true, RecordFamily.MergeRule.KEEP_NEWER));

    /**
     * The registry's beginning.
     *
     * @param era the latest for which absence means free
     * @param base fences are above it, whatever was lost before
     * @param reason as a person gave it
     */
    record Root(long era, long base, String reason) {
        static Root read(Map<String, Object> value) {
            return new Root(((Number) value.get("e")).longValue(), ((Number) value.get("f")).longValue(), (String)
                    value.get("y"));
        }

        Map<String, Object> write() {
            Map<String, Object> value = new LinkedHashMap<>();
            value.put("e", era);
            value.put("f", base);
            value.put("y", reason);
            return value;
        }
    }

    private final ToLongFunction<String> hash;
    private final Set<String> divided = new HashSet<>();
    private Root root;
    private long seenIn;

    public Registry(ToLongFunction<String> hash) {
        this.hash = hash;
    }

    private static Map<String, Object> counted(Page page, VersionedRecord present, VersionedRecord remembered) {
        Map<String, Object> value = page.write();
        value.put(VersionedRecord.VERSION_FIELD, Math.max(present.version(), remembered.version()) + 1);
        return value;
    }

    static String claimKey(String holder) {
        return CLAIMS + holder;
    }

    static String pagesOf(String group) {
        return PAGES + group + "/";
    }

    /** The smallest page that is known to hold a record. */
    String leaf(RecordId id) {
        StringBuilder key = new StringBuilder(pagesOf(id.group())).append('r');
        long bits = hash.applyAsLong(id.text());
        for (int n = 0; divided.contains(key.toString()); n++) {
            key.append(bits >>> (63 - n) & 1);
        }
        return key.toString();
    }

    /** Records that lie on one page follow each other: what comes in parts, in this order, writes each page once or twice. */
    public Comparator<RecordId> order() {
        return Comparator.comparing(RecordId::group)
                .thenComparing((a, b) -> Long.compareUnsigned(hash.applyAsLong(a.text()), hash.applyAsLong(b.text())));
    }

    /** On which half of a page that is divided a record lies. */
    String half(String key, String id) {
        int depth = key.length() - key.lastIndexOf('/') - 2;
        return key + (hash.applyAsLong(id) >>> (63 - depth) & 1);
    }

    void isDivided(String key) {
        if (divided.size() >= SPLITS_KEPT) {
            divided.clear();
        }
        divided.add(key);
    }

    /** The root as it stands in this era; null if it must be read. Once it covers the era, it stays so. */
    Root root(long era) {
        return seenIn == era && root != null && root.era >= era ? root : null;
    }

    void saw(Root read, long era) {
        if (era != seenIn) {
            divided.clear();
        }
        root = read;
        seenIn = era;
    }

    /** The base of fences that are given in an era. */
    static long base(Root root, long era) {
        return Math.max(root.base, era << COUNTED);
    }

    /** Said after the loss that this era mended. */
    static boolean isOf(long era, long fence) {
        return fence >= era << COUNTED;
    }

    /** Where a registry begins: like a token by the time of day, as everything else may have been lost. */
    static long baseOf(long timeOfDayMs) {
        return Math.max(0, timeOfDayMs / 1000 - BEGINNING_S) << (NODE_BITS + COUNTED);
    }
}
