package io.indigoreach.core.records;

import java.util.Map;

/**
 * The records of an optional feature under one prefix, with the rules for loss detection, rebuilding and garbage
 * collection.
 *
 * @param prefix the prefix of the keys; ends in a slash and does not start with the prefix of another family
 * @param maxRemembered the maximum number of records that each controller keeps in memory in case the state service
 *     loses them
 * @param permanent whether the records are never deleted, so that a missing one shows a loss
 * @param mergeRule how to rebuild a lost record
 */
public record RecordFamily(String prefix, int maxRemembered, boolean permanent, MergeRule mergeRule) {
    /** Decides what to write if a remembered record is absent from the state service or differs there. */
    @FunctionalInterface
    public interface MergeRule {
        /** Writes the remembered record if it is newer than the present one. */
        MergeRule KEEP_NEWER =
                (present, remembered) -> present.version() < remembered.version() ? remembered.value() : null;

        /** Returns the value to write, with a version above those of both copies; null if the present record stays. */
        Map<String, Object> merge(VersionedRecord present, VersionedRecord remembered);
    }

    /** Checks that the prefix ends in a slash. */
    public RecordFamily {
        if (!prefix.endsWith("/")) {
            throw new IllegalArgumentException("the prefix of a record family must end in a slash: " + prefix);
        }
    }

    /** Whether a key belongs to this family. */
    public boolean contains(String key) {
        return key.startsWith(prefix);
    }
}
