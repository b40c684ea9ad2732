package io.indigoreach.warm;

import io.indigoreach.core.records.RecordFamily;
import java.util.List;

/** The keys of pools and accounts. */
public final class PoolRecords {
    static final String POOLS = "warm/pool/";
    /** Pages of machines' lines and sums, numbered from 0 without a gap. */
    static final String SHEETS = "warm/sheet/";
    /** How the leader says that pools stand. */
    static final String TOLD = "warm/told/";
    /** What was learned of their bursts. */
    static final String SEEN = "warm/seen/";

    public static final List<RecordFamily> FAMILIES = List.of(
            new RecordFamily(POOLS, 300, true, RecordFamily.MergeRule.KEEP_NEWER),
            new RecordFamily(SHEETS, 300, true, RecordFamily.MergeRule.KEEP_NEWER),
            new RecordFamily(TOLD, 0, false, RecordFamily.MergeRule.KEEP_NEWER),
            new RecordFamily(SEEN, 100, false, RecordFamily.MergeRule.KEEP_NEWER));

    private PoolRecords() {}

    static String sheet(int n) {
        return SHEETS + String.format("%04d", n);
    }

    static int sheetOf(String key) {
        return Integer.parseInt(key.substring(SHEETS.length()));
    }
}
