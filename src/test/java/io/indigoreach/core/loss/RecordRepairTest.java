package io.indigoreach.core.loss;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.BitSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The replacement of a record that cannot be read; "?" is a field that is not readable, "-" a job that no controller remembers. */
class RecordRepairTest {
    private static final JobId ID = new JobId("run-1");
    private static final JobSpec SPEC = JobSpec.builder(ID)
            .jobClass("c")
            .team("t")
            .kind(JobKind.ARRAY)
            .urgency(Urgency.STANDARD)
            .taskCount(8)
            .demand(new Resources(1, 0, 1))
            .image("img")
            .imageGb(0)
            .spotAllowed()
            .estimatedRunTime(Span.seconds(5))
            .build();

    private static RecordRepair.ReadableFields readableFields(String status, String done) {
        return new RecordRepair.ReadableFields(
                status.equals("?") ? null : JobStatus.valueOf(status),
                done.equals("?") ? null : Long.valueOf(done),
                60L);
    }

    private static RememberedState rememberedState(String remembered) {
        RememberedState state = new RememberedState();
        switch (remembered) {
            case "-" -> {}
            case "open" -> {
                BitSet completedTasks = new BitSet();
                completedTasks.set(3, 5);
                state.add(new RememberedState.OpenJob(SPEC, 100, completedTasks, 4));
            }
            default -> state.add(ID, new RememberedState.FinishedJob(JobStatus.valueOf(remembered), 8));
        }
        return state;
    }

    /** Readable status and count of the open record, what is remembered, whether the user submits the job again, the repaired job. */
    @ParameterizedTest
    @CsvSource({
        "RUNNING, 3, open, false, open 2",
        "RUNNING, 3, -, true, open 0",
        "?, ?, -, true, open 0",
        "?, ?, open, false, open 2",
        "?, ?, -, false, nothing",
        "PENDING, 0, -, false, nothing",
        "?, ?, DONE, true, DONE",
        "RUNNING, 3, CANCELLED, true, CANCELLED",
        "DONE, 8, -, false, DONE",
        "DONE, ?, -, true, DONE",
        "DONE, 8, open, true, DONE",
        "?, 8, -, true, DONE",
        "?, 8, open, false, DONE",
        "?, 7, open, true, open 2",
        "?, 8, -, false, nothing",
        "RUNNING, 8, -, true, open 0"
    })
    void openJobIsRepaired(String status, String done, String remembered, boolean resubmitted, String expected) {
        RememberedState repaired = RecordRepair.repairOpen(
                ID, readableFields(status, done), rememberedState(remembered), resubmitted ? SPEC : null, 500);
        assertEquals(
                expected,
                repaired.isEmpty()
                        ? "nothing"
                        : repaired.finishedJobs().isEmpty()
                                ? "open "
                                        + repaired.openJobs()
                                                .iterator()
                                                .next()
                                                .done()
                                                .cardinality()
                                : repaired.finishedJobs().get(ID).status().name());
        repaired.openJobs()
                .forEach(job -> assertEquals(
                        "60 8",
                        job.submittedMs() + " " + job.startBound(),
                        "keeps the time of submission; all tasks may have been started"));
    }

    @ParameterizedTest
    @CsvSource({
        "DONE, ?, -, false, DONE",
        "CANCELLED, ?, -, true, CANCELLED",
        "?, ?, DONE, false, DONE",
        "?, ?, CANCELLED, true, CANCELLED",
        "?, ?, open, true, nothing",
        "?, 8, -, true, DONE",
        "?, 3, -, true, CANCELLED",
        "?, 8, open, false, DONE",
        "?, 8, -, false, nothing",
        "PENDING, 3, -, true, CANCELLED",
        "DONE, 8, CANCELLED, false, CANCELLED"
    })
    void finishedJobIsRepaired(String status, String done, String remembered, boolean resubmitted, String expected) {
        RememberedState.FinishedJob end = RecordRepair.repairFinal(
                ID, readableFields(status, done), rememberedState(remembered), resubmitted ? SPEC : null);
        assertEquals(expected, end == null ? "nothing" : end.status().name());
    }
}
