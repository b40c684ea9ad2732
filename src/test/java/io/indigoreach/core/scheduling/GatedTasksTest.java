package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Gated tasks, which are held back for a reason other than machine capacity. */
class GatedTasksTest {
    private static final JobSpec PLAIN = JobSpec.builder(new JobId("run-1"))
            .jobClass("c")
            .team("t")
            .kind(JobKind.ARRAY)
            .urgency(Urgency.STANDARD)
            .taskCount(6)
            .demand(new Resources(1, 0, 1))
            .image("i")
            .imageGb(0)
            .spotAllowed()
            .estimatedRunTime(Span.seconds(5))
            .build();

    private static Job job(JobSpec spec) {
        return new Job(spec, 0, new Moment(0), new Revision(1), new BitSet(), 0, false);
    }

    @Test
    void gatedTasksAreNeitherWaitingNorStartable() {
        Job job = job(PLAIN.with(JobSpec.RECORDS_FIELD, Map.of("ids", List.of("a/1"))));
        assertFalse(job.hasWaiting(), "the owned records are not known yet");
        assertEquals(0, job.startableCount());
        BitSet gated = new BitSet();
        gated.set(0, 2);
        gated.set(4);
        job.gate(gated);
        assertEquals(List.of(3, 3, 2), List.of(job.waitingCount(), job.startableCount(), job.nextStartable()));
        assertEquals(JobStatus.PENDING, job.status());
        job.complete(2);
        job.gate(new BitSet());
        assertEquals(List.of(5, 0), List.of(job.waitingCount(), job.nextStartable()));
        assertTrue(job.hasWaiting());
        gated.set(0, 6);
        job.gate(gated);
        assertFalse(job.isComplete(), "gated tasks are not done");
        assertFalse(job.hasWaiting());
    }

    @Test
    void jobsWithoutOwnedRecordsHaveNoGatedTasks() {
        assertEquals(6, job(PLAIN).startableCount());
    }
}
