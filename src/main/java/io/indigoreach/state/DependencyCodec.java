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
    private static final String NEEDS_FIELD = "needs";
    private static final String RELEASED_FIELD = "released";
    /** Every id begins so. Without it a hundred of the usual ids take as many bytes as half that many with it. */
    private static final String JOB_ID_PREFIX = "run-";

    private static final String SEPARATOR = ",";

    private DependencyCodec() {}

    /** The further fields with the chain among them. */
    static Map<String, Object> write(Map<String, Object> additionalFields, JobDependencies dependencies) {
        if (dependencies.isEmpty()) {
            return additionalFields;
        }
        Map<String, Object> all = new LinkedHashMap<>(additionalFields);
        all.put(
                NEEDS_FIELD,
                dependencies.requiredJobs().stream()
                        .map(id -> id.text().substring(JOB_ID_PREFIX.length()))
                        .collect(Collectors.joining(SEPARATOR)));
        if (dependencies.isReleased()) {
            all.put(RELEASED_FIELD, dependencies.releasedAtMs());
        }
        return all;
    }

    static JobDependencies read(Fields additionalFields) {
        if (!additionalFields.has(NEEDS_FIELD)) {
            return JobDependencies.NONE;
        }
        List<JobId> requiredJobs = new ArrayList<>();
        for (String number : additionalFields.text(NEEDS_FIELD).split(SEPARATOR, -1)) {
            requiredJobs.add(new JobId(JOB_ID_PREFIX + number));
        }
        return new JobDependencies(requiredJobs, additionalFields.whole(RELEASED_FIELD, 0));
    }

    /** The further fields without the chain. */
    static Map<String, Object> withoutDependencies(Map<String, Object> all) {
        if (!all.containsKey(NEEDS_FIELD)) {
            return all;
        }
        Map<String, Object> additionalFields = new LinkedHashMap<>(all);
        additionalFields.remove(NEEDS_FIELD);
        additionalFields.remove(RELEASED_FIELD);
        return additionalFields;
    }
}
