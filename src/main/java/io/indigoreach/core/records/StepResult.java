package io.indigoreach.core.records;

import io.indigoreach.core.model.Revision;
import java.util.List;
import java.util.Map;

/**
 * The result of a {@link Step}.
 *
 * @param era the era in which the step was executed; records of an earlier era may have been lost and not rebuilt
 * @param timeOfDayMs the time of day by this node's clock, which may be off by up to the bound in the settings
 * @param records the records by key: all that were to be read, including absent ones, or those that a scan found, in key order
 * @param hasMore whether more records follow those of a scan
 * @param writtenRevision the revision of the transaction if one was executed, otherwise null
 * @param failedKeys the keys whose revision did not meet the conditions of a rejected transaction
 */
public record StepResult(
        long era,
        long timeOfDayMs,
        Map<String, VersionedRecord> records,
        boolean hasMore,
        Revision writtenRevision,
        List<String> failedKeys) {
    /** Returns the empty result that precedes the first step. */
    public static StepResult empty(long era, long timeOfDayMs) {
        return new StepResult(era, timeOfDayMs, Map.of(), false, null, List.of());
    }

    /** Returns the record of a key; an absent record if it was not read. */
    public VersionedRecord record(String key) {
        return records.getOrDefault(key, VersionedRecord.absent(key));
    }

    /** Whether the step was a write that was executed. */
    public boolean isWritten() {
        return writtenRevision != null;
    }
}
