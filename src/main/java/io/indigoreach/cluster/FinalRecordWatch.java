package io.indigoreach.cluster;

import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;

/**
 * Notices that the record of a job's end is removed, which nobody does: without it the job's user, who comes again, would
 * have it run once more. Open jobs' records are watched in any case ({@link JobWatch}).
 */
final class FinalRecordWatch {
    private static final Span LONGEST_WAIT = Span.seconds(10);
    /** Ends come by the second, and what is looked for hardly ever. */
    private static final Span PAUSE = Span.seconds(0.5);

    private final StateClient state;
    private final PeriodicTask duty;
    private long since;

    FinalRecordWatch(NodeContext context) {
        this.state = context.state();
        this.duty = new PeriodicTask(context.vertx(), "end watch", PAUSE, this::step);
    }

    void start(long revision) {
        since = revision;
        duty.start();
    }

    void cancel() {
        duty.cancel();
    }

    private Future<Span> step() {
        return state.watch(RecordCodec.FINAL, since, LONGEST_WAIT).compose(changes -> {
            if (changes.tooOld()) {
                return state.list(RecordCodec.FINAL, null, 1).map(page -> {
                    since = page.revision();
                    return PAUSE;
                });
            }
            since = Math.max(since, changes.revision());
            changes.changes().stream()
                    .filter(c -> c.value() == null && !duty.isCancelled())
                    .findFirst()
                    .ifPresent(c -> state.recordGone(c.key()));
            return Future.succeededFuture(PAUSE);
        });
    }
}
