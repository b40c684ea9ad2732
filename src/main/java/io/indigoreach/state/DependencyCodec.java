package io.indigoreach.state;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.net.Fields;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Encodes and decodes a job's dependencies within its record. They are stored among the record's additional fields: a version of
 * the program without dependencies keeps additional fields unchanged when it rewrites the record, but drops unknown fields of
 * the record itself.
 */
final class DependencyCodec {
    private static final String NEEDS = "needs";
    private static final String RELEASED = "released";
    /** The prefix of every job id. It is omitted, which halves the size of a hundred typical ids. */
    private static final String PREFIX = "run-";

    private static final String SEPARATOR = ",";

    private DependencyCodec() {}

    /** Adds the dependencies to the additional fields. */
    static Map<String, Object> write(Map<String, Object> more, JobDependencies chain) {
        if (chain.isEmpty()) {
            return more;
        }
        Map<String, Object> all = new LinkedHashMap<>(more);
        all.put(
                NEEDS,
                chain.requiredJobs().stream()
                        .map(id -> id.text().substring(PREFIX.length()))
                        .collect(Collectors.joining(SEPARATOR)));
        if (chain.isReleased()) {
            all.put(RELEASED, chain.releasedAtMs());
        }
        return all;
    }

    /** Decodes the dependencies from the additional fields. */
    static JobDependencies read(Fields more) {
        if (!more.has(NEEDS)) {
            return JobDependencies.NONE;
        }
        List<JobId> needs = new ArrayList<>();
        for (String number : more.text(NEEDS).split(SEPARATOR, -1)) {
            needs.add(new JobId(PREFIX + number));
        }
        return new JobDependencies(needs, more.whole(RELEASED, 0));
    }

    /** Removes the dependencies from the additional fields. */
    static Map<String, Object> without(Map<String, Object> all) {
        if (!all.containsKey(NEEDS)) {
            return all;
        }
        Map<String, Object> more = new LinkedHashMap<>(all);
        more.remove(NEEDS);
        more.remove(RELEASED);
        return more;
    }
}
