package io.indigoreach.core.ownership;

/**
 * A record as people are shown it.
 *
 * @param state free, claimed, being claimed, billing, billed, in doubt or unknown
 * @param name under which it is billed; what a person said, where one did
 * @param sinceMs time of day
 */
public record Shown(String state, String name, long fence, long attempt, long sinceMs) {
    static Shown of(Look look) {
        Entry e = look.entry();
        boolean nobody = e == null
                || look.standing() == Look.Standing.UNKNOWN
                || (look.standing() == Look.Standing.FREE && e.state() != Entry.State.FREE);
        return nobody
                ? new Shown(look.standing().word(), "", e == null ? 0 : e.fence(), 0, 0)
                : new Shown(
                        look.standing().word(),
                        e.billingName(),
                        e.fence(),
                        e.state() == Entry.State.CLAIMED ? 0 : e.attempt(),
                        e.sinceMs());
    }
}
