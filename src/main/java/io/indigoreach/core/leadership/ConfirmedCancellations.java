package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * The latest cancellations that this node has confirmed to users, for a leader that the state service does not answer. A process does not know
 * what its predecessor confirmed, so its reports cover no time before it began.
 */
public final class ConfirmedCancellations {
    /** As many as fit into one answer; no known state service confirms more within the first seconds of an outage. */
    public static final int MAX_REMEMBERED = 1000;

    private record ConfirmedCancellation(JobId job, Moment confirmedAt) {}

    private final ArrayDeque<ConfirmedCancellation> confirmed = new ArrayDeque<>();
    /** All that were confirmed after this moment are kept. */
    private Moment coveredSince;

    public ConfirmedCancellations(Moment startedAt) {
        coveredSince = startedAt;
    }

    /** This node knows that the job is cancelled, and reports it to users from now on. */
    public void add(JobId job, Moment now) {
        confirmed.addLast(new ConfirmedCancellation(job, now));
        if (confirmed.size() > MAX_REMEMBERED) {
            coveredSince = confirmed.removeFirst().confirmedAt;
        }
    }

    /** The cancellations confirmed in the last {@code asked}, or as far back as is known. */
    public CancellationSummary summary(Span lookBack, Moment now) {
        Span remembered = now.since(coveredSince);
        Span covered = lookBack.compareTo(remembered) < 0 ? lookBack : remembered;
        Set<JobId> jobs = new HashSet<>();
        for (ConfirmedCancellation cancellation : confirmed) {
            if (now.since(cancellation.confirmedAt).compareTo(covered) <= 0) {
                jobs.add(cancellation.job);
            }
        }
        return new CancellationSummary(jobs, covered);
    }

    /** The time since the last confirmation. */
    public Span timeSinceLast(Moment now) {
        return now.since(confirmed.isEmpty() ? coveredSince : confirmed.getLast().confirmedAt);
    }
}
