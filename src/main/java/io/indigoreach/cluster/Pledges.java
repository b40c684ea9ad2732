package io.indigoreach.cluster;

import io.indigoreach.core.CancellationWord;
import io.indigoreach.core.JobId;
import io.indigoreach.core.Span;
import io.indigoreach.core.ToldCancellations;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Wire;
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
record Pledges(boolean all, CancellationWord word) {
    static final Pledges NONE = new Pledges(false, CancellationWord.NONE);

    Pledges and(Pledges other) {
        return new Pledges(all && other.all, word.and(other.word));
    }

    /** The question: how far back the leader wants to know of cancellations. */
    static Map<String, Object> ask(Span back) {
        return Wire.map("back_ms", back.ms());
    }

    /** From a node of the version before there is no such wish. */
    static Span asked(Fields question) {
        return new Span(Math.max(0, question.whole("back_ms", 0)));
    }

    /** {@code quiet}: for how long this node told of none, which is all that a leader of the version before understands. */
    Map<String, Object> write(Span quiet) {
        return Wire.map(
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
    static Pledges read(Fields answer) {
        List<String> texts = answer.optionalTexts("cancelled");
        boolean pledged = answer.flag("pledged", false);
        if (texts == null) {
            // A node of the version before: that it told of none for a while is a word without names.
            return new Pledges(pledged, new CancellationWord(Set.of(), new Span(answer.whole("quiet_ms", 0))));
        }
        if (texts.size() > ToldCancellations.MOST || !texts.stream().allMatch(JobId::isValid)) {
            throw Fields.invalid("cancelled");
        }
        Set<JobId> jobs = new HashSet<>();
        texts.forEach(t -> jobs.add(new JobId(t)));
        return new Pledges(pledged, new CancellationWord(jobs, new Span(answer.whole("covered_ms", 0))));
    }
}
