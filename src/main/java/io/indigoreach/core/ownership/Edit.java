package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Step;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of single records: each is allowed or refused by itself, and those that stand as asked already are left. So a repeat
 * gets the same answer, whoever asked first and however far it came.
 */
public final class Edit extends Work<Outcome> {
    /** What is asked of each record. */
    private interface Ask {
        Verdict on(Look look);
    }

    /** Refused with a line; or it stands already; or what it becomes. */
    private record Verdict(String refusal, Become next) {
        static final Verdict STANDS = new Verdict(null, null);

        static Verdict refused(Look look, String why) {
            return new Verdict(look.words() + (why.isEmpty() ? "" : ": " + why), null);
        }

        static Verdict becomes(Become next) {
            return new Verdict(null, next);
        }
    }

    private final Collection<RecordId> ids;
    private Ask ask;

    private Edit(Registry registry, int most, Collection<RecordId> ids) {
        super(registry, most, ids);
        this.ids = ids;
    }

    /**
     * The first step, before the effect: from now on nobody else gets the record. A later attempt of the same task, or the same
     * run, goes on under the same name with a higher fence; an earlier one is refused.
     */
    public static Edit billing(
            Registry registry, int most, String holder, String task, long attempt, Collection<RecordId> ids) {
        Edit edit = new Edit(registry, most, ids);
        edit.ask = look -> {
            if (!look.isOf(holder, task) || look.standing() == Look.Standing.PREPARED) {
                return Verdict.refused(look, "it is not claimed for " + holder + (task.isEmpty() ? "" : "/" + task));
            }
            Entry e = look.entry();
            return switch (look.standing()) {
                case BILLED -> Verdict.STANDS;
                case CLAIMED -> Verdict.becomes(fence -> e.begun(e.fence(), attempt, edit.now()));
                default ->
                    look.standing() == Look.Standing.BILLING && e.attempt() == attempt
                            ? Verdict.STANDS
                            : e.attempt() > attempt
                                    ? Verdict.refused(look, "attempt " + attempt + " was replaced by " + e.attempt())
                                    : Verdict.becomes(fence -> e.begun(fence, attempt, edit.now()));
            };
        };
        return edit;
    }

    /** The second step, after the effect: final. {@code fences} are those that the first step gave. */
    public static Edit billed(
            Registry registry, int most, String holder, String task, long attempt, Map<RecordId, Long> fences) {
        Edit edit = new Edit(registry, most, fences.keySet());
        edit.ask = look -> {
            if (!look.isOf(holder, task)) {
                return Verdict.refused(look, "it is not claimed for " + holder + (task.isEmpty() ? "" : "/" + task));
            }
            return switch (look.standing()) {
                case BILLED -> Verdict.STANDS;
                case BILLING, DOUBT ->
                    look.entry().attempt() == attempt && look.entry().fence() == fences.get(look.id())
                            ? Verdict.becomes(fence -> look.entry().as(Entry.State.BILLED, edit.now()))
                            : Verdict.refused(
                                    look,
                                    "fence " + fences.get(look.id()) + " was replaced by "
                                            + look.entry().fence());
                default -> Verdict.refused(look, "billing comes first");
            };
        };
        return edit;
    }

    /** Gives back what was not begun. */
    public static Edit release(Registry registry, int most, String holder, Collection<RecordId> ids) {
        Edit edit = new Edit(registry, most, ids);
        edit.ask = look -> switch (look.standing()) {
            case CLAIMED ->
                !look.entry().holder().equals(holder)
                        ? Verdict.STANDS
                        : edit.isDoubtful(look.entry())
                                ? Verdict.becomes(fence -> look.entry().as(Entry.State.DOUBT, edit.now()))
                                : Verdict.becomes(fence -> null);
            case BILLING, BILLED ->
                look.entry().holder().equals(holder) ? Verdict.refused(look, "it was begun") : Verdict.STANDS;
            default -> Verdict.STANDS;
        };
        return edit;
    }

    /**
     * A person says how a record stands, and why; what is billed stays so. What was or may have been begun is put in doubt
     * first, in the person's name: its fence then keeps whoever began it from going on while the books are looked at.
     *
     * @param state free, billed or in doubt
     * @param reason who, and why: text with a space
     */
    public static Edit resolve(
            Registry registry, int most, Entry.State state, String reason, Collection<RecordId> ids) {
        Edit edit = new Edit(registry, most, ids);
        edit.ask = look -> {
            Entry e = look.entry();
            if (e != null && e.state() == state && e.holder().equals(reason)) {
                return Verdict.STANDS;
            }
            return switch (look.standing()) {
                case BILLED -> Verdict.refused(look, "that is final");
                case FREE -> state == Entry.State.FREE ? Verdict.STANDS : edit.says(state, reason);
                case UNKNOWN, BILLING, DOUBT ->
                    state == Entry.State.DOUBT
                                    || (e != null && e.isSaidByPerson() && look.standing() == Look.Standing.DOUBT)
                            ? edit.says(state, reason)
                            : Verdict.refused(look, "resolve it as doubt first, then compare it with the books");
                default -> edit.says(state, reason);
            };
        };
        return edit;
    }

    private Verdict says(Entry.State state, String reason) {
        return Verdict.becomes(fence -> new Entry(state, fence, reason, "", 0, now()));
    }

    /** How records stand, each on a line. */
    public static Work<Map<RecordId, Shown>> show(Registry registry, Collection<RecordId> ids) {
        return new Work<>(registry, 0, ids) {
            @Override
            Step<Map<RecordId, Shown>> plan() {
                Map<RecordId, Shown> shown = new LinkedHashMap<>();
                for (RecordId id : ids) {
                    Look look = look(id);
                    shown.put(id, Shown.of(look));
                }
                return new Step.End<>(shown);
            }
        };
    }

    /** Said before a loss: what came after it may be lost. */
    private boolean isDoubtful(Entry e) {
        return root().era() < era() && !Registry.isOf(era(), e.fence());
    }

    @Override
    Step<Outcome> plan() {
        Map<RecordId, Become> wanted = new LinkedHashMap<>();
        Map<RecordId, Entry> done = new LinkedHashMap<>();
        List<String> against = new ArrayList<>();
        for (RecordId id : ids) {
            Look look = look(id);
            Verdict verdict = ask.on(look);
            if (verdict.refusal != null) {
                against.add(verdict.refusal);
            } else if (verdict.next != null) {
                wanted.put(id, verdict.next);
            } else if (look.entry() != null) {
                done.put(id, look.entry());
            }
        }
        return wanted.isEmpty() ? new Step.End<>(Outcome.of(done, against)) : new Step.Write<>(batch(wanted, 0).change);
    }
}
