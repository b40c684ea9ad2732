package io.indigoreach.state;

import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.net.JsonSize;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adapts the limits for transactions to the ones that the state service enforces. When the service rejects a transaction that is
 * within the configured limits, this class lowers the limits to half the size of that transaction, down to a minimum, so that the
 * same transaction is not retried unchanged forever. Correctly configured limits make this unnecessary.
 */
public final class EffectiveLimits {
    private static final Logger LOG = LoggerFactory.getLogger(EffectiveLimits.class);
    private static final int MIN_VALUE_BYTES = 512;

    /** Unlimited. */
    static final StateLimits UNLIMITED =
            new StateLimits(Double.MAX_VALUE, Double.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    private StateLimits observed = UNLIMITED;
    private int rejections;

    /** The stricter of the configured and the observed limits. */
    public StateLimits applyTo(StateLimits configured) {
        return configured.minimum(observed);
    }

    /** The maximum size of a record if the settings allow {@code valueBytes}. */
    public int maxRecordBytes(int valueBytes) {
        return applyTo(new StateLimits(
                        UNLIMITED.requestsPerS(), UNLIMITED.writesPerS(), valueBytes, UNLIMITED.txnOps()))
                .maxRecordBytes();
    }

    /** The number of transactions that were rejected as malformed or too large. */
    public int rejections() {
        return rejections;
    }

    /** Lowers both limits below the rejected transaction, as the service does not report which limit was exceeded. */
    void transactionRejected(StateClient.Txn txn) {
        rejections++;
        String largestKey = "";
        int largestBytes = 0;
        for (StateClient.Write write : txn.writes()) {
            int bytes = write.isDelete() ? 0 : JsonSize.of(write.value());
            if (bytes >= largestBytes) {
                largestBytes = bytes;
                largestKey = write.key();
            }
        }
        LOG.error(
                "transaction rejected by limits changes={} largest_key={} largest_bytes={} refusals={}",
                txn.size(),
                largestKey,
                largestBytes,
                rejections);
        observed = observed.minimum(new StateLimits(
                observed.requestsPerS(),
                observed.writesPerS(),
                largestBytes > MIN_VALUE_BYTES ? Math.max(MIN_VALUE_BYTES, largestBytes / 2) : observed.valueBytes(),
                txn.size() > StateLimits.MIN_TXN_OPS
                        ? Math.max(StateLimits.MIN_TXN_OPS, txn.size() / 2)
                        : observed.txnOps()));
    }
}
