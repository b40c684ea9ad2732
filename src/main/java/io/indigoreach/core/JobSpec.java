package io.indigoreach.core;

import java.util.List;

/**
 * What a user asked for. Optional fields are null where absent.
 *
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param estimate the owner's guess of a task's run time, without the image fetch
 * @param checkpointEvery interval of progress after which a task saves by itself; zero: it never saves
 * @param checkpointTime what a task needs to save when it is stopped
 * @param due time allowed from submission to completion, or null
 */
public record JobSpec(JobId id, String jobClass, String team, Shape shape, Urgency urgency, int tasks, Demand demand,
                      String image, double imageGb, List<String> types, String zone, boolean oneZone, boolean spread,
                      boolean spotAllowed, Span estimate, Span checkpointEvery, Span checkpointTime, Span due) {
    public JobSpec {
        types = types == null ? null : List.copyOf(types);
    }

    /** Its tasks run until the job is cancelled. */
    public boolean isService() {
        return shape == Shape.SERVICE;
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
