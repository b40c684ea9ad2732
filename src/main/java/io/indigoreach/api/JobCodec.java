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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The users' words for jobs. */
public final class JobCodec {
    private static final int MOST_TASKS = 100_000;
    private static final int LONGEST_NAME = 200;
    private static final int MOST_TYPES = 64;
    private static final double LARGEST = 1e9;
    /** Jobs that one may name. Their ids have to fit into its record beside all else, and each is looked up. */
    public static final int MOST_NAMED = 100;

    public static final String JOBS = "/api/jobs";
    public static final String CANCEL = "/cancel";
    /** The field that names the jobs to be done before this one. */
    static final String WAITS_ON = "waits_on";

    public static final String READY = "/ready";
    /**
     * Further fields, which most users do not send. A node keeps them with the job whether it knows what they mean or not, so
     * that one beside it which does loses nothing.
     */
    public static final List<String> MORE = List.of(JobSpec.RECORDS, "plan", JobSpec.WARM);

    /** How a job stands, as its user is told. */
    public record Progress(JobId id, JobStatus status, int done, int running) {}

    private JobCodec() {}

    /** A submission, as users write it. */
    public static Map<String, Object> write(JobSpec s) {
        Map<String, Object> map = MessagePackFormat.map(
                "id",
                s.id().text(),
                "jobclass",
                s.jobClass(),
                "owner",
                s.team(),
                "shape",
                s.kind().name().toLowerCase(Locale.ROOT),
                "urgency",
                s.urgency().name().toLowerCase(Locale.ROOT),
                "pieces",
                s.tasks(),
                "cores",
                s.demand().cores(),
                "gpus",
                s.demand().gpus(),
                "ram_gb",
                s.demand().ramGb(),
                "bundle",
                s.image(),
                "pull_gb",
                s.imageGb(),
                "boxkinds",
                s.types(),
                "hall",
                s.zone(),
                "one_zone",
                s.oneZone(),
                "spread",
                s.spread(),
                "loaners",
                s.spotAllowed(),
                "expected_s",
                s.estimate().seconds(),
                "snapshot_every_s",
                s.checkpointEvery().seconds(),
                "snapshot_s",
                s.checkpointTime().seconds(),
                "due_s",
                s.due() == null ? null : s.due().seconds());
        map.putAll(s.more());
        if (!s.dependencies().isEmpty()) {
            map.put(
                    WAITS_ON,
                    s.dependencies().requiredJobs().stream().map(JobId::text).toList());
        }
        return map;
    }

    public static Progress readProgress(Fields f) {
        return new Progress(
                new JobId(f.text("id")),
                JobStatus.valueOf(f.text("status").toUpperCase(Locale.ROOT)),
                (int) f.whole("done", 0),
                (int) f.whole("running", 0));
    }

    /** Reads a job; throws {@link WireException} with a short reason if it is malformed. */
    public static JobSpec read(Fields f) {
        String id = f.text("id");
        if (!JobId.isValid(id)) {
            throw Fields.invalid("id");
        }
        long tasks = f.whole("pieces");
        if (tasks < 1 || tasks > MOST_TASKS) {
            throw Fields.invalid("pieces");
        }
        List<String> types = f.optionalTexts("boxkinds");
        if (types != null) {
            if (types.size() > MOST_TYPES) {
                throw Fields.invalid("boxkinds");
            }
            types.forEach(t -> checkName("boxkinds", t));
        }
        String zone = f.optionalText("hall");
        if (zone != null) {
            checkName("hall", zone);
        }
        Span due = null;
        if (f.has("due_s")) {
            due = Span.seconds(amount(f, "due_s"));
        }
        return JobSpec.builder(new JobId(id))
                .jobClass(name(f, "jobclass"))
                .team(name(f, "owner"))
                .kind(shape(f.text("shape")))
                .urgency(urgency(f.text("urgency")))
                .tasks((int) tasks)
                .demand(new Demand(amount(f, "cores"), amount(f, "gpus"), amount(f, "ram_gb")))
                .image(name(f, "bundle"))
                .imageGb(amount(f, "pull_gb"))
                .types(types)
                .zone(zone)
                .oneZone(flag(f, "one_zone"))
                .spread(flag(f, "spread"))
                .spotAllowed(flag(f, "loaners"))
                .estimate(Span.seconds(amount(f, "expected_s")))
                .checkpointEvery(Span.seconds(amount(f, "snapshot_every_s")))
                .checkpointTime(Span.seconds(amount(f, "snapshot_s")))
                .due(due)
                .more(more(f))
                .dependencies(chain(id, f))
                .build();
    }

    private static JobDependencies chain(String own, Fields f) {
        List<String> names = f.optionalTexts(WAITS_ON);
        if (names == null) {
            return JobDependencies.NONE;
        }
        // A repeated id is most likely a mistake for another one, which the job would then not wait for.
        if (names.size() > MOST_NAMED || names.contains(own) || new HashSet<>(names).size() < names.size()) {
            throw Fields.invalid(WAITS_ON);
        }
        List<JobId> needs = new ArrayList<>();
        for (String name : names) {
            if (!JobId.isValid(name)) {
                throw Fields.invalid(WAITS_ON);
            }
            needs.add(new JobId(name));
        }
        return JobDependencies.of(needs);
    }

    private static Map<String, Object> more(Fields f) {
        Map<String, Object> more = new LinkedHashMap<>();
        for (String name : MORE) {
            if (f.has(name)) {
                more.put(name, f.map().get(name));
            }
        }
        return more;
    }

    private static JobKind shape(String word) {
        return switch (word) {
            case "array" -> JobKind.ARRAY;
            case "service" -> JobKind.SERVICE;
            default -> throw Fields.invalid("shape");
        };
    }

    private static Urgency urgency(String word) {
        return switch (word) {
            case "production" -> Urgency.PRODUCTION;
            case "high" -> Urgency.HIGH;
            case "standard" -> Urgency.STANDARD;
            case "best_effort" -> Urgency.BEST_EFFORT;
            default -> throw Fields.invalid("urgency");
        };
    }

    private static double amount(Fields f, String name) {
        double value = f.number(name);
        if (value < 0 || value > LARGEST) {
            throw Fields.invalid(name);
        }
        return value;
    }

    private static boolean flag(Fields f, String name) {
        if (!f.has(name)) {
            throw new WireException("missing field " + name);
        }
        return f.flag(name, false);
    }

    private static String name(Fields f, String field) {
        String value = f.text(field);
        checkName(field, value);
        return value;
    }

    private static void checkName(String field, String value) {
        if (value.isEmpty() || value.length() > LONGEST_NAME) {
            throw Fields.invalid(field);
        }
    }

    static Map<String, Object> accepted(JobId id, JobStatus status) {
        return MessagePackFormat.map("id", id.text(), "status", word(status));
    }

    static Map<String, Object> progress(JobId id, JobStatus status, int done, int running) {
        return MessagePackFormat.map("id", id.text(), "status", word(status), "done", done, "running", running);
    }

    private static String word(JobStatus status) {
        return status.name().toLowerCase(Locale.ROOT);
    }
}
