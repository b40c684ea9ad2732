package io.indigoreach.core.records;

import java.util.Map;

/**
 * The records of an optional feature under one prefix, as loss detection, rebuilding and garbage collection treat them.
 *
 * @param prefix ends in a slash; none may begin with another's
 * @param remembered how many of them each controller remembers at most, for when the state service loses them
 * @param permanent they are never removed: that one is gone, or older than a copy, shows a loss
 * @param mending what to write in place of a lost record
 */
public record RecordFamily(String prefix, int maxRemembered, boolean permanent, MergeRule mergeRule) {
    /** What is written where controllers remember a record that is absent or another in the state service. */
    @FunctionalInterface
    public interface MergeRule {
        /** The newer copy, where that is the remembered one. */
        MergeRule KEEP_NEWER =
                (present, remembered) -> present.version() < remembered.version() ? remembered.value() : null;

        /** The value to be written, counting on from both; null if what is there stays. */
        Map<String, Object> merge(VersionedRecord present, VersionedRecord remembered);
    }

    /** Checks that the prefix ends in a slash. */
    public RecordFamily {
        if (!prefix.endsWith("/")) {
            throw new IllegalArgumentException("a prefix ends in a slash: " + prefix);
        }
    }

    /** Whether a key is of this family. */
    public boolean contains(String key) {
        return key.startsWith(prefix);
    }
}
