package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a leader that took the silence of a quiet service for deafness: under a lease of 1.7 s it led nobody. */
class JobWatchTest {
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.7, 5, 14, 120})
    void aQuietServiceNeverLooksDeaf(double lease) {
        assertTrue(JobWatch.waitFor(Span.seconds(lease)).times(2).compareTo(Span.seconds(lease)) <= 0);
    }
}
