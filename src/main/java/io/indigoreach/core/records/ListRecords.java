package io.indigoreach.core.records;

import java.util.ArrayList;
import java.util.List;

/** Reads all records with a prefix, page by page. The result may be slightly stale. */
public final class ListRecords implements Routine<List<VersionedRecord>> {
    private static final int PAGE_SIZE = 50;

    private final String prefix;
    private final List<VersionedRecord> found = new ArrayList<>();
    private boolean started;

    /** {@code prefix}: the prefix of the keys to read. */
    public ListRecords(String prefix) {
        this.prefix = prefix;
    }

    @Override
    public Step<List<VersionedRecord>> next(StepResult result) {
        found.addAll(result.records().values());
        if (started && !result.hasMore()) {
            return new Step.End<>(found);
        }
        started = true;
        return new Step.Scan<>(
                prefix, found.isEmpty() ? null : found.get(found.size() - 1).key(), PAGE_SIZE);
    }
}
