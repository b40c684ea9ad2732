package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a leader that took a quiet service for a partition: under a lease of 1.7 s it answered no heartbeat. */
class JobWatchTest {
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.7, 5, 14, 120})
    void watchTimeIsAtMostHalfTheLease(double leaseSeconds) {
        assertTrue(
                JobWatch.maxWatchTime(Span.seconds(leaseSeconds)).times(2).compareTo(Span.seconds(leaseSeconds)) <= 0);
    }
}
