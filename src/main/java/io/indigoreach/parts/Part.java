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
 * A matter beside the jobs that rests on the controllers' shared state: what it keeps, serves and cleans up, told in one place
 * so that parts do not meet each other. Only those that the settings switch on are built; the others cost nothing.
 */
public interface Part {
    /** Its word in the settings and in the address: {@code /api/NAME}. */
    String name();

    List<RecordFamily> recordFamilies();

    /** What it serves to people. */
    Resource resource();

    /** Its say in the acceptance of jobs; null if it has none. */
    default SubmissionParticipant submissionParticipant() {
        return null;
    }

    /** Where it may submit jobs: the desk at which users' come in. */
    default void setJobSubmitter(Function<Buffer, Future<ApiResponse>> submitJob) {}

    /** The leader's clean-up; null if there is none. */
    default GarbageCollector garbageCollector() {
        return null;
    }

    /** A leadership of this node begins, its records read. What the part does for it ends when the result is closed. */
    default LeaderTask startLeaderTask(SchedulerCore core, RoutineRunner recordRoutines) {
        return () -> {};
    }

    /** A part's work for one leadership. */
    @FunctionalInterface
    interface LeaderTask {
        void close();
    }
}
