package io.indigoreach.state;

import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.net.JsonSize;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The limits that the state service has shown by refusing a transaction as too large. Settings that announce what comes make this
 * unnecessary; where they don't, a refusal lowers what is written from then on, step by step down to a floor, so that
 * nothing is repeated for ever as it was.
 */
public final class EffectiveLimits {
    private static final Logger LOG = LoggerFactory.getLogger(EffectiveLimits.class);
    private static final int MIN_VALUE_BYTES = 512;

    /** No limit at all. */
    static final StateLimits NONE =
            new StateLimits(Double.MAX_VALUE, Double.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    private StateLimits observed = NONE;
    private int refusals;

    /** What holds under these settings. */
    public StateLimits within(StateLimits settings) {
        return settings.minimum(observed);
    }

    /** How long a value may become where the settings allow {@code valueBytes}. */
    public int room(int valueBytes) {
        return within(new StateLimits(NONE.requestsPerS(), NONE.writesPerS(), valueBytes, NONE.txnOps()))
                .maxRecordBytes();
    }

    /** Transactions that were refused as malformed or too large. */
    public int refusals() {
        return refusals;
    }

    /** The service does not say which limit it was: both are taken to be lower than what was sent. */
    void transactionRefused(StateClient.Txn txn) {
        refusals++;
        String key = "";
        int largest = 0;
        for (StateClient.Write write : txn.writes()) {
            int bytes = write.isDelete() ? 0 : JsonSize.of(write.value());
            if (bytes >= largest) {
                largest = bytes;
                key = write.key();
            }
        }
        LOG.error(
                "transaction rejected by limits changes={} largest_key={} largest_bytes={} refusals={}",
                txn.size(),
                key,
                largest,
                refusals);
        observed = observed.minimum(new StateLimits(
                observed.requestsPerS(),
                observed.writesPerS(),
                largest > MIN_VALUE_BYTES ? Math.max(MIN_VALUE_BYTES, largest / 2) : observed.valueBytes(),
                txn.size() > StateLimits.MIN_TXN_OPS
                        ? Math.max(StateLimits.MIN_TXN_OPS, txn.size() / 2)
                        : observed.txnOps()));
    }
}
