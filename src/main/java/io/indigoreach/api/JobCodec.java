package io.indigoreach.api;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
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

/** The messages of the users' interface: how jobs and their status are written and read. */
public final class JobCodec {
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_MACHINE_TYPES = 64;
    private static final double MAX_AMOUNT = 1e9;
    /** The most dependencies of a job: their ids have to fit into its record, and each is looked up. */
    public static final int MAX_DEPENDENCIES = 100;

    /** The path of submissions; a job's own path is this, a slash and its id. */
    public static final String JOBS = "/api/jobs";
    /** What follows a job's own path in the path of its cancellation. */
    public static final String CANCEL = "/cancel";
    /** The path of the readiness check. */
    public static final String READY = "/ready";
    /** The field with the ids of the jobs that have to be done before this one. */
    static final String WAITS_ON = "waits_on";
    /**
     * Fields of the optional features. A node keeps them with the job whether it supports them or not, so that a node that
     * does loses nothing.
     */
    public static final List<String> OPTIONAL_FIELDS = List.of(JobSpec.RECORDS, "plan", JobSpec.WARM);

    /**
     * Status and progress of a job, as a user is told.
     *
     * @param done tasks that are done
     * @param running tasks that run
     */
    public record Progress(JobId id, JobStatus status, int done, int running) {}

    private JobCodec() {}

    /** A submission, as users write it. */
    public static Map<String, Object> write(JobSpec spec) {
        Map<String, Object> fields = MessagePackFormat.map(
                "id", spec.id().text(),
                "jobclass", spec.jobClass(),
                "owner", spec.team(),
                "shape", lowerCase(spec.kind()),
                "urgency", lowerCase(spec.urgency()),
                "pieces", spec.tasks());
        fields.putAll(writeDemand(spec));
        fields.putAll(writePlacement(spec));
        fields.putAll(writeTimes(spec));
        fields.putAll(spec.more());
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
                "boxkinds", spec.types(),
                "hall", spec.zone(),
                "one_zone", spec.oneZone(),
                "spread", spec.spread(),
                "loaners", spec.spotAllowed());
    }

    private static Map<String, Object> writeTimes(JobSpec spec) {
        return MessagePackFormat.map(
                "expected_s", spec.estimate().seconds(),
                "snapshot_every_s", spec.checkpointEvery().seconds(),
                "snapshot_s", spec.checkpointTime().seconds(),
                "due_s", spec.due() == null ? null : spec.due().seconds());
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
     * Reads a job; throws {@link WireException} with a short reason if it is malformed. If several fields are, the reason names the
     * first one in the order in which they are read here.
     */
    public static JobSpec read(Fields fields) {
        JobId id = id(fields);
        int tasks = tasks(fields);
        List<String> types = machineTypes(fields);
        String zone = zone(fields);
        Span due = fields.has("due_s") ? seconds(fields, "due_s") : null;
        return new JobSpec(
                id,
                name(fields, "jobclass"),
                name(fields, "owner"),
                kind(fields.text("shape")),
                urgency(fields.text("urgency")),
                tasks,
                new Demand(amount(fields, "cores"), amount(fields, "gpus"), amount(fields, "ram_gb")),
                name(fields, "bundle"),
                amount(fields, "pull_gb"),
                types,
                zone,
                flag(fields, "one_zone"),
                flag(fields, "spread"),
                flag(fields, "loaners"),
                seconds(fields, "expected_s"),
                seconds(fields, "snapshot_every_s"),
                seconds(fields, "snapshot_s"),
                due,
                optionalFields(fields),
                dependencies(id, fields));
    }

    private static JobId id(Fields fields) {
        String text = fields.text("id");
        if (!JobId.isValid(text)) {
            throw Fields.invalid("id");
        }
        return new JobId(text);
    }

    private static int tasks(Fields fields) {
        long tasks = fields.wholeNumber("pieces");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw Fields.invalid("pieces");
        }
        return (int) tasks;
    }

    private static List<String> machineTypes(Fields fields) {
        List<String> types = fields.optionalTexts("boxkinds");
        if (types != null) {
            if (types.size() > MAX_MACHINE_TYPES) {
                throw Fields.invalid("boxkinds");
            }
            types.forEach(type -> checkName("boxkinds", type));
        }
        return types;
    }

    private static String zone(Fields fields) {
        String zone = fields.optionalText("hall");
        if (zone != null) {
            checkName("hall", zone);
        }
        return zone;
    }

    private static JobDependencies dependencies(JobId own, Fields fields) {
        List<String> names = fields.optionalTexts(WAITS_ON);
        if (names == null) {
            return JobDependencies.NONE;
        }
        // A repeated id is most likely a mistake for another one, which the job would then not wait for.
        boolean repeated = new HashSet<>(names).size() < names.size();
        if (names.size() > MAX_DEPENDENCIES || names.contains(own.text()) || repeated) {
            throw Fields.invalid(WAITS_ON);
        }
        if (!names.stream().allMatch(JobId::isValid)) {
            throw Fields.invalid(WAITS_ON);
        }
        return JobDependencies.of(names.stream().map(JobId::new).toList());
    }

    private static Map<String, Object> optionalFields(Fields fields) {
        Map<String, Object> optional = new LinkedHashMap<>();
        for (String name : OPTIONAL_FIELDS) {
            if (fields.has(name)) {
                optional.put(name, fields.map().get(name));
            }
        }
        return optional;
    }

    private static JobKind kind(String text) {
        return switch (text) {
            case "array" -> JobKind.ARRAY;
            case "service" -> JobKind.SERVICE;
            default -> throw Fields.invalid("shape");
        };
    }

    private static Urgency urgency(String text) {
        return switch (text) {
            case "production" -> Urgency.PRODUCTION;
            case "high" -> Urgency.HIGH;
            case "standard" -> Urgency.STANDARD;
            case "best_effort" -> Urgency.BEST_EFFORT;
            default -> throw Fields.invalid("urgency");
        };
    }

    private static double amount(Fields fields, String name) {
        double value = fields.number(name);
        if (value < 0 || value > MAX_AMOUNT) {
            throw Fields.invalid(name);
        }
        return value;
    }

    private static Span seconds(Fields fields, String name) {
        return Span.seconds(amount(fields, name));
    }

    private static boolean flag(Fields fields, String name) {
        if (!fields.has(name)) {
            throw new WireException("missing field " + name);
        }
        return fields.flag(name, false);
    }

    private static String name(Fields fields, String field) {
        String value = fields.text(field);
        checkName(field, value);
        return value;
    }

    private static void checkName(String field, String value) {
        if (value.isEmpty() || value.length() > MAX_NAME_LENGTH) {
            throw Fields.invalid(field);
        }
    }

    /** The response to a submission or cancellation. */
    static Map<String, Object> accepted(JobId id, JobStatus status) {
        return MessagePackFormat.map("id", id.text(), "status", lowerCase(status));
    }

    /** The response to a query. */
    static Map<String, Object> progress(JobId id, JobStatus status, int done, int running) {
        return MessagePackFormat.map("id", id.text(), "status", lowerCase(status), "done", done, "running", running);
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
