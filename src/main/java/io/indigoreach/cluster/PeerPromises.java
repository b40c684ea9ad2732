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
 * What other nodes say to a leader that the state service does not answer.
 *
 * @param all each has pledged not to lead for a while
 * @param word the cancellations that they have told users of
 */
record PeerPromises(boolean all, CancellationSummary word) {
    static final PeerPromises NONE = new PeerPromises(false, CancellationSummary.NONE);

    PeerPromises and(PeerPromises other) {
        return new PeerPromises(all && other.all, word.and(other.word));
    }

    /** The question: how far back the leader wants to know of cancellations. */
    static Map<String, Object> ask(Span back) {
        return MessagePackFormat.map("back_ms", back.ms());
    }

    /** From a node of the version before there is no such wish. */
    static Span asked(Fields question) {
        return new Span(Math.max(0, question.whole("back_ms", 0)));
    }

    /** {@code quiet}: for how long this node told of none, which is all that a leader of the version before understands. */
    Map<String, Object> write(Span quiet) {
        return MessagePackFormat.map(
                "pledged",
                all,
                "quiet_ms",
                quiet.ms(),
                "covered_ms",
                word.covered().ms(),
                "cancelled",
                word.cancelled().stream().map(JobId::text).toList());
    }

    /** Throws {@link io.indigoreach.net.WireException} if it cannot be read, or is longer than any node's answer. */
    static PeerPromises read(Fields answer) {
        List<String> texts = answer.optionalTexts("cancelled");
        boolean pledged = answer.flag("pledged", false);
        if (texts == null) {
            // A node of the version before: that it told of none for a while is a word without names.
            return new PeerPromises(pledged, new CancellationSummary(Set.of(), new Span(answer.whole("quiet_ms", 0))));
        }
        if (texts.size() > ConfirmedCancellations.MAX_REMEMBERED
                || !texts.stream().allMatch(JobId::isValid)) {
            throw Fields.invalid("cancelled");
        }
        Set<JobId> jobs = new HashSet<>();
        texts.forEach(t -> jobs.add(new JobId(t)));
        return new PeerPromises(pledged, new CancellationSummary(jobs, new Span(answer.whole("covered_ms", 0))));
    }
}
