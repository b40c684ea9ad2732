package io.indigoreach.calendar;

import com.tdunning.math.stats.Centroid;
import com.tdunning.math.stats.MergingDigest;
import com.tdunning.math.stats.TDigest;
import io.indigoreach.core.calendar.Means;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Run times by class and size, each a t-digest (T. Dunning, O. Ertl) of about a kilobyte, which is most exact at the ends, where
 * the longest tasks are. Older ones lose half their weight now and then, so that a class that has changed is known again.
 */
final class RunTimes implements Means.Seen {
    static final String PREFIX = "cal/runs/";
    /** Lost ones are learned again. */
    static final RecordFamily FAMILY = new RecordFamily(PREFIX, 60, false, RecordFamily.MergeRule.KEEP_NEWER);

    private static final double COMPRESSION = 50;
    private static final int HALVED_AT = 2_000;

    /** The run times of one class and size. */
    private static final class Sketch implements Means.Runs {
        TDigest digest = new MergingDigest(COMPRESSION);
        double failures;

        @Override
        public long count() {
            return digest.size();
        }

        @Override
        public double mean() {
            return digest.centroids().stream()
                            .mapToDouble(c -> c.mean() * c.count())
                            .sum()
                    / count();
        }

        @Override
        public double quantile(double q) {
            return digest.quantile(q);
        }

        @Override
        public double failed() {
            return failures / Math.max(1, count());
        }

        void halve() {
            TDigest half = new MergingDigest(COMPRESSION);
            for (Centroid c : digest.centroids()) {
                half.add(c.mean(), Math.max(1, c.count() / 2));
            }
            digest = half;
            failures /= 2;
        }
    }

    private final Map<String, Sketch> byKey = new HashMap<>();
    private final Set<String> changed = new HashSet<>();

    /** Sizes by powers of ten: a class's large jobs often have other tasks than its small ones. */
    private static String key(String jobClass, int tasks) {
        return PREFIX + (int) Math.log10(Math.max(1, tasks)) + "/" + jobClass;
    }

    void ended(String jobClass, int tasks, Span run) {
        Sketch s = sketch(jobClass, tasks);
        s.digest.add(run.seconds());
        if (s.count() >= HALVED_AT) {
            s.halve();
        }
    }

    void failed(String jobClass, int tasks, int times) {
        sketch(jobClass, tasks).failures += times;
    }

    private Sketch sketch(String jobClass, int tasks) {
        String key = key(jobClass, tasks);
        changed.add(key);
        return byKey.computeIfAbsent(key, k -> new Sketch());
    }

    @Override
    public Means.Runs of(String jobClass, int tasks) {
        return byKey.get(key(jobClass, tasks));
    }

    /** One that is to be written; null if all are. */
    String nextChanged() {
        return changed.isEmpty() ? null : changed.iterator().next();
    }

    void written(String key) {
        changed.remove(key);
    }

    Map<String, Object> value(String key) {
        Sketch s = byKey.get(key);
        ByteBuffer bytes = ByteBuffer.allocate(s.digest.smallByteSize());
        s.digest.asSmallBytes(bytes);
        return MessagePackFormat.map(
                "digest", Base64.getEncoder().encodeToString(bytes.array()), "failures", s.failures);
    }

    void read(VersionedRecord record) {
        Fields f = new Fields(record.value());
        Sketch s = new Sketch();
        s.digest = MergingDigest.fromBytes(ByteBuffer.wrap(Base64.getDecoder().decode(f.text("digest"))));
        s.failures = f.number("failures");
        byKey.put(record.key(), s);
    }
}
