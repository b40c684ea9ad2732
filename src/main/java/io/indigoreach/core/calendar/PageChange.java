package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.VersionedRecord;
import java.util.List;
import java.util.function.Function;

/**
 * Reads a day's page, and puts there what is to be decided as it stands now; whoever comes second decides by what the first
 * wrote. Ends with the page as it then stands; null if a later day stands in its place, or others keep changing it.
 */
public final class PageChange implements Routine<DayPage> {
    private static final int MOST_TRIES = 4;

    private final String key;
    private final Day day;
    private final Function<DayPage, List<Mark>> decide;
    private int tries;
    private DayPage page;
    private List<Mark> decided;

    /** {@code plan}: any that stands on the page; {@code decide}: the marks to be put there, none to leave it. */
    public PageChange(Day day, String plan, Function<DayPage, List<Mark>> decide) {
        this.key = DayPage.key(day, plan);
        this.day = day;
        this.decide = decide;
    }

    /** Only reads. */
    public static PageChange reading(Day day, String plan) {
        return new PageChange(day, plan, page -> List.of());
    }

    @Override
    public Step<DayPage> next(StepResult seen) {
        if (seen.isWritten()) {
            // What was written is what stands: the version that a further change needs is this write's.
            return new Step.End<>(DayPage.of(
                    new VersionedRecord(key, page.with(decided).writes().get(key), seen.writtenRevision()), day));
        }
        if (!seen.records().containsKey(key)) {
            return tries++ == MOST_TRIES ? new Step.End<>(null) : new Step.Read<>(List.of(key));
        }
        page = DayPage.of(seen.record(key), day);
        decided = page == null ? List.of() : decide.apply(page);
        return decided.isEmpty() ? new Step.End<>(page) : new Step.Write<>(page.with(decided));
    }
}
