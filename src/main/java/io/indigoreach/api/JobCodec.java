package io.indigoreach.api;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Encodes and decodes the messages of the user API: submissions, job status and progress. */
public final class JobCodec {
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_MACHINE_TYPES = 64;
    private static final double MAX_AMOUNT = 1e9;
    /** The maximum number of dependencies of a job. Their ids have to fit into its record, and each of them is looked up. */
    public static final int MAX_DEPENDENCIES = 100;

    /** Path of submissions. The path of a job is this path followed by a slash and the job's id. */
    public static final String JOBS_PATH = "/api/jobs";
    /** Suffix of a job's path that makes the path of its cancellation. */
    public static final String CANCEL_PATH_SUFFIX = "/cancel";
    /** Path of the readiness check. */
    public static final String READY_PATH = "/ready";
    /** Field with the ids of the jobs that have to be done before this one starts. */
    static final String WAITS_ON = "waits_on";
    /**
     * Fields of the optional features. Every node stores them with the job, even if it does not support them, so that they are
     * not lost to the nodes that do.
     */
    public static final List<String> OPTIONAL_FIELDS = List.of(JobSpec.RECORDS_FIELD, "plan", JobSpec.WARM_POOL_FIELD);

    /**
     * Status and progress of a job, as reported to users.
     *
     * @param doneTasks the number of tasks that are done
     * @param runningTasks the number of tasks that are running
     */
    public record Progress(JobId id, JobStatus status, int doneTasks, int runningTasks) {}

    private JobCodec() {}

    /** Writes a submission. */
    public static Map<String, Object> write(JobSpec spec) {
        Map<String, Object> fields = MessagePackFormat.map(
                "id", spec.id().text(),
                "jobclass", spec.jobClass(),
                "owner", spec.team(),
                "shape", lowerCase(spec.kind()),
                "urgency", lowerCase(spec.urgency()),
                "pieces", spec.taskCount());
        fields.putAll(writeDemand(spec));
        fields.putAll(writePlacement(spec));
        fields.putAll(writeTimes(spec));
        fields.putAll(spec.extensions());
        if (!spec.dependencies().isEmpty()) {
            fields.put(
                    WAITS_ON,
                    spec.dependencies().requiredJobs().stream().map(JobId::text).toList());
        }
        return fields;
    }

    private static Map<String, Object> writeDemand(JobSpec spec) {
        return MessagePackFormat.map(
                "cores", spec.demand().cores(),
                "gpus", spec.demand().gpus(),
                "ram_gb", spec.demand().ramGb(),
                "bundle", spec.image(),
                "pull_gb", spec.imageGb());
    }

    private static Map<String, Object> writePlacement(JobSpec spec) {
        return MessagePackFormat.map(
                "boxkinds", spec.machineTypes(),
                "hall", spec.zone(),
                "one_zone", spec.singleZone(),
                "spread", spec.spreadOverZones(),
                "loaners", spec.spotAllowed());
    }

    private static Map<String, Object> writeTimes(JobSpec spec) {
        return MessagePackFormat.map(
                "expected_s", spec.estimatedRunTime().seconds(),
                "snapshot_every_s", spec.checkpointInterval().seconds(),
                "snapshot_s", spec.checkpointDuration().seconds(),
                "due_s",
                        spec.relativeDeadline() == null
                                ? null
                                : spec.relativeDeadline().seconds());
    }

    /** Reads the response to a query. */
    public static Progress readProgress(Fields fields) {
        return new Progress(
                new JobId(fields.text("id")),
                JobStatus.valueOf(fields.text("status").toUpperCase(Locale.ROOT)),
                (int) fields.wholeNumber("done", 0),
                (int) fields.wholeNumber("running", 0));
    }

    /**
     * Reads a submission. Throws a {@link WireException} if it is malformed. If several fields are malformed, the reason names the
     * one that is read first.
     */
    public static JobSpec read(Fields fields) {
        JobId id = readId(fields);
        int tasks = readTaskCount(fields);
        List<String> types = readMachineTypes(fields);
        String zone = readZone(fields);
        Span due = fields.has("due_s") ? readSeconds(fields, "due_s") : null;
        return new JobSpec(
                id,
                readName(fields, "jobclass"),
                readName(fields, "owner"),
                parseKind(fields.text("shape")),
                parseUrgency(fields.text("urgency")),
                tasks,
                new Resources(readAmount(fields, "cores"), readAmount(fields, "gpus"), readAmount(fields, "ram_gb")),
                readName(fields, "bundle"),
                readAmount(fields, "pull_gb"),
                types,
                zone,
                readFlag(fields, "one_zone"),
                readFlag(fields, "spread"),
                readFlag(fields, "loaners"),
                readSeconds(fields, "expected_s"),
                readSeconds(fields, "snapshot_every_s"),
                readSeconds(fields, "snapshot_s"),
                due,
                readOptionalFields(fields),
                readDependencies(id, fields));
    }

