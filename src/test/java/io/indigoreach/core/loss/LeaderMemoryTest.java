package io.indigoreach.core.loss;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.BitSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A node leads, then others or nobody, then it again, perhaps too shortly to read the records: what it may say was open. */
class LeaderMemoryTest {
    private static final JobId OPEN = new JobId("run-1");
    private static final JobId OVER = new JobId("run-2");

    private static RememberedState remains() {
        JobSpec spec = JobSpec.builder(OPEN)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(2)
                .demand(new Demand(1, 0, 1))
                .image("i")
                .imageGb(1)
                .spotAllowed()
                .estimate(Span.seconds(9))
                .build();
        RememberedState r = new RememberedState();
        r.add(new RememberedState.OpenJob(spec, 1, new BitSet(), 2));
        r.add(OVER, new RememberedState.FinishedJob(JobStatus.DONE, 1));
        return r;
    }

    /** Of each later leadership: i if this node succeeds itself, o if another led between; it ends before it knows anything. */
    @ParameterizedTest
    @CsvSource({"'', true", "i, true", "ii, true", "o, false", "io, false", "oi, false", "oiii, false", "ioi, false"})
    void whatWasOpenIsKnownAsLongAsNobodyElseHasLed(String later, boolean open) {
        LeaderMemory memory = new LeaderMemory();
        memory.begins(false);
        memory.ends(remains());
        for (char leadership : later.toCharArray()) {
            memory.begins(leadership == 'i');
            memory.ends(new RememberedState());
        }
        assertEquals(open ? 1 : 0, memory.known().open().size());
        assertEquals(JobStatus.DONE, memory.known().over().get(OVER).status(), "for ever");
    }
}
