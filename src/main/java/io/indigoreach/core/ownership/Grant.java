package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.Transaction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A job's records. With the acceptance it claims, prepared here and committed by the acceptance's own transaction, what no other
 * has; the tasks that need the rest are held, and the leader asks again for them later. A task gets all of its records or none:
 * were it to keep some while it waits for others, two jobs could wait for each other for ever.
 */
public final class Grant extends Work<Grant.Given> {
    /**
     * How a job stands with its records.
     *
     * @param commit what makes them its own, to be written with the acceptance; empty if there is nothing to be done
     * @param held its tasks that wait
     * @param against whom they wait for, some lines
     * @param never records that others have billed: the job can never run whole
     */
    public record Given(Transaction commit, BitSet held, List<String> against, List<String> never) {}

    private static final int MOST_LINES = 10;

    private final String job;
    private final JobRecords records;
    private final BitSet done;
    private final boolean accepting;

    /**
     * @param done its tasks that need nothing any more
     * @param accepting the job is about to be accepted; else it is open, and its leader asks
     */
    public Grant(Registry registry, int most, String job, JobRecords records, BitSet done, boolean accepting) {
        super(registry, most, records.list());
        this.job = job;
        this.records = records;
        this.done = done;
        this.accepting = accepting;
    }

    @Override
    List<String> others() {
        return List.of(Registry.claimKey(job));
    }

    @Override
    Step<Given> plan() {
        Claim known = claim(job);
        // A claim that gave way is begun anew: what pages say of it from before counts no more.
        // So is one that was lost: whoever else had a record would have put its own name in place of this job's.
        Claim begun = known == null || known.state() == Claim.State.ENDED ? Claim.begun(known, now()) : known;
        Claim mine = begun.in(accepting ? begun.state() : Claim.State.HELD, now());
        BitSet held = new BitSet();
        List<String> against = new ArrayList<>();
        List<String> never = new ArrayList<>();
        Map<RecordId, Become> wanted = new LinkedHashMap<>();
        Set<RecordId> added = new HashSet<>();
        for (int task = 0; task < records.tasks(); task++) {
            if (done.get(task)) {
                continue;
            }
            List<RecordId> free = new ArrayList<>();
            List<RecordId> own = new ArrayList<>();
            boolean all = true;
            for (RecordId id : records.of(task)) {
                Look look = look(id);
                if (look.isOf(job, Integer.toString(task))) {
                    own.add(id);
                } else if (look.standing() == Look.Standing.FREE) {
                    free.add(id);
                } else {
                    all = false;
                    List<String> lines = look.standing() == Look.Standing.BILLED ? never : against;
                    if (lines.size() < MOST_LINES) {
                        lines.add(look.words());
                    }
                }
            }
            held.set(task, !all);
            String name = Integer.toString(task);
            if (all) {
                free.forEach(id -> wanted.put(id, fence -> Entry.claimed(fence, job, name, mine, now())));
                added.addAll(free);
            } else {
                own.stream()
                        .filter(id -> look(id).entry().state() == Entry.State.CLAIMED)
                        .forEach(id -> wanted.put(id, fence -> null));
            }
        }
        if (accepting && known != null && known.state() == Claim.State.HELD) {
            return end(new Transaction(), held, against, List.of());
        }
        if (accepting && !never.isEmpty()) {
            return known == null || known.state() == Claim.State.ENDED
                    ? end(new Transaction(), held, against, never)
                    : new Step.Write<>(new Transaction()
                            .replace(
                                    kept(Registry.claimKey(job)),
                                    known.ended(never, now()).write()));
        }
        if (known != null && wanted.isEmpty() && known.state() == (accepting ? Claim.State.OPEN : Claim.State.HELD)) {
            return end(
                    accepting
                            ? new Transaction()
                                    .replace(
                                            kept(Registry.claimKey(job)),
                                            known.in(Claim.State.HELD, now()).write())
                            : new Transaction(),
                    held,
                    against,
                    never);
        }
        Batch batch = batch(wanted, 1);
        batch.change.replace(
                kept(Registry.claimKey(job)),
                mine.with(
                                (int) batch.records.stream()
                                        .filter(added::contains)
                                        .count(),
                                batch.records.stream().map(RecordId::group).toList())
                        .write());
        return new Step.Write<>(batch.change);
    }

    private static Step<Given> end(Transaction commit, BitSet held, List<String> against, List<String> never) {
        return new Step.End<>(new Given(commit, held, against, never));
    }
}