    private static JobId readId(Fields fields) {
        String text = fields.text("id");
        if (!JobId.isValid(text)) {
            throw Fields.invalid("id");
        }
        return new JobId(text);
    }

    private static int readTaskCount(Fields fields) {
        long tasks = fields.wholeNumber("pieces");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw Fields.invalid("pieces");
        }
        return (int) tasks;
    }

    private static List<String> readMachineTypes(Fields fields) {
        List<String> types = fields.optionalTexts("boxkinds");
        if (types != null) {
            if (types.size() > MAX_MACHINE_TYPES) {
                throw Fields.invalid("boxkinds");
            }
            types.forEach(type -> checkName("boxkinds", type));
        }
        return types;
    }

    private static String readZone(Fields fields) {
        String zone = fields.optionalText("hall");
        if (zone != null) {
            checkName("hall", zone);
        }
        return zone;
    }

    private static JobDependencies readDependencies(JobId jobId, Fields fields) {
        List<String> ids = fields.optionalTexts(WAITS_ON);
        if (ids == null) {
            return JobDependencies.NONE;
        }
        // A repeated id is probably a typing error for another job, and the new job would not wait for that one.
        boolean repeated = new HashSet<>(ids).size() < ids.size();
        if (ids.size() > MAX_DEPENDENCIES || ids.contains(jobId.text()) || repeated) {
            throw Fields.invalid(WAITS_ON);
        }
        if (!ids.stream().allMatch(JobId::isValid)) {
            throw Fields.invalid(WAITS_ON);
        }
        return JobDependencies.of(ids.stream().map(JobId::new).toList());
    }

    private static Map<String, Object> readOptionalFields(Fields fields) {
        Map<String, Object> optional = new LinkedHashMap<>();
        for (String name : OPTIONAL_FIELDS) {
            if (fields.has(name)) {
                optional.put(name, fields.map().get(name));
            }
        }
        return optional;
    }

    private static JobKind parseKind(String text) {
        return switch (text) {
            case "array" -> JobKind.ARRAY;
            case "service" -> JobKind.SERVICE;
            default -> throw Fields.invalid("shape");
        };
    }

    private static Urgency parseUrgency(String text) {
        return switch (text) {
            case "production" -> Urgency.PRODUCTION;
            case "high" -> Urgency.HIGH;
            case "standard" -> Urgency.STANDARD;
            case "best_effort" -> Urgency.BEST_EFFORT;
            default -> throw Fields.invalid("urgency");
        };
    }

    private static double readAmount(Fields fields, String name) {
        double value = fields.number(name);
        if (value < 0 || value > MAX_AMOUNT) {
            throw Fields.invalid(name);
        }
        return value;
    }

    private static Span readSeconds(Fields fields, String name) {
        return Span.seconds(readAmount(fields, name));
    }

    private static boolean readFlag(Fields fields, String name) {
        if (!fields.has(name)) {
            throw new WireException("missing field " + name);
        }
        return fields.flag(name, false);
    }

    private static String readName(Fields fields, String field) {
        String value = fields.text(field);
        checkName(field, value);
        return value;
    }

    private static void checkName(String field, String value) {
        if (value.isEmpty() || value.length() > MAX_NAME_LENGTH) {
            throw Fields.invalid(field);
        }
    }

    /** Writes the response to a submission or cancellation. */
    static Map<String, Object> writeStatus(JobId id, JobStatus status) {
        return MessagePackFormat.map("id", id.text(), "status", lowerCase(status));
    }

    /** Writes the response to a query. */
    static Map<String, Object> writeProgress(JobId id, JobStatus status, int done, int running) {
        return MessagePackFormat.map("id", id.text(), "status", lowerCase(status), "done", done, "running", running);
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
