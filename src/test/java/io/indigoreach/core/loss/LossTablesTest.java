package io.indigoreach.core.loss;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The evidence for a data loss, and the merging of remembered records. */
class LossTablesTest {
    /**
     * Step codes: "e5" = era 5 is confirmed; "r9<3" = revision 3 is read after revision 9; "c9<3" = counter 3 is read
     * after 9; "g" = a record is missing; "t5" = a peer reports a loss in era 5.
     */
    @ParameterizedTest
    @CsvSource({
        "e0, false",
        "e5, false",
        "e5 e5, false",
        "e5 e0, true",
        "e5 e3, true",
        "e5 e0 e6, false",
        "e5 e0 e5, true",
        "r9<9, false",
        "r9<10, false",
        "r9<3, true",
        "c9<9, false",
        "c9<3, true",
        "c0<0, false",
        "g, true",
        "e5 g e6, false",
        "t5, false",
        "e5 t5, true",
        "e5 t4, false",
        "e5 t0, false",
        "e5 e0 e6 t5, false",
        "e5 e0 e6 e0, true"
    })
    void lossIsPendingAfterEvidence(String steps, boolean pending) {
        LossDetector detector = new LossDetector();
        for (String step : steps.split(" ")) {
            String[] numbers = step.substring(1).split("<");
            long first = numbers[0].isEmpty() ? 0 : Long.parseLong(numbers[0]);
            switch (step.charAt(0)) {
                case 'e' -> detector.era(first);
                case 'r' -> detector.checkRevision(first, Long.parseLong(numbers[1]));
                case 'c' ->
                    detector.checkCounter(new FencingToken(first), new FencingToken(Long.parseLong(numbers[1])));
                case 't' -> detector.onReportedByPeer(first);
                default -> detector.onRecordMissing("j/run-1");
            }
        }
        assertEquals(pending, detector.isLossPending(), detector.evidence().toString());
    }

    private static RememberedState.OpenJob openJob(int number, String completedTasks, int startBound) {
        BitSet completedBits = new BitSet();
        for (char digit : completedTasks.toCharArray()) {
            completedBits.set(digit - '0');
        }
        return new RememberedState.OpenJob(
                JobSpec.builder(new JobId("run-" + number))
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
                        .build(),
                100 + number,
                completedBits,
                startBound);
    }

    /**
     * The result of merging does not depend on the order: a finished job takes precedence over an open one, completed
     * tasks are united, and the larger start bound is kept.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void orderOfCopiesDoesNotMatter(long seed) {
        List<RememberedState> copies = new ArrayList<>();
        for (RememberedState.OpenJob job :
                List.of(openJob(1, "01", 2), openJob(1, "3", 5), openJob(2, "", 8), openJob(3, "0", 1))) {
            RememberedState copy = new RememberedState();
            copy.add(job);
            copies.add(copy);
        }
        RememberedState ended = new RememberedState();
        ended.add(new JobId("run-2"), new RememberedState.FinishedJob(JobStatus.CANCELLED, 1));
        copies.add(ended);
        Collections.shuffle(copies, new Random(seed));
        RememberedState merged = new RememberedState();
        copies.forEach(merged::add);
        assertEquals(
                List.of("run-2"),
                merged.finishedJobs().keySet().stream().map(JobId::text).toList());
        assertEquals(
                List.of("run-1 {0, 1, 3} 5", "run-3 {0} 1"),
                merged.openJobs().stream()
                        .map(j -> j.spec().id() + " " + j.done() + " " + j.startBound())
                        .sorted()
                        .toList());
    }

    /** A present record is written only if it lacks something that is remembered, and keeps all that it has. */
    @ParameterizedTest
    @CsvSource({
        "01, 2, 01, 2, ",
        "0, 2, 01, 2, ",
        "0, 2, 01, 5, ",
        "01, 2, 0, 2, 01 2",
        "0, 5, 0, 2, 0 5",
        "1, 5, 0, 7, 01 7"
    })
    void presentRecordIsMergedWithTheRememberedOne(
            String remembered, int rememberedBound, String stored, int storedBound, String written) {
        RememberedState.OpenJob merged = RememberedState.mergeIntoStored(
                openJob(1, remembered, rememberedBound), openJob(1, stored, storedBound));
        if (written == null) {
            assertNull(merged);
        } else {
            assertEquals(openJob(1, written.split(" ")[0], Integer.parseInt(written.split(" ")[1])), merged);
        }
    }
}
