package io.indigoreach.core.calendar;

import io.indigoreach.core.model.JobId;
import java.util.List;

/**
 * What was decided on an occurrence, as it stands in its day's page.
 *
 * @param id of its one job; null where there is none
 * @param version the calendar's by which it was decided
 * @param departs the departure then, in milliseconds since 1970, and {@code latest} the latest start
 * @param at when it came to this state
 */
public record Mark(
        String plan, State state, JobId id, int version, long departs, long latest, long at, int tasks, String note) {
    /** An occurrence that is not on its page has nothing decided yet. */
    public enum State {
        /** Its job's id is chosen; there may be no such job yet. */
        CHOSEN,
        /** Written in the very transaction that accepted the job. */
        ACCEPTED,
        /** Its job is over; the note says how. */
        ENDED,
        /** Its departure passed before it could be started; it never will be. */
        MISSED
    }

    private static final int LONGEST_NOTE = 60;

    public Mark {
        note = note.length() > LONGEST_NOTE ? note.substring(0, LONGEST_NOTE) : note;
    }

    public Mark become(State next, long now, String why) {
        return new Mark(plan, next, id, version, departs, latest, now, tasks, why);
    }

    /** Has a job, or will never have one. */
    public boolean isSettled() {
        return state != State.CHOSEN;
    }

    /** Short, as a page holds many. */
    List<Object> toList() {
        return List.of(
                plan,
                state.name(),
                id == null ? "" : id.text(),
                (long) version,
                departs,
                latest,
                at,
                (long) tasks,
                note);
    }

    static Mark of(List<?> list) {
        String id = (String) list.get(2);
        return new Mark(
                (String) list.get(0),
                State.valueOf((String) list.get(1)),
                id.isEmpty() ? null : new JobId(id),
                (int) whole(list.get(3)),
                whole(list.get(4)),
                whole(list.get(5)),
                whole(list.get(6)),
                (int) whole(list.get(7)),
                (String) list.get(8));
    }

    private static long whole(Object number) {
        return ((Number) number).longValue();
    }
}
