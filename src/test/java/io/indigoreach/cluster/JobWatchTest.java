package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a leader that mistook a service without changes for a partition and, with a lease of 1.7 s, sent no heartbeat
 * responses.
 */
class JobWatchTest {
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.7, 5, 14, 120})
    void watchTimeIsAtMostHalfTheLease(double leaseSeconds) {
        assertTrue(
                JobWatch.maxWatchTime(Span.seconds(leaseSeconds)).times(2).compareTo(Span.seconds(leaseSeconds)) <= 0);
    }
}
