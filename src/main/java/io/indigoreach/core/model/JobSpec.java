package io.indigoreach.core.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The specification of a job as its owner submitted it. Absent optional fields are null. Create one with {@link #builder}.
 *
 * @param id the job's id
 * @param jobClass the class for which service level objectives are set and run times are estimated
 * @param team the team whose quota the job uses
 * @param kind whether each task runs to completion or serves until the job is cancelled
 * @param urgency the job's priority
 * @param tasks the number of tasks, or of replicas if the job is a service
 * @param demand the resources that each task requires
 * @param image the image that a machine must have fetched before a task starts
 * @param imageGb the image's size in GB
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether the tasks must be spread over zones
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimate the owner's estimate of a task's run time, not including the image fetch
 * @param checkpointEvery the interval of progress between periodic checkpoints of a task; zero if it saves none
 * @param checkpointTime the time that a task needs to save a checkpoint when it is stopped
 * @param due the time allowed from submission to completion, or null if there is no deadline
 * @param more the fields of optional features, as submitted; empty for most jobs
 * @param dependencies the jobs that must complete before any task of this one starts
 */
public record JobSpec(
        JobId id,
        String jobClass,
        String team,
        JobKind kind,
        Urgency urgency,
        int tasks,
        Demand demand,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spotAllowed,
        Span estimate,
        Span checkpointEvery,
        Span checkpointTime,
        Span due,
        Map<String, Object> more,
        JobDependencies dependencies) {
    /** The field of record ownership that names the records to which the tasks need exclusive access. */
    public static final String RECORDS = "records";
    /** The field that names the warm pool whose image the job holds. */
    public static final String WARM = "warm";

    public JobSpec {
        types = types == null ? null : List.copyOf(types);
        more = more.isEmpty() ? Map.of() : Collections.unmodifiableMap(new LinkedHashMap<>(more));
    }

    /** Returns a builder for a job; {@link Builder} lists the fields that have no default. */
    public static Builder builder(JobId id) {
        return new Builder(id);
    }

    /** Returns a builder that is initialised with this specification. */
    public Builder toBuilder() {
        return new Builder(id)
                .jobClass(jobClass)
                .team(team)
                .kind(kind)
                .urgency(urgency)
                .tasks(tasks)
                .demand(demand)
                .image(image)
                .imageGb(imageGb)
                .types(types)
                .zone(zone)
                .oneZone(oneZone)
                .spread(spread)
                .spotAllowed(spotAllowed)
                .estimate(estimate)
                .checkpointEvery(checkpointEvery)
                .checkpointTime(checkpointTime)
                .due(due)
                .more(more)
                .dependencies(dependencies);
    }

    /** Returns this specification with one field of an optional feature added. */
    public JobSpec with(String field, Object value) {
        Map<String, Object> extended = new LinkedHashMap<>(more);
        extended.put(field, value);
        return toBuilder().more(extended).build();
    }

    /** Returns this specification with its dependencies replaced. */
    public JobSpec with(JobDependencies other) {
        return toBuilder().dependencies(other).build();
    }

    /** Whether the tasks are replicas that run until the job is cancelled. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** Whether the job belongs to a calendar's plan, which submits it as late as the predicted run time allows. */
    public boolean isPlanned() {
        return due != null && more.containsKey("plan");
    }

    /** Whether each task starts only after the job owns the records that the task needs. */
    public boolean isGuarded() {
        return more.containsKey(RECORDS);
    }

    /**
     * Whether the tasks only make machines fetch an image. Such tasks run on members of a warm pool, bypass the queues, and cause
     * machines neither to be rented nor to be kept.
     */
    public boolean isHolder() {
        return more.containsKey(WARM);
    }

    /** Whether a stopped task resumes from a checkpoint. */
    public boolean savesProgress() {
        return checkpointEvery.ms() > 0;
    }

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String name) {
        return zone == null || zone.equals(name);
    }

    /** Whether a task may run on a spot machine, if {@code spot} is true, or on an on-demand machine otherwise. */
    public boolean allowsKind(boolean spot) {
        return spotAllowed || !spot;
    }

    /** Returns how many tasks may run in the same zone: half of them, rounded up, if they must be spread over zones. */
    public int zoneLimit() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /**
     * Builds a specification. Class, team, urgency, demand and image have no default. By default the job is an array of one
     * task that saves no checkpoints, may run in any zone on on-demand machines of any type, and has no deadline.
     */
    public static final class Builder {
        private final JobId id;
        private String jobClass;
        private String team;
        private JobKind kind = JobKind.ARRAY;
        private Urgency urgency;
        private int tasks = 1;
        private Demand demand;
        private String image;
        private double imageGb;
        private List<String> types;
        private String zone;
        private boolean oneZone;
        private boolean spread;
        private boolean spotAllowed;
        private Span estimate = Span.ZERO;
        private Span checkpointEvery = Span.ZERO;
        private Span checkpointTime = Span.ZERO;
        private Span due;
        private Map<String, Object> more = Map.of();
        private JobDependencies dependencies = JobDependencies.NONE;

        private Builder(JobId id) {
            this.id = id;
        }

        public Builder jobClass(String value) {
            jobClass = value;
            return this;
        }

        public Builder team(String value) {
            team = value;
            return this;
        }

        public Builder kind(JobKind value) {
            kind = value;
            return this;
        }

        public Builder urgency(Urgency value) {
            urgency = value;
            return this;
        }

        public Builder tasks(int value) {
            tasks = value;
            return this;
        }

        public Builder demand(Demand value) {
            demand = value;
            return this;
        }

        public Builder image(String value) {
            image = value;
            return this;
        }

        public Builder imageGb(double value) {
            imageGb = value;
            return this;
        }

        /** The allowed machine types, or null for any. */
        public Builder types(List<String> value) {
            types = value;
            return this;
        }

        /** The only allowed zone, or null for any. */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /** Whether all tasks must be in the same zone. */
        public Builder oneZone(boolean value) {
            oneZone = value;
            return this;
        }

        /** All tasks must be in the same zone. */
        public Builder oneZone() {
            return oneZone(true);
        }

        /** Whether the tasks must be spread over zones. */
        public Builder spread(boolean value) {
            spread = value;
            return this;
        }

        /** The tasks must be spread over zones. */
        public Builder spread() {
            return spread(true);
        }

        /** Whether the tasks may run on spot machines. */
        public Builder spotAllowed(boolean value) {
            spotAllowed = value;
            return this;
        }

        /** The tasks may run on spot machines. */
        public Builder spotAllowed() {
            return spotAllowed(true);
        }

        /** The owner's estimate of a task's run time, not including the image fetch. */
        public Builder estimate(Span value) {
            estimate = value;
            return this;
        }

        /** The interval of progress between periodic checkpoints of a task; zero if it saves none. */
        public Builder checkpointEvery(Span value) {
            checkpointEvery = value;
            return this;
        }

        /** The time that a task needs to save a checkpoint when it is stopped. */
        public Builder checkpointTime(Span value) {
            checkpointTime = value;
            return this;
        }

        /** The time allowed from submission to completion, or null if there is no deadline. */
        public Builder due(Span value) {
            due = value;
            return this;
        }

        /** The fields of optional features. */
        public Builder more(Map<String, Object> value) {
            more = value;
            return this;
        }

        /** The jobs that must complete before any task starts. */
        public Builder dependencies(JobDependencies value) {
            dependencies = value;
            return this;
        }

        /** Returns the specification. Its fields are not validated here; the codecs do that. */
        public JobSpec build() {
            return new JobSpec(
                    id,
                    jobClass,
                    team,
                    kind,
                    urgency,
                    tasks,
                    demand,
                    image,
                    imageGb,
                    types,
                    zone,
                    oneZone,
                    spread,
                    spotAllowed,
                    estimate,
                    checkpointEvery,
                    checkpointTime,
                    due,
                    more,
                    dependencies);
        }
    }
}
