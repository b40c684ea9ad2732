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
 * The response of one or more peers to a leader that cannot reach the state service, with its encoding.
 *
 * @param allPledged whether each peer has pledged not to lead for a limited time
 * @param cancellations the cancellations that these peers have confirmed to users
 */
record PledgeResponse(boolean allPledged, CancellationSummary cancellations) {
    /** Assumed for a peer that does not respond: it may lead, and may have confirmed any cancellation. */
    static final PledgeResponse NONE = new PledgeResponse(false, CancellationSummary.NONE);

    private static final String LOOK_BACK = "back_ms";
    private static final String PLEDGED = "pledged";
    private static final String TIME_SINCE_LAST = "quiet_ms";
    private static final String COVERED = "covered_ms";
    private static final String CANCELLED = "cancelled";

    /** Combines the responses of two groups of peers. */
    PledgeResponse combinedWith(PledgeResponse other) {
        return new PledgeResponse(allPledged && other.allPledged, cancellations.mergedWith(other.cancellations));
    }

    /** Encodes a leader's request for a pledge and for the cancellations of the last {@code lookBack}. */
    static Map<String, Object> writeRequest(Span lookBack) {
        return MessagePackFormat.map(LOOK_BACK, lookBack.ms());
    }

    /**
     * Decodes the look-back time of a request; zero if the sender runs the previous version, which does not include it.
     */
    static Span readRequest(Fields request) {
        return new Span(Math.max(0, request.wholeNumber(LOOK_BACK, 0)));
    }

    /**
     * Encodes the response.
     *
     * @param timeSinceLast time since this node confirmed its last cancellation; a leader of the previous version reads this in place of
     *     the cancellations
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

    /**
     * Decodes a response. Throws {@link io.indigoreach.net.WireException} if it is malformed or lists too many
     * cancellations.
     */
    static PledgeResponse read(Fields response) {
        List<String> ids = response.optionalTexts(CANCELLED);
        boolean pledged = response.flag(PLEDGED, false);
        if (ids == null) {
            // A node of the previous version reports only the time since its last cancellation, and no jobs.
            Span covered = new Span(response.wholeNumber(TIME_SINCE_LAST, 0));
            return new PledgeResponse(pledged, new CancellationSummary(Set.of(), covered));
        }
        if (ids.size() > ConfirmedCancellations.MAX_REMEMBERED || !ids.stream().allMatch(JobId::isValid)) {
            throw Fields.invalid(CANCELLED);
        }
        Set<JobId> jobs = new HashSet<>();
        ids.forEach(id -> jobs.add(new JobId(id)));
        return new PledgeResponse(pledged, new CancellationSummary(jobs, new Span(response.wholeNumber(COVERED, 0))));
    }
}
