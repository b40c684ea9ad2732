package io.indigoreach.cluster;

import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;

/**
 * Watches the final records of jobs and reports a deleted one as data loss. No node deletes final records, and without one a
 * repeated submission would run the job again. {@link JobWatch} watches the records of open jobs. Bound to the node's event
 * loop.
 */
final class FinalRecordWatch {
    private static final Span MAX_WATCH_TIME = Span.seconds(10);
    /** Pause between watches. Final records are written every second but hardly ever deleted, so changes are batched. */
    private static final Span WATCH_INTERVAL = Span.seconds(0.5);

    private final StateClient state;
    private final PeriodicTask watchTask;
    /** The revision at which the next watch starts. */
    private long nextRevision;

    FinalRecordWatch(NodeContext context) {
        this.state = context.state();
        this.watchTask = new PeriodicTask(context.vertx(), "final record watch", WATCH_INTERVAL, this::watchOnce);
    }

    void start(long revision) {
        nextRevision = revision;
        watchTask.start();
    }

    void cancel() {
        watchTask.cancel();
    }

    private Future<Span> watchOnce() {
        return state.watch(RecordKeys.FINAL_JOBS, nextRevision, MAX_WATCH_TIME).compose(this::apply);
    }

    private Future<Span> apply(StateClient.Changes changes) {
        if (changes.compacted()) {
            return skipToCurrentRevision();
        }
        nextRevision = Math.max(nextRevision, changes.revision());
        changes.changes().stream()
                .filter(change -> change.value() == null && !watchTask.isCancelled())
                .findFirst()
                .ifPresent(change -> state.reportMissingRecord(change.key()));
        return Future.succeededFuture(WATCH_INTERVAL);
    }

    private Future<Span> skipToCurrentRevision() {
        return state.list(RecordKeys.FINAL_JOBS, null, 1).map(page -> {
            nextRevision = page.revision();
            return WATCH_INTERVAL;
        });
    }
}
