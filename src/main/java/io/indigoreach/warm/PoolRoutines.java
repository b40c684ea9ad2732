package io.indigoreach.warm;

import io.indigoreach.core.records.Change;
import io.indigoreach.core.records.Kept;
import io.indigoreach.core.records.Listing;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Seen;
import io.indigoreach.core.records.Step;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** What is read and written of pools, step by step. */
final class PoolRoutines {
    private static final int COMPARED = 40;
    private static final int MOST_TRIES = 5;

    private PoolRoutines() {}

    /** A record as it stands. */
    static Routine<Kept> read(String key) {
        return seen -> seen.records().isEmpty() ? new Step.Read<>(List.of(key)) : new Step.End<>(seen.record(key));
    }

    /** All records with a prefix. */
    static Routine<List<Kept>> all(String prefix) {
        return new Listing(prefix);
    }

    /**
     * Every page of accounts as it is now: a listing may come from before an earlier leader's last write, and money would then
     * be counted twice. So the versions are compared, and that the page after the last one is not there.
     */
    static Routine<List<Kept>> sheets() {
        return new Routine<>() {
            private Routine<List<Kept>> listing = all(PoolRecords.SHEETS);
            private List<Kept> found;
            private int compared;
            private int tries;

            @Override
            public Step<List<Kept>> next(Seen seen) {
                if (found != null && !seen.failed().isEmpty()) {
                    if (++tries >= MOST_TRIES) {
                        throw new IllegalStateException("the accounts are listed as they were");
                    }
                    found = null;
                    compared = 0;
                    listing = all(PoolRecords.SHEETS);
                    return next(Seen.nothing(seen.era(), seen.timeOfDayMs()));
                }
                if (found == null) {
                    Step<List<Kept>> step = listing.next(seen);
                    if (!(step instanceof Step.End<List<Kept>> end)) {
                        return step;
                    }
                    found = end.result();
                }
                if (compared > found.size()) {
                    return new Step.End<>(found);
                }
                Change comparison = new Change();
                for (int n = 0; n < COMPARED && compared <= found.size(); n++, compared++) {
                    comparison.when(
                            compared < found.size()
                                    ? found.get(compared)
                                    : Kept.absent(PoolRecords.sheet(found.size())));
                }
                return new Step.Write<>(comparison);
            }
        };
    }

    /** Puts a value in place of what is there; told of it once that is known. False if something else was written meanwhile. */
    static Routine<Boolean> replace(
            String key, Function<Kept, Map<String, Object>> value, Consumer<Map<String, Object>> done) {
        return new Routine<>() {
            private Map<String, Object> wanted;

            @Override
            public Step<Boolean> next(Seen seen) {
                if (wanted == null && seen.records().isEmpty()) {
                    return new Step.Read<>(List.of(key));
                }
                if (wanted != null) {
                    if (seen.isWritten()) {
                        done.accept(wanted);
                    }
                    return new Step.End<>(seen.isWritten());
                }
                wanted = value.apply(seen.record(key));
                return wanted == null
                        ? new Step.End<>(true)
                        : new Step.Write<>(new Change().replace(seen.record(key), wanted));
            }
        };
    }

    /** A record's fields without the count of its changes. */
    static Map<String, Object> plain(Kept kept) {
        Map<String, Object> fields = new LinkedHashMap<>(kept.value());
        fields.remove(Kept.VERSION);
        return fields;
    }
}
