package io.indigoreach.core.calendar;

import io.indigoreach.core.model.JobId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The plans' blocks of ids, and since when each is in force. A plan keeps its block as long as it has its name; a block is never
 * given to another.
 *
 * @param next the first block that was never given
 */
public record Register(long next, Map<String, Entry> entries) {
    public static final Register EMPTY = new Register(1, Map.of());
    /** Ids that may turn out to be a user's job are left: so many can be tried for one occurrence. */
    public static final int TRIES = 100;

    private static final long FIRST = 9_000_000L;
    private static final long DAYS = 1_000_000L;

    /** {@code since}: occurrences that depart before are not this plan's. */
    public record Entry(long block, long since) {
        /**
         * The id of an occurrence's job: 9, six digits for the plan, six for the day, two for the try. Ids of 15 digits that
         * begin with 9 are best left to plans; a user's job that has one is noticed and gets out of the way of none.
         */
        public JobId id(Day day, int attempt) {
            return new JobId("run-" + (((FIRST + block) * DAYS + Math.floorMod(day.number(), DAYS)) * TRIES + attempt));
        }
    }

    public Register {
        entries = Map.copyOf(entries);
    }

    /** For the plans of the calendar's next version, set at {@code now}. */
    public Register forPlans(List<Plan> plans, long now) {
        Map<String, Entry> out = new LinkedHashMap<>();
        long free = next;
        for (Plan plan : plans) {
            Entry old = entries.get(plan.name());
            out.put(plan.name(), old != null ? old : new Entry(free++, now));
        }
        return new Register(free, out);
    }
}
