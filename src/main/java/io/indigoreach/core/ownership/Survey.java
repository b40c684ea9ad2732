package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Some pages, as a person looks through the registry. They are listed, and a list may be a moment old: what it shows is to be
 * looked at, not acted upon.
 */
public final class Survey implements Routine<Survey.Part> {
    /**
     * Some of the registry.
     *
     * @param after where to go on; null: that was all
     */
    public record Part(Map<RecordId, Shown> records, String after) {}

    private final Registry registry;
    private final String group;
    private final String after;
    private final int pages;
    private boolean listed;
    private String last;
    private Routine<Map<RecordId, Shown>> shown;

    /**
     * @param group only this one's; null: all
     * @param after what the part before ended with; null: from the beginning
     */
    public Survey(Registry registry, String group, String after, int pages) {
        this.registry = registry;
        this.group = group;
        this.after = after;
        this.pages = pages;
    }

    @Override
    public Step<Part> next(StepResult seen) {
        if (!listed) {
            listed = true;
            return new Step.Scan<>(group == null ? Registry.PAGES : Registry.pagesOf(group), after, pages);
        }
        if (shown == null) {
            List<RecordId> ids = new ArrayList<>();
            seen.records().forEach((key, kept) -> {
                Page page = Page.read(kept.value());
                if (!page.divided()) {
                    page.entries().keySet().forEach(id -> ids.add(new RecordId(id)));
                }
                last = seen.hasMore() ? key : null;
            });
            shown = Edit.show(registry, ids);
        }
        Step<Map<RecordId, Shown>> step = shown.next(seen);
        return step instanceof Step.End<Map<RecordId, Shown>> end
                ? new Step.End<>(new Part(end.result(), last))
                : new Step.Read<>(((Step.Read<Map<RecordId, Shown>>) step).keys());
    }
}
