package io.indigoreach.core.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The specification of a job as its owner submitted it. Optional fields are null where absent. Built with {@link #builder}.
 *
 * @param id the job's id
 * @param jobClass the class for which objectives are set and run times are observed
 * @param team the team whose quota the job uses
 * @param kind whether the tasks each run to completion or serve until the job is cancelled
 * @param urgency the job's priority
 * @param tasks the number of tasks, or of replicas of a service
 * @param demand what each task takes of its machine
 * @param image the image that a machine must have before a task starts
 * @param imageGb the image's size
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether the tasks must be spread over zones
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimate the owner's estimate of a task's run time, without the image fetch
 * @param checkpointEvery interval of progress after which a task saves by itself; zero: it never saves
 * @param checkpointTime what a task needs to save when it is stopped
 * @param due time allowed from submission to completion, or null
 * @param more further fields, which the optional features read, as they were submitted; empty for most jobs
 * @param dependencies the jobs that have to be done before any task of this one starts
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
    /** The further field that names records; record ownership decides which tasks may start. */
    public static final String RECORDS_FIELD = "records";
    /** The further field that names a holder's pool. */
    public static final String WARM_POOL_FIELD = "warm";

    public JobSpec {
        machineTypes = machineTypes == null ? null : List.copyOf(machineTypes);
        extensions = extensions.isEmpty() ? Map.of() : Collections.unmodifiableMap(new LinkedHashMap<>(extensions));
    }

    /** Starts a specification with one task; the fields without a default are listed in {@link Builder}. */
    public static Builder builder(JobId id) {
        return new Builder(id);
    }

    /** A builder that starts with this specification. */
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

    /** The same job with one further field. */
    public JobSpec with(String field, Object value) {
        Map<String, Object> extended = new LinkedHashMap<>(extensions);
        extended.put(field, value);
        return toBuilder().extensions(extended).build();
    }

    /** The same job with other dependencies. */
    public JobSpec with(JobDependencies other) {
        return toBuilder().dependencies(other).build();
    }

    /** Its tasks run until the job is cancelled. */
    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    /** Part of a calendar's plan: it is submitted as late as its prediction allows. */
    public boolean isPlanned() {
        return relativeDeadline != null && extensions.containsKey("plan");
    }

    /** Nothing of it starts before its records are known to be its own. */
    public boolean requiresRecordOwnership() {
        return extensions.containsKey(RECORDS_FIELD);
    }

    /**
     * Its tasks only make machines fetch an image: they run on members of a warm pool, are in no queue, and neither keep nor
     * rent a machine.
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

    /** Whether a task may run on a machine of this price kind. */
    public boolean allowsPricing(boolean spot) {
        return spotAllowed || !spot;
    }

    /** At most half of the tasks, rounded up, may be in one zone when the job is to be spread. */
    public int maxTasksPerZone() {
        return spreadOverZones ? (taskCount + 1) / 2 : taskCount;
    }

    /**
     * Builds a specification. Class, team, urgency, demand and image have no default; by default the job is an array of one
     * task that never saves, may run in any zone on machines of any type but not on spot machines, and has no deadline.
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

        /** The owner's estimate of a task's run time. */
        public Builder estimatedRunTime(Span value) {
            estimatedRunTime = value;
            return this;
        }

        /** The interval of progress after which a task saves by itself. */
        public Builder checkpointInterval(Span value) {
            checkpointInterval = value;
            return this;
        }

        /** What a task needs to save when it is stopped. */
        public Builder checkpointDuration(Span value) {
            checkpointDuration = value;
            return this;
        }

        /** The time allowed from submission to completion, or null. */
        public Builder relativeDeadline(Span value) {
            relativeDeadline = value;
            return this;
        }

        /** The further fields. */
        public Builder extensions(Map<String, Object> value) {
            extensions = value;
            return this;
        }

        /** The jobs that have to be done first. */
        public Builder dependencies(JobDependencies value) {
            dependencies = value;
            return this;
        }

        /** The description as built so far; its fields are not checked, as the codecs do that. */
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
