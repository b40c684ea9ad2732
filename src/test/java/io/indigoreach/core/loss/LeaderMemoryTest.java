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

/** Open jobs that a node remembers after further terms of its own, in which it reads no records, and terms of other nodes in between. */
class LeaderMemoryTest {
    private static final JobId OPEN = new JobId("run-1");
    private static final JobId FINISHED = new JobId("run-2");

    private static RememberedState rememberedState() {
        JobSpec spec = JobSpec.builder(OPEN)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .taskCount(2)
                .demand(new Resources(1, 0, 1))
                .image("i")
                .imageGb(1)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(9))
                .build();
        RememberedState remembered = new RememberedState();
        remembered.add(new RememberedState.OpenJob(spec, 1, new BitSet(), 2));
        remembered.add(FINISHED, new RememberedState.FinishedJob(JobStatus.DONE, 1));
        return remembered;
    }

    /** A letter for each later term, which ends before the records are read: i if this node succeeds itself, o if another node led before it. */
    @ParameterizedTest
    @CsvSource({"'', true", "i, true", "ii, true", "o, false", "io, false", "oi, false", "oiii, false", "ioi, false"})
    void openJobsAreKnownUntilAnotherNodeLeads(String laterTerms, boolean remembersOpenJob) {
        LeaderMemory memory = new LeaderMemory();
        memory.beginTerm(false);
        memory.endTerm(rememberedState());
        for (char term : laterTerms.toCharArray()) {
            memory.beginTerm(term == 'i');
            memory.endTerm(new RememberedState());
        }
        assertEquals(
                remembersOpenJob ? 1 : 0, memory.rememberedState().openJobs().size());
        assertEquals(
                JobStatus.DONE,
                memory.rememberedState().finishedJobs().get(FINISHED).status(),
                "finished jobs are final");
    }
}
