package io.indigoreach.core.ownership;

import java.util.List;
import java.util.Map;

/**
 * What came of a request.
 *
 * @param done the records that stand as was asked, with their fences
 * @param against why not, a line a record or claim; empty: all is as was asked
 * @param waits somebody who came first is still deciding: to be asked again
 */
public record Outcome(Map<RecordId, Entry> done, List<String> against, boolean waits) {
    static Outcome of(Map<RecordId, Entry> done, List<String> against) {
        return new Outcome(done, against, false);
    }

    static Outcome refused(List<String> against) {
        return new Outcome(Map.of(), against, false);
    }

    static Outcome waiting(String whom) {
        return new Outcome(Map.of(), List.of(whom), true);
    }

    public boolean isDone() {
        return against.isEmpty();
    }
}
