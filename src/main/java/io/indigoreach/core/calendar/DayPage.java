package io.indigoreach.core.calendar;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The decided occurrences of one day, of the plans that share the page. Pages stand in a ring of days and are written over when
 * their turn comes again, so that none is ever removed: one that is gone is a loss of data, and never says "not started yet".
 */
public final class DayPage {
    public static final String PREFIX = "cal/day/";
    /** Days after which a page is written over. */
    public static final int RING = 50;
    /** Of 500 plans about 16 share a page; see {@link CalendarCheck}. */
    static final int PAGES = 32;
    /** Pages that a controller remembers: three days of a full calendar. */
    private static final int REMEMBERED = 3 * PAGES;

    public static final RecordFamily FAMILY =
            new RecordFamily(PREFIX, REMEMBERED, true, RecordFamily.MergeRule.KEEP_NEWER);

    private final VersionedRecord read;
    private final Day day;
    private final Map<String, Mark> marks;

    private DayPage(VersionedRecord read, Day day, Map<String, Mark> marks) {
        this.read = read;
        this.day = day;
        this.marks = marks;
    }

    /** {@link String#hashCode} is the same everywhere by the language's definition. */
    static int pageOf(String plan) {
        return Math.floorMod(plan.hashCode(), PAGES);
    }

    public static String key(Day day, String plan) {
        return PREFIX + Math.floorMod(day.number(), (long) RING) + "/" + pageOf(plan);
    }

    /** Null if a later day stands there: what was decided on this one is not known any more. */
    static DayPage of(VersionedRecord read, Day day) {
        Map<String, Mark> marks = new LinkedHashMap<>();
        if (read.exists()) {
            long there = ((Number) read.value().get("day")).longValue();
            if (there > day.number()) {
                return null;
            }
            if (there == day.number()) {
                ((List<?>) read.value().get("marks")).forEach(m -> {
                    Mark mark = Mark.of((List<?>) m);
                    marks.put(mark.plan(), mark);
                });
            }
        }
        return new DayPage(read, day, marks);
    }

    /** Null if nothing is decided. */
    public Mark mark(String plan) {
        return marks.get(plan);
    }

    public List<Mark> marks() {
        return List.copyOf(marks.values());
    }

    /** Puts other marks in place, if the page is still as it was read. */
    Transaction with(List<Mark> others) {
        Map<String, Mark> all = new LinkedHashMap<>(marks);
        others.forEach(m -> all.put(m.plan(), m));
        List<Object> rows = new ArrayList<>();
        all.values().forEach(m -> rows.add(m.toList()));
        return new Transaction().replace(read, Map.of("day", day.number(), "marks", rows));
    }

    /** The change that goes with the acceptance of this job; null if it is not the occurrence's job, or no more to be accepted. */
    public Transaction accepting(String plan, JobId id, int tasks, long now) {
        Mark mark = marks.get(plan);
        return mark == null || mark.state() != Mark.State.CHOSEN || !mark.id().equals(id) || mark.tasks() != tasks
                ? null
                : with(List.of(mark.become(Mark.State.ACCEPTED, now, mark.note())));
    }
}
