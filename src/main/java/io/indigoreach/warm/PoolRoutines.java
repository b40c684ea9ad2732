package io.indigoreach.warm;

import io.indigoreach.core.records.ListRecords;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
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
    static Routine<VersionedRecord> read(String key) {
        return seen -> seen.records().isEmpty() ? new Step.Read<>(List.of(key)) : new Step.End<>(seen.record(key));
    }

    /** All records with a prefix. */
    static Routine<List<VersionedRecord>> all(String prefix) {
        return new ListRecords(prefix);
    }

    /**
     * Every page of accounts as it is now: a listing may come from before an earlier leader's last write, and money would then
     * be counted twice. So the versions are compared, and that the page after the last one is not there.
     */
    static Routine<List<VersionedRecord>> sheets() {
        return new Routine<>() {
            private Routine<List<VersionedRecord>> listing = all(PoolRecords.SHEETS);
            private List<VersionedRecord> found;
            private int compared;
            private int tries;

            @Override
            public Step<List<VersionedRecord>> next(StepResult seen) {
                if (found != null && !seen.failedKeys().isEmpty()) {
                    if (++tries >= MOST_TRIES) {
                        throw new IllegalStateException("the accounts are listed as they were");
                    }
                    found = null;
                    compared = 0;
                    listing = all(PoolRecords.SHEETS);
                    return next(StepResult.empty(seen.era(), seen.timeOfDayMs()));
                }
                if (found == null) {
                    Step<List<VersionedRecord>> step = listing.next(seen);
                    if (!(step instanceof Step.End<List<VersionedRecord>> end)) {
                        return step;
                    }
                    found = end.result();
                }
                if (compared > found.size()) {
                    return new Step.End<>(found);
                }
                Transaction comparison = new Transaction();
                for (int n = 0; n < COMPARED && compared <= found.size(); n++, compared++) {
                    comparison.when(
                            compared < found.size()
                                    ? found.get(compared)
                                    : VersionedRecord.absent(PoolRecords.sheet(found.size())));
                }
                return new Step.Write<>(comparison);
            }
        };
    }

    /** Puts a value in place of what is there; told of it once that is known. False if something else was written meanwhile. */
    static Routine<Boolean> replace(
            String key, Function<VersionedRecord, Map<String, Object>> value, Consumer<Map<String, Object>> done) {
        return new Routine<>() {
            private Map<String, Object> wanted;

            @Override
            public Step<Boolean> next(StepResult seen) {
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
                        : new Step.Write<>(new Transaction().replace(seen.record(key), wanted));
            }
        };
    }

    /** A record's fields without the count of its changes. */
    static Map<String, Object> plain(VersionedRecord kept) {
        Map<String, Object> fields = new LinkedHashMap<>(kept.value());
        fields.remove(VersionedRecord.VERSION_FIELD);
        return fields;
    }
}
