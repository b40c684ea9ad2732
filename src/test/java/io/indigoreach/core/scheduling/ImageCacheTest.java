package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.warm.BurstWindow;
import io.indigoreach.core.warm.DemandHistory;
import io.indigoreach.core.warm.PoolSizing;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The model of a machine's image cache, and the sizing of warm pools. */
class ImageCacheTest {
    private final ImageCache cache = new ImageCache(100);

    private void cacheImage(String image, double gb) {
        cache.markUsed(image, gb);
        cache.confirmCached(image);
    }

    @Test
    void leastRecentlyUsedImageIsEvicted() {
        cacheImage("a", 40);
        cacheImage("b", 40);
        cacheImage("a", 40);
        assertEquals(List.of("b"), cache.markUsed("c", 30));
        assertTrue(cache.isCached("a") && cache.contains("c") && !cache.isCached("c"));
    }

    @Test
    void abandonedFetchLeavesNoEntry() {
        cache.markUsed("a", 40);
        assertTrue(cache.abandonFetch("a"));
        assertFalse(cache.contains("a"));
        cacheImage("a", 40);
        assertFalse(cache.abandonFetch("a"));
    }

    @Test
    void imagesAreUncertainAfterIncarnationEnd() {
        cacheImage("a", 40);
        cache.incarnationEnded();
        assertTrue(cache.contains("a") && !cache.isCached("a"));
        cache.confirmCached("a");
        assertTrue(cache.isCached("a"));
    }

    @Test
    void restoredImagesRankAsLeastRecentlyUsed() {
        cacheImage("b", 40);
        assertTrue(cache.restore("a", 60, true));
        assertTrue(cache.isCached("a"));
        assertEquals(List.of("a"), cache.markUsed("c", 10));
        assertFalse(cache.restore("a", 60, true), "the image no longer fits");
        assertTrue(cache.restore("d", 40, false));
        assertFalse(cache.isCached("d"), "the record is of another incarnation");
    }

    @Test
    void otherImagesFitOnlyInCapacityLeftSinceLastUse() {
        cacheImage("w", 70);
        assertTrue(cache.hasRoomWithoutEvicting("w", "g", 30));
        assertFalse(cache.hasRoomWithoutEvicting("w", "g", 31));
        cacheImage("g", 20);
        assertFalse(cache.hasRoomWithoutEvicting("w", "h", 20));
        assertTrue(cache.isEvictionLikely("w"));
        cacheImage("w", 70);
        assertTrue(cache.hasRoomWithoutEvicting("w", "h", 20) && !cache.isEvictionLikely("w"));
    }

    /** Compares with published quantiles of the Poisson distribution. */
    @ParameterizedTest
    @CsvSource({"0, 0.95, 0", "1, 0.95, 3", "12, 0.95, 18", "12, 0.5, 12", "100, 0.99, 124", "10000, 0.95, 10165"})
    void poissonQuantileMatchesPublishedTables(double mean, double ratio, int expected) {
        assertEquals(expected, PoolSizing.poisson(mean, ratio));
    }

    @Test
    void sparesCoverExpectedLosses() {
        assertEquals(10, PoolSizing.withLosses(10, 0, io.indigoreach.core.model.Span.seconds(120)));
        assertEquals(11, PoolSizing.withLosses(10, 1, io.indigoreach.core.model.Span.seconds(120)));
        assertEquals(
                20,
                PoolSizing.withLosses(10, 1000, io.indigoreach.core.model.Span.seconds(120)),
                "spares at most double the pool");
    }

    @Test
    void demandIsLearnedByTimeOfDay() {
        DemandHistory history = new DemandHistory();
        long day = 24 * 3_600_000L;
        for (int dayIndex = 0; dayIndex < 5; dayIndex++) {
            for (long at = 0; at < day; at += 600_000) {
                history.observe(dayIndex * day + at, at / 3_600_000 == 9 ? 10 + dayIndex : 1);
            }
        }
        DemandHistory recorded = DemandHistory.of(history.recorded());
        long nineOClock = 5 * day + 9 * 3_600_000L;
        assertEquals(14, recorded.expected(nineOClock - 60_000, io.indigoreach.core.model.Span.seconds(120), 0.95));
        assertEquals(12, recorded.expected(nineOClock, io.indigoreach.core.model.Span.seconds(120), 0.5));
        assertEquals(1, recorded.expected(nineOClock - 7_200_000, io.indigoreach.core.model.Span.seconds(120), 0.95));
    }

    @ParameterizedTest
    @CsvSource({
        "480, 540, 470, 10",
        "480, 540, 500, 0",
        "480, 540, 540, 1380",
        "1380, 60, 30, 0",
        "1380, 60, 60, 1320",
        "5, 5, 900, 0"
    })
    void burstWindowsMayCrossMidnight(int from, int to, int atMinute, int minutes) {
        assertEquals(
                minutes * 60_000L,
                new BurstWindow(from, to, 1).untilOpen(atMinute * 60_000L).ms());
    }
}
