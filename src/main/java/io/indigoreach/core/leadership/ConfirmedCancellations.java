package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * The cancellations that a node has told users of, the newest ones, for a leader that cannot hear of them from the state service.
 * A process knows nothing of what its predecessor told, so it answers for no time before it began.
 */
public final class ConfirmedCancellations {
    /** What fits into one answer; more are told within an outage's first seconds by no state service that we know of. */
    public static final int MAX_REMEMBERED = 1000;

    private record ConfirmedCancellation(JobId job, Moment at) {}

    private final ArrayDeque<ConfirmedCancellation> confirmed = new ArrayDeque<>();
    /** All told after this moment are kept. */
    private Moment since;

    public ConfirmedCancellations(Moment began) {
        since = began;
    }

    /** This node has learnt that the job is cancelled, and tells or will tell so. */
    public void add(JobId job, Moment now) {
        confirmed.addLast(new ConfirmedCancellation(job, now));
        if (confirmed.size() > MAX_REMEMBERED) {
            since = confirmed.removeFirst().at;
        }
    }

    /** What was told in the last {@code asked}, or as far back as is known. */
    public CancellationSummary summary(Span asked, Moment now) {
        Span known = now.since(since);
        Span covered = asked.compareTo(known) < 0 ? asked : known;
        Set<JobId> jobs = new HashSet<>();
        for (ConfirmedCancellation t : confirmed) {
            if (now.since(t.at).compareTo(covered) <= 0) {
                jobs.add(t.job);
            }
        }
        return new CancellationSummary(jobs, covered);
    }

    /** For how long none was told. */
    public Span timeSinceLast(Moment now) {
        return now.since(confirmed.isEmpty() ? since : confirmed.getLast().at);
    }
}
