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
 * A job's chain within its record. It stands among the record's further fields, as a version of the program that does not
 * know it keeps those unchanged when it rewrites the record, and would drop a field of its own.
 */
final class DependencyCodec {
    private static final String NEEDS = "needs";
    private static final String RELEASED = "released";
    /** Every id begins so. Without it a hundred of the usual ids take as many bytes as half that many with it. */
    private static final String PREFIX = "run-";

    private static final String SEPARATOR = ",";

    private DependencyCodec() {}

    /** The further fields with the chain among them. */
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

    static JobDependencies read(Fields more) {
        if (!more.has(NEEDS)) {
            return JobDependencies.NONE;
        }
        List<JobId> needs = new ArrayList<>();
        for (String number : more.text(NEEDS).split(SEPARATOR, -1)) {
            needs.add(new JobId(PREFIX + number));
        }
        return new JobDependencies(needs, more.wholeNumber(RELEASED, 0));
    }

    /** The further fields without the chain. */
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
