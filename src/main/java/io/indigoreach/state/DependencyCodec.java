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
    private static final String NEEDS_FIELD = "needs";
    private static final String RELEASED_FIELD = "released";
    /**
     * The prefix that all job ids share. It is left out of the encoding, which halves the size of a hundred typical
     * ids.
     */
    private static final String JOB_ID_PREFIX = "run-";

    private static final String SEPARATOR = ",";

    private DependencyCodec() {}

    /** Adds the dependencies to the additional fields. */
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

    /** Decodes the dependencies from the additional fields. */
    static JobDependencies read(Fields additionalFields) {
        if (!additionalFields.has(NEEDS_FIELD)) {
            return JobDependencies.NONE;
        }
        List<JobId> requiredJobs = new ArrayList<>();
        for (String number : additionalFields.text(NEEDS_FIELD).split(SEPARATOR, -1)) {
            requiredJobs.add(new JobId(JOB_ID_PREFIX + number));
        }
        return new JobDependencies(requiredJobs, additionalFields.wholeNumber(RELEASED_FIELD, 0));
    }

    /** Removes the dependencies from the additional fields. */
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
