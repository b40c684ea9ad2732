package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * The latest cancellations that this node has confirmed to users. A leader requests them while the state service does not respond to it. A
 * process does not know what an earlier process of the node confirmed, so its summaries cover no time before its start.
 */
public final class ConfirmedCancellations {
    /** As many as fit into one response; no known state service confirms more within the first seconds of an outage. */
    public static final int MAX_REMEMBERED = 1000;

    private record ConfirmedCancellation(JobId job, Moment confirmedAt) {}

    private final ArrayDeque<ConfirmedCancellation> confirmed = new ArrayDeque<>();
    /** All cancellations that were confirmed after this moment are remembered. */
    private Moment coveredSince;

    public ConfirmedCancellations(Moment startedAt) {
        coveredSince = startedAt;
    }

    /** Records that this node knows that the job is cancelled and confirms it to users from now on. */
    public void add(JobId job, Moment now) {
        confirmed.addLast(new ConfirmedCancellation(job, now));
        if (confirmed.size() > MAX_REMEMBERED) {
            coveredSince = confirmed.removeFirst().confirmedAt;
        }
    }

    /** Returns the cancellations confirmed within the last {@code lookBack}, or as far back as this node remembers them. */
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

    /** Returns the time since the last confirmation, or since the start of the process if there was none. */
    public Span timeSinceLast(Moment now) {
        return now.since(confirmed.isEmpty() ? coveredSince : confirmed.getLast().confirmedAt);
    }
}
