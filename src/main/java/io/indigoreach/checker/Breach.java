package io.indigoreach.checker;

import java.util.List;

/** A rule that was broken: what happened, when, and what was seen that shows it. */
public record Breach(Rule rule, long atMs, String what, List<Event> shownBy) {
    /** The rules of the protocol, and those on which they rest. */
    public enum Rule {
        RAN_TWICE,
        QUOTA,
        WRONG_PLACE,
        RAN_CANCELLED,
        /** An answer to a heartbeat renewed the lease of a cancelled job's task for too long without stopping it. */
        RENEWED_CANCELLED,
        FORGOTTEN,
        INVENTED,
        NOT_DONE,
        WENT_BACK,
        NOTHING_RAN,
        /** A record was written without a condition on what it replaces. */
        BLIND_WRITE,
        /** Leadership was taken without a lease, without a condition, or without a higher token. */
        LEADERSHIP,
        /** Two processes acted under one token. */
        TOKEN_REUSED,
        /** A start was executed again after the worker had removed the attempt. */
        START_AFTER_REAP;

        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    @Override
    public String toString() {
        return String.format(java.util.Locale.ROOT, "%s at %.3f s: %s", rule.word(), atMs / 1000.0, what);
    }
}
