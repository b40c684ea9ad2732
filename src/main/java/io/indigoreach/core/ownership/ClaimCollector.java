package io.indigoreach.core.ownership;

import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.GarbageCollector;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * The leader's clean-up: ends claims that nobody prepares any more and those of jobs that are over, takes what ended claims had
 * not begun off the pages, puts what they had begun in doubt, and forgets ended claims after a week, when no repeat comes. It may
 * stop after any write; the next round begins from the claims again. A held claim of an export is never ended here.
 */
public final class ClaimCollector implements GarbageCollector {
    private static final long PREPARED_MS = 60_000;
    /** Of a run, whose claim takes several requests. */
    private static final long RUN_PREPARED_MS = 600_000;

    private static final long KEPT_MS = 7 * 24 * 3_600_000L;
    private static final Span SOON = Span.seconds(0.2);
    private static final Span LATER = Span.seconds(5);
    private static final int CLAIMS = 200;
    private static final int PAGES = 40;

    /** Where jobs' records stand: what part A and the leader write, and nobody else. */
    public record Jobs(Predicate<String> isJob, UnaryOperator<String> open, UnaryOperator<String> over) {}

    private final Jobs jobs;
    private String after;

    public ClaimCollector(Jobs jobs) {
        this.jobs = jobs;
    }

    @Override
    public Routine<Span> newRound() {
        return new Round();
    }

    /** Brings each of some claims as far as it can be brought. */
    private final class Round implements Routine<Span> {
        private enum Phase {
            BEGIN,
            LISTED,
            JOB_OPEN,
            JOB_OVER,
            ROOT,
            PAGES,
            PAGE_WRITTEN,
            CLAIM_WRITTEN
        }

        private final Deque<VersionedRecord> claims = new ArrayDeque<>();
        private final Deque<String> prefixes = new ArrayDeque<>();
        private Phase phase = Phase.BEGIN;
        private boolean more;
        private VersionedRecord at;
        private String name;
        private Claim claim;
        private Registry.Root root;
        private String pageAfter;

        @Override
        public Step<Span> next(StepResult seen) {
            switch (phase) {
                case BEGIN:
                    phase = Phase.LISTED;
                    return new Step.Scan<>(Registry.CLAIMS, after, CLAIMS);
                case LISTED:
                    claims.addAll(seen.records().values());
                    more = seen.hasMore() && !claims.isEmpty();
                    after = more ? claims.getLast().key() : null;
                    return nextClaim(seen);
                case JOB_OPEN:
                    return seen.record(jobs.open.apply(name)).exists()
                            ? nextClaim(seen)
                            : read(Phase.JOB_OVER, jobs.over.apply(name));
                case JOB_OVER:
                    return seen.record(jobs.over.apply(name)).exists()
                            ? write(claim.ended(List.of("its job is over"), seen.timeOfDayMs()))
                            : nextClaim(seen);
                case ROOT:
                    if (!seen.record(Registry.ROOT).exists()) {
                        return new Step.End<>(LATER);
                    }
                    root = Registry.Root.read(seen.record(Registry.ROOT).value());
                    return scan(seen);
                case PAGES:
                    return clean(seen);
                case PAGE_WRITTEN:
                    // Refused: the page or the claim has changed; the next round looks at both again.
                    return seen.isWritten() ? scan(seen) : nextClaim(seen);
                default:
                    return nextClaim(seen);
            }
        }

        private Step<Span> nextClaim(StepResult seen) {
            while (!claims.isEmpty()) {
                at = claims.poll();
                name = at.key().substring(Registry.CLAIMS.length());
                claim = Claim.read(at.value());
                long idle = seen.timeOfDayMs() - claim.touchedMs();
                boolean job = jobs.isJob.test(name);
                if (claim.state() == Claim.State.OPEN && idle > (job ? PREPARED_MS : RUN_PREPARED_MS)) {
                    return write(claim.ended(List.of("not concluded in time"), seen.timeOfDayMs()));
                }
                if (claim.state() == Claim.State.HELD && job) {
                    return read(Phase.JOB_OPEN, jobs.open.apply(name));
                }
                if (claim.state() == Claim.State.ENDED && !claim.clean()) {
                    prefixes.clear();
                    pageAfter = null;
                    if (claim.groups() == null) {
                        prefixes.add(Registry.PAGES);
                    } else {
                        claim.groups().forEach(g -> prefixes.add(Registry.pagesOf(g)));
                    }
                    return read(Phase.ROOT, Registry.ROOT);
                }
                if (claim.state() == Claim.State.ENDED && idle > KEPT_MS) {
                    phase = Phase.CLAIM_WRITTEN;
                    return new Step.Write<>(new Transaction().when(at).delete(at.key()));
                }
            }
            return new Step.End<>(more ? SOON : LATER);
        }

        private Step<Span> read(Phase next, String key) {
            phase = next;
            return new Step.Read<>(List.of(key));
        }

        private Step<Span> write(Claim next) {
            phase = Phase.CLAIM_WRITTEN;
            return new Step.Write<>(new Transaction().replace(at, next.write()));
        }

        /** The next pages; when there are none, no page names the claim any more. */
        private Step<Span> scan(StepResult seen) {
            if (prefixes.isEmpty()) {
                return write(claim.cleaned(seen.timeOfDayMs()));
            }
            phase = Phase.PAGES;
            return new Step.Scan<>(prefixes.peek(), pageAfter, PAGES);
        }

        private Step<Span> clean(StepResult seen) {
            for (VersionedRecord kept : seen.records().values()) {
                Page page = Page.read(kept.value());
                Map<String, Entry> cleaned = cleaned(page, seen);
                if (!cleaned.isEmpty()) {
                    phase = Phase.PAGE_WRITTEN;
                    return new Step.Write<>(new Transaction()
                            .replace(kept, page.with(cleaned).write())
                            .when(at));
                }
                pageAfter = kept.key();
            }
            if (!seen.hasMore()) {
                prefixes.poll();
                pageAfter = null;
            }
            return scan(seen);
        }

        /** What the ended claim left on a page, and what becomes of it. */
        private Map<String, Entry> cleaned(Page page, StepResult seen) {
            Map<String, Entry> cleaned = new LinkedHashMap<>();
            page.entries().forEach((id, e) -> {
                boolean old = root.era() < seen.era() && !Registry.isOf(seen.era(), e.fence());
                if (e.holder().equals(name)
                        && (e.state() == Entry.State.BILLING || (e.state() == Entry.State.CLAIMED && old))) {
                    cleaned.put(id, e.as(Entry.State.DOUBT, seen.timeOfDayMs()));
                } else if (e.holder().equals(name) && e.state() == Entry.State.CLAIMED) {
                    cleaned.put(id, null);
                }
            });
            return cleaned;
        }
    }
}
