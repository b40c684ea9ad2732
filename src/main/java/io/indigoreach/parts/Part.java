package io.indigoreach.parts;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.Resource;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.core.records.GarbageCollector;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.state.RoutineRunner;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Function;

/**
 * An optional feature of the controllers, such as the calendar: its records, its HTTP resource, its work on the leader and its garbage
 * collection. Parts do not depend on each other. Only the parts that the settings enable are created.
 */
public interface Part {
    /** Returns the name of the part, as in its HTTP path {@code /api/NAME}. */
    String name();

    /** Returns the families of records that the part stores in the state service. */
    List<RecordFamily> recordFamilies();

    /** Returns the HTTP resource of the part. */
    Resource resource();

    /** Returns the part's participant in job submissions, or null if it has none. */
    default SubmissionParticipant submissionParticipant() {
        return null;
    }

    /** Passes the function that submits a job, for parts that submit jobs of their own. */
    default void setJobSubmitter(Function<Buffer, Future<ApiResponse>> submitJob) {}

    /** Returns the garbage collector that the leader runs for the part, or null if the part has none. */
    default GarbageCollector garbageCollector() {
        return null;
    }

    /** Starts the part's work on a new leader, after the leader has read its records. Closing the result stops the work. */
    default LeaderTask startLeaderTask(SchedulerCore core, RoutineRunner recordRoutines) {
        return () -> {};
    }

    /** What an optional feature does during one leadership term. */
    @FunctionalInterface
    interface LeaderTask {
        /** Stops the feature's work at the end of the leadership term. */
        void close();
    }
}
