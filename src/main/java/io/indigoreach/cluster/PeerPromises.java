package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The answer of one or several peers to a leader that the state service does not answer, and its form on the wire.
 *
 * @param allPledged each has pledged not to lead for a while
 * @param cancellations the cancellations that they have confirmed to users
 */
record PeerPromises(boolean allPledged, CancellationSummary cancellations) {
    /** Of a peer that does not answer: it may lead, and may have confirmed any cancellation. */
    static final PeerPromises NONE = new PeerPromises(false, CancellationSummary.NONE);

    private static final String LOOK_BACK = "back_ms";
    private static final String PLEDGED = "pledged";
    private static final String TIME_SINCE_LAST = "quiet_ms";
    private static final String COVERED = "covered_ms";
    private static final String CANCELLED = "cancelled";

    /** What holds for these peers and the others together. */
    PeerPromises and(PeerPromises other) {
        return new PeerPromises(allPledged && other.allPledged, cancellations.and(other.cancellations));
    }

    /** The request of a leader that needs the cancellations of the last {@code lookBack}. */
    static Map<String, Object> writeRequest(Span lookBack) {
        return MessagePackFormat.map(LOOK_BACK, lookBack.ms());
    }

    /** How far back cancellations are asked for; zero for a node of the previous version, which does not say so. */
    static Span readRequest(Fields request) {
        return new Span(Math.max(0, request.wholeNumber(LOOK_BACK, 0)));
    }

    /**
     * The response; {@code timeSinceLast} is the time since this node confirmed its last cancellation, the only part that a leader of the
     * previous version reads.
     */
    Map<String, Object> write(Span timeSinceLast) {
        return MessagePackFormat.map(
                PLEDGED,
                allPledged,
                TIME_SINCE_LAST,
                timeSinceLast.ms(),
                COVERED,
                cancellations.covered().ms(),
                CANCELLED,
                cancellations.cancelled().stream().map(JobId::text).toList());
    }

    /** Throws {@link io.indigoreach.net.WireException} for a response that is malformed, or longer than any node's may be. */
    static PeerPromises read(Fields response) {
        List<String> ids = response.optionalTexts(CANCELLED);
        boolean pledged = response.flag(PLEDGED, false);
        if (ids == null) {
            // A node of the previous version: it reports since when it has confirmed no cancellation, but no jobs.
            Span covered = new Span(response.wholeNumber(TIME_SINCE_LAST, 0));
            return new PeerPromises(pledged, new CancellationSummary(Set.of(), covered));
        }
        if (ids.size() > ConfirmedCancellations.MAX_REMEMBERED || !ids.stream().allMatch(JobId::isValid)) {
            throw Fields.invalid(CANCELLED);
        }
        Set<JobId> jobs = new HashSet<>();
        ids.forEach(id -> jobs.add(new JobId(id)));
        return new PeerPromises(pledged, new CancellationSummary(jobs, new Span(response.wholeNumber(COVERED, 0))));
    }
}
