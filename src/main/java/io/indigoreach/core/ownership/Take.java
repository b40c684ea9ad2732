package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An export run claims records, all or none, in as many requests as it takes; with the last one they become its own. A claim that
 * meets another's records ends; where both are still being prepared the older one goes on, so that no two wait for each other.
 * The claim's own record is written with each of its writes: one that comes late finds another version and does nothing.
 */
public final class Take extends Work<Outcome> {
    private static final int MOST_LINES = 5;

    private final String run;
    private final Collection<RecordId> ids;
    private final boolean last;

    /** @param last nothing is to be added after these */
    public Take(Registry registry, int most, String run, Collection<RecordId> ids, boolean last) {
        super(registry, most, ids);
        this.run = run;
        this.ids = ids;
        this.last = last;
    }

    @Override
    List<String> others() {
        return List.of(Registry.claimKey(run));
    }

    @Override
    Step<Outcome> plan() {
        Claim known = claim(run);
        Claim mine = known == null ? Claim.begun(null, now()) : known;
        if (mine.state() == Claim.State.ENDED) {
            return new Step.End<>(Outcome.refused(mine.reason()));
        }
        List<String> against = new ArrayList<>();
        Map<RecordId, Become> wanted = new LinkedHashMap<>();
        Map<RecordId, Entry> done = new LinkedHashMap<>();
        for (RecordId id : ids) {
            Look look = look(id);
            if (look.isOf(run, "")) {
                done.put(id, look.entry());
            } else if (look.standing() == Look.Standing.FREE) {
                wanted.put(id, fence -> Entry.claimed(fence, run, "", mine, now()));
            } else if (look.standing() == Look.Standing.PREPARED) {
                if (!mine.isOlderThan(look.claim(), run, look.entry().holder())) {
                    return new Step.End<>(Outcome.waiting(look.words()));
                }
                return new Step.Write<>(new Transaction()
                        .replace(
                                kept(Registry.claimKey(look.entry().holder())),
                                look.claim()
                                        .ended(List.of("gave way to the older claim of " + run), now())
                                        .write()));
            } else if (against.size() < MOST_LINES) {
                against.add(look.words());
            }
        }
        if (mine.state() == Claim.State.HELD) {
            return new Step.End<>(
                    wanted.isEmpty() && against.isEmpty()
                            ? Outcome.of(done, against)
                            : Outcome.refused(List.of("the claim of " + run + " was concluded without some of these")));
        }
        if (!against.isEmpty()) {
            return write(new Batch(), mine.ended(against, now()));
        }
        if (wanted.isEmpty() && known != null && !last) {
            return new Step.End<>(Outcome.of(done, against));
        }
        Batch batch = batch(wanted, 1);
        Claim next = mine.with(
                batch.records.size(),
                batch.records.stream().map(RecordId::group).toList());
        return write(batch, next.in(last && batch.whole ? Claim.State.HELD : Claim.State.OPEN, now()));
    }

    private Step<Outcome> write(Batch batch, Claim next) {
        batch.change.replace(kept(Registry.claimKey(run)), next.write());
        return new Step.Write<>(batch.change);
    }
}
