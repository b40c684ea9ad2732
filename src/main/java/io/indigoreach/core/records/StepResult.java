package io.indigoreach.core.records;

import io.indigoreach.core.model.Revision;
import java.util.List;
import java.util.Map;

/**
 * What the last {@link Step} brought.
 *
 * @param era the era in which this was seen; records of an earlier one may be gone without having been rebuilt
 * @param timeOfDayMs by this node's clock, which may be off by the settings' bound
 * @param records by key: what was read, absent ones included, or what a scan brought, in the order of the keys
 * @param more a scan has more to bring
 * @param written the version of what was written; null if nothing was
 * @param failed the keys that did not have the given version when a write was refused
 */
public record StepResult(
        long era,
        long timeOfDayMs,
        Map<String, VersionedRecord> records,
        boolean hasMore,
        Revision writtenRevision,
        List<String> failedKeys) {
    /** The result before the first step. */
    public static StepResult empty(long era, long timeOfDayMs) {
        return new StepResult(era, timeOfDayMs, Map.of(), false, null, List.of());
    }

    /** The record of a key; an absent one if it was not read. */
    public VersionedRecord record(String key) {
        return records.getOrDefault(key, VersionedRecord.absent(key));
    }

    /** Whether the last step was a write that was executed. */
    public boolean isWritten() {
        return writtenRevision != null;
    }
}
