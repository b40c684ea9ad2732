package io.indigoreach.core.ownership;

/**
 * How a record stands, its claim's own record and losses of data taken into account.
 *
 * @param entry what its page says; null if nothing
 * @param claim of a claimed record the claim's own record
 */
record Look(RecordId id, Standing standing, Entry entry, Claim claim) {
    enum Standing {
        /** Not known in this era: it may have been lost with what was claimed or billed. */
        UNKNOWN,
        FREE,
        /** Named by a claim that is not decided yet. */
        PREPARED,
        CLAIMED,
        BILLING,
        BILLED,
        DOUBT;

        String word() {
            return this == DOUBT
                    ? "in doubt"
                    : this == PREPARED ? "being claimed" : name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Whether the holder, or this task of it, has it; free ones that it claimed once are not its own any more. */
    boolean isOf(String holder, String task) {
        return standing != Standing.UNKNOWN && standing != Standing.FREE && entry.isOf(holder, task);
    }

    /** For a person: the record, how it stands, by whom and since when. */
    String words() {
        String by = standing == Standing.UNKNOWN || standing == Standing.FREE
                ? ""
                : (standing == Standing.DOUBT ? ", last by " : " by ") + entry.billingName() + " since "
                        + entry.sinceMs() / 1000;
        return id + " is " + standing.word() + by;
    }
}
