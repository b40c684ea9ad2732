package io.indigoreach.core.calendar;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import java.util.LinkedHashMap;
import java.util.Map;

/** What becomes of an occurrence whose time has come, by what stands on its page. */
public record Choice(Forecast.Entry entry, int version, Register.Entry block) {
    /** The further field of a plan's job. */
    public static final String FIELD = "plan";
    /** Starts later than this after the latest start are told. */
    private static final Span LATE = Span.seconds(60);

    /**
     * The mark to be put on its page; null if what stands there stays. While no job is accepted, what the calendar says now
     * holds; the id stays as it was chosen, unless a user's job has it.
     */
    public Mark mark(Mark there, boolean taken, long now) {
        Occurrence o = entry.occurrence();
        if (there != null && there.isSettled()) {
            return null;
        }
        if (o.departs() <= now) {
            return new Mark(
                    o.plan().name(),
                    Mark.State.MISSED,
                    there == null ? null : there.id(),
                    version,
                    o.departs(),
                    entry.latestStart(),
                    now,
                    o.tasks(),
                    "its departure had passed");
        }
        if (there != null && !taken && there.tasks() == o.tasks() && there.departs() == o.departs()) {
            return null;
        }
        int attempt = there == null ? 0 : attempt(there.id()) + (taken ? 1 : 0);
        long late = now - entry.latestStart();
        return new Mark(
                o.plan().name(),
                Mark.State.CHOSEN,
                block.id(o.day(), attempt),
                version,
                o.departs(),
                entry.latestStart(),
                now,
                o.tasks(),
                late > LATE.ms() ? "late by " + Outlook.minutes(new Span(late)) : o.reason());
    }

    private static int attempt(JobId id) {
        return (int) (Long.parseLong(id.text().substring("run-".length())) % Register.TRIES);
    }

    /** The job of a chosen occurrence: its deadline is the departure. */
    public static JobSpec job(Occurrence o, Mark mark, long now) {
        JobSpec t = o.plan().template();
        Map<String, Object> more = new LinkedHashMap<>(t.extensions());
        more.put(FIELD, Map.of("name", mark.plan(), "day", o.day().toString()));
        return JobSpec.builder(mark.id())
                .jobClass(t.jobClass())
                .team(t.team())
                .kind(t.kind())
                .urgency(t.urgency())
                .taskCount(mark.tasks())
                .demand(t.demand())
                .image(t.image())
                .imageGb(t.imageGb())
                .machineTypes(t.machineTypes())
                .zone(t.zone())
                .singleZone(t.singleZone())
                .spreadOverZones(t.spreadOverZones())
                .spotAllowed(t.spotAllowed())
                .estimatedRunTime(t.estimatedRunTime())
                .checkpointInterval(t.checkpointInterval())
                .checkpointDuration(t.checkpointDuration())
                .relativeDeadline(new Span(mark.departs() - now))
                .extensions(more)
                .build();
    }
}
