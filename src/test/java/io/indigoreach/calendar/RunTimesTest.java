package io.indigoreach.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.calendar.Means;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.VersionedRecord;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RunTimesTest {
    @Test
    void quantilesAreKeptInAKilobyteAndFollowAChange() {
        RunTimes runs = new RunTimes();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 100_000; i++) {
            runs.ended("tours", 40, Span.seconds(100 + 100 * random.nextDouble()));
        }
        runs.failed("tours", 40, 30);
        assertNull(runs.of("tours", 400), "another size");
        String key = runs.nextChanged();
        assertTrue(runs.value(key).toString().length() < 1500, "" + runs.value(key));
        RunTimes next = new RunTimes();
        next.read(new VersionedRecord(key, runs.value(key), new Revision(1)));
        Means.Runs read = next.of("tours", 50);
        assertEquals(150, read.mean(), 3);
        assertEquals(195, read.quantile(0.95), 3);
        assertEquals(30.0 / read.count(), read.failed(), 1e-9);
        for (int i = 0; i < 10_000; i++) {
            next.ended("tours", 40, Span.seconds(1500));
        }
        assertEquals(1500, next.of("tours", 40).mean(), 75, "ten times as long from now on");
        assertTrue(next.of("tours", 40).count() <= 2100);
    }
}
