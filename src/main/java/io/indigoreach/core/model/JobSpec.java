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
    /** The further field that names records; record ownership decides which tasks may start. */
    public static final String RECORDS = "records";
    /** The further field that names a holder's pool. */
    public static final String WARM = "warm";

    public JobSpec {
        types = types == null ? null : List.copyOf(types);
        more = more.isEmpty() ? Map.of() : Collections.unmodifiableMap(new LinkedHashMap<>(more));
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

    /** The same job with one further field. */
    public JobSpec with(String field, Object value) {
        Map<String, Object> extended = new LinkedHashMap<>(more);
        extended.put(field, value);
        return toBuilder().more(extended).build();
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
        return due != null && more.containsKey("plan");
    }

    /** Nothing of it starts before its records are known to be its own. */
    public boolean isGuarded() {
        return more.containsKey(RECORDS);
    }

    /**
     * Its tasks only make machines fetch an image: they run on members of a warm pool, are in no queue, and neither keep nor
     * rent a machine.
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

    /** Whether a task may run on a machine of this price kind. */
    public boolean allowsKind(boolean spot) {
        return spotAllowed || !spot;
    }

    /** At most half of the tasks, rounded up, may be in one zone when the job is to be spread. */
    public int zoneLimit() {
        return spread ? (tasks + 1) / 2 : tasks;
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

        /** The owner's estimate of a task's run time. */
        public Builder estimate(Span value) {
            estimate = value;
            return this;
        }

        /** The interval of progress after which a task saves by itself. */
        public Builder checkpointEvery(Span value) {
            checkpointEvery = value;
            return this;
        }

        /** What a task needs to save when it is stopped. */
        public Builder checkpointTime(Span value) {
            checkpointTime = value;
            return this;
        }

        /** The time allowed from submission to completion, or null. */
        public Builder due(Span value) {
            due = value;
            return this;
        }

        /** The further fields. */
        public Builder more(Map<String, Object> value) {
            more = value;
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
