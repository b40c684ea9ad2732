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
 * @param taskCount the number of tasks, or of replicas if the job is a service
 * @param demand the resources that each task requires
 * @param image the image that a machine must have fetched before a task starts
 * @param imageGb the image's size in GB
 * @param machineTypes the allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param singleZone whether all tasks must be in the same zone
 * @param spreadOverZones whether the tasks must be spread over zones
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimatedRunTime the owner's estimate of a task's run time, not including the image fetch
 * @param checkpointInterval the interval of progress between periodic checkpoints of a task; zero if it saves none
 * @param checkpointDuration the time that a task needs to save a checkpoint when it is stopped
 * @param relativeDeadline the time allowed from submission to completion, or null if there is no deadline
 * @param extensions the fields of optional features, as submitted; empty for most jobs
 * @param dependencies the jobs that must complete before any task of this one starts
 */
public record JobSpec(
        JobId id,
        String jobClass,
        String team,
        JobKind kind,
        Urgency urgency,
        int taskCount,
        Resources demand,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadOverZones,
        boolean spotAllowed,
        Span estimatedRunTime,
        Span checkpointInterval,
        Span checkpointDuration,
        Span relativeDeadline,
        Map<String, Object> extensions,
        JobDependencies dependencies) {
    /** The submission field of the record-ownership feature: the records to which the tasks need exclusive access. */
    public static final String RECORDS_FIELD = "records";
    /** The field that names the warm pool whose image the job holds. */
    public static final String WARM_POOL_FIELD = "warm";

    public JobSpec {
        machineTypes = machineTypes == null ? null : List.copyOf(machineTypes);
        extensions = extensions.isEmpty() ? Map.of() : Collections.unmodifiableMap(new LinkedHashMap<>(extensions));
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
                .taskCount(taskCount)
                .demand(demand)
                .image(image)
                .imageGb(imageGb)
                .machineTypes(machineTypes)
                .zone(zone)
                .singleZone(singleZone)
                .spreadOverZones(spreadOverZones)
                .spotAllowed(spotAllowed)
                .estimatedRunTime(estimatedRunTime)
                .checkpointInterval(checkpointInterval)
                .checkpointDuration(checkpointDuration)
                .relativeDeadline(relativeDeadline)
                .extensions(extensions)
                .dependencies(dependencies);
    }

    /** Returns this specification with one field of an optional feature added. */
    public JobSpec with(String field, Object value) {
        Map<String, Object> extended = new LinkedHashMap<>(extensions);
        extended.put(field, value);
        return toBuilder().extensions(extended).build();
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
        return relativeDeadline != null && extensions.containsKey("plan");
    }

    /** Whether each task starts only after the job owns the records that the task needs. */
    public boolean requiresRecordOwnership() {
        return extensions.containsKey(RECORDS_FIELD);
    }

    /**
     * Whether the tasks only prefetch an image. Such tasks run on members of a warm pool, bypass the queues, and have
     * no effect on scale-out or scale-in.
     */
    public boolean isWarmPoolHolder() {
        return extensions.containsKey(WARM_POOL_FIELD);
    }

    /** Whether a stopped task resumes from a checkpoint. */
    public boolean savesCheckpoints() {
        return checkpointInterval.ms() > 0;
    }

    public boolean allowsType(String type) {
        return machineTypes == null || machineTypes.contains(type);
    }

    public boolean allowsZone(String name) {
        return zone == null || zone.equals(name);
    }

    /** Whether a task may run on a spot machine, if {@code spot} is true, or on an on-demand machine otherwise. */
    public boolean allowsPurchaseType(boolean spot) {
        return spotAllowed || !spot;
    }

    /** Returns how many tasks may run in the same zone: half of them, rounded up, if they must be spread over zones. */
    public int maxTasksPerZone() {
        return spreadOverZones ? (taskCount + 1) / 2 : taskCount;
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
        private int taskCount = 1;
        private Resources demand;
        private String image;
        private double imageGb;
        private List<String> machineTypes;
        private String zone;
        private boolean singleZone;
        private boolean spreadOverZones;
        private boolean spotAllowed;
        private Span estimatedRunTime = Span.ZERO;
        private Span checkpointInterval = Span.ZERO;
        private Span checkpointDuration = Span.ZERO;
        private Span relativeDeadline;
        private Map<String, Object> extensions = Map.of();
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

        public Builder taskCount(int value) {
            taskCount = value;
            return this;
        }

        public Builder demand(Resources value) {
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
        public Builder machineTypes(List<String> value) {
            machineTypes = value;
            return this;
        }

        /** The only allowed zone, or null for any. */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /** Whether all tasks must be in the same zone. */
        public Builder singleZone(boolean value) {
            singleZone = value;
            return this;
        }

        /** All tasks must be in the same zone. */
        public Builder singleZone() {
            return singleZone(true);
        }

        /** Whether the tasks must be spread over zones. */
        public Builder spreadOverZones(boolean value) {
            spreadOverZones = value;
            return this;
        }

        /** The tasks must be spread over zones. */
        public Builder spreadOverZones() {
            return spreadOverZones(true);
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
        public Builder estimatedRunTime(Span value) {
            estimatedRunTime = value;
            return this;
        }

        /** The interval of progress between periodic checkpoints of a task; zero if it saves none. */
        public Builder checkpointInterval(Span value) {
            checkpointInterval = value;
            return this;
        }

        /** The time that a task needs to save a checkpoint when it is stopped. */
        public Builder checkpointDuration(Span value) {
            checkpointDuration = value;
            return this;
        }

        /** The time allowed from submission to completion, or null if there is no deadline. */
        public Builder relativeDeadline(Span value) {
            relativeDeadline = value;
            return this;
        }

        /** The fields of optional features. */
        public Builder extensions(Map<String, Object> value) {
            extensions = value;
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
                    taskCount,
                    demand,
                    image,
                    imageGb,
                    machineTypes,
                    zone,
                    singleZone,
                    spreadOverZones,
                    spotAllowed,
                    estimatedRunTime,
                    checkpointInterval,
                    checkpointDuration,
                    relativeDeadline,
                    extensions,
                    dependencies);
        }
    }
}
