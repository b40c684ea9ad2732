package io.indigoreach.core.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a user asked for. Optional fields are null where absent.
 *
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param estimate the owner's guess of a task's run time, without the image fetch
 * @param checkpointEvery interval of progress after which a task saves by itself; zero: it never saves
 * @param checkpointTime what a task needs to save when it is stopped
 * @param due time allowed from submission to completion, or null
 * @param more further fields that the parts beside the jobs read, as they came; empty for most jobs
 * @param chain the jobs that have to be done before any task of this one starts
 */
public record JobSpec(
        JobId id,
        String jobClass,
        String team,
        JobKind shape,
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
        JobDependencies chain) {
    /** The further field that names records; the part that knows them says which tasks may start. */
    public static final String RECORDS = "records";
    /** The further field that names a holder's pool. */
    public static final String WARM = "warm";

    public JobSpec {
        types = types == null ? null : List.copyOf(types);
        more = more.isEmpty() ? Map.of() : Collections.unmodifiableMap(new LinkedHashMap<>(more));
    }

    /** A job that waits for no other. */
    public JobSpec(
            JobId id,
            String jobClass,
            String team,
            JobKind shape,
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
            Map<String, Object> more) {
        this(
                id,
                jobClass,
                team,
                shape,
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
                JobDependencies.NONE);
    }

    /** A job without further fields. */
    public JobSpec(
            JobId id,
            String jobClass,
            String team,
            JobKind shape,
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
            Span due) {
        this(
                id,
                jobClass,
                team,
                shape,
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
                Map.of(),
                JobDependencies.NONE);
    }

    /** The same job with one further field. */
    public JobSpec with(String field, Object value) {
        Map<String, Object> all = new LinkedHashMap<>(more);
        all.put(field, value);
        return new JobSpec(
                id,
                jobClass,
                team,
                shape,
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
                all,
                chain);
    }

    /** The same job, waiting for others or released from them. */
    public JobSpec with(JobDependencies other) {
        return new JobSpec(
                id,
                jobClass,
                team,
                shape,
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
                other);
    }

    /** Its tasks run until the job is cancelled. */
    public boolean isService() {
        return shape == JobKind.SERVICE;
    }

    /** Part of a calendar's plan: it comes as late as its prediction allows. */
    public boolean isPlanned() {
        return due != null && more.containsKey("plan");
    }

    /** Nothing of it starts before its records are known to be its own. */
    public boolean isGuarded() {
        return more.containsKey(RECORDS);
    }

    /**
     * Its tasks only make machines fetch an image: they sit where a warm pool has seats, are in no queue, and neither keep nor
     * rent a machine.
     */
    public boolean isHolder() {
        return more.containsKey(WARM);
    }

    public boolean savesProgress() {
        return checkpointEvery.ms() > 0;
    }

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String name) {
        return zone == null || zone.equals(name);
    }

    public boolean allowsKind(boolean spot) {
        return spotAllowed || !spot;
    }

    /** At most half of the tasks, rounded up, may be in one zone when the job is to be spread. */
    public int zoneLimit() {
        return spread ? (tasks + 1) / 2 : tasks;
    }
}
