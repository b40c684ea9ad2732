package io.indigoreach.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Span;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a token that is used twice, as happened when the state service lost its counter. */
class TokenGeneratorTest {
    private static final long START_MS = 1_800_000_000_000L;
    private static final Span MAX_CLOCK_ERROR = Span.seconds(0.1);

    /** Three nodes become leader in random order; processes restart, clocks have errors, and the counter is lost or goes back. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void tokensAreUniqueEvenIfTheCounterIsLost(long seed) {
        Random random = new Random(seed);
        TokenGenerator[] nodes = new TokenGenerator[3];
        Set<FencingToken> used = new HashSet<>();
        FencingToken counter = FencingToken.NONE;
        FencingToken olderCounter = FencingToken.NONE;
        long now = START_MS;
        for (int step = 0; step < 2000; step++) {
            now += 400 + random.nextInt(2000);
            int node = random.nextInt(3);
            long clock = now + random.nextInt((int) (2 * MAX_CLOCK_ERROR.ms())) - MAX_CLOCK_ERROR.ms();
            if (nodes[node] == null || random.nextInt(10) == 0) {
                nodes[node] = new TokenGenerator(node, clock, MAX_CLOCK_ERROR);
                continue;
            }
            FencingToken token = nodes[node].next(counter, clock);
            assertTrue(used.add(token), token + " is used twice at step " + step);
            if (random.nextInt(4) > 0) {
                nodes[node].observe(token);
                counter = token;
            }
            olderCounter = random.nextInt(20) == 0 ? counter : olderCounter;
            counter = switch (random.nextInt(10)) {
                case 0 -> FencingToken.NONE;
                case 1 -> olderCounter;
                default -> counter;
            };
        }
    }

    /** Also with the small counters of an older version of the program, and with a clock that shows 1970. */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "7, 0, 0", "99, 1800000000000, 0", "0, 1800000000000, 9000000000000", "9000000000000, 0, 5"})
    void nextTokenIsAboveAllKnownOnes(long counter, long timeOfDay, long seen) {
        TokenGenerator generator = new TokenGenerator(1, timeOfDay, MAX_CLOCK_ERROR);
        generator.observe(new FencingToken(seen));
        FencingToken next = generator.next(new FencingToken(counter), timeOfDay);
        assertTrue(next.value() > counter && next.value() > seen, next.toString());
        assertTrue(
                generator.next(new FencingToken(counter), timeOfDay).value() > next.value(),
                "the token of an unanswered campaign is not used again");
        assertTrue(
                next.newAttempt(0xfffffff).value() > 0 || Math.max(counter, seen) > 1L << 35,
                "attempts do not overflow");
    }

    @Test
    void counterBelowATokenInUseShowsALoss() {
        TokenGenerator generator = new TokenGenerator(0, START_MS, MAX_CLOCK_ERROR);
        FencingToken first = generator.next(FencingToken.NONE, START_MS);
        assertFalse(
                generator.isCounterBehind(FencingToken.NONE), "a campaign that was not won is no evidence of a loss");
        generator.observe(first);
        assertTrue(generator.isCounterBehind(FencingToken.NONE));
        assertFalse(generator.isCounterBehind(first));
        assertEquals(first, generator.highestKnown());
    }
}
