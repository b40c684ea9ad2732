package io.indigoreach.config;

import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.SafetyTimes;
import io.indigoreach.net.Endpoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The platform configuration: the identity of this node, the addresses that it uses, and the limits that apply to it. Unknown
 * fields of the file are ignored.
 *
 * @param node the name of this node
 * @param zone the availability zone of this node
 * @param listen the listen address for users and workers
 * @param peerListen the listen address for the other nodes
 * @param peers the other nodes
 * @param cloud the address of the cloud
 * @param state the address of the state service
 * @param zones the availability zones in which machines can be rented
 * @param maxClockError the maximum error of the time of day
 * @param teams the teams with their quotas; at least one
 * @param objectives the service-level objectives
 * @param safetyTimes the lease, heartbeat and cancellation times that the safety rules depend on
 * @param stateLimits the limits of the state service
 * @param cloudLimits the limits of the cloud
 * @param maxConnections the maximum number of open connections of a node
 */
public record PlatformConfig(
        String node,
        String zone,
        Endpoint listen,
        Endpoint peerListen,
        List<Peer> peers,
        Endpoint cloud,
        Endpoint state,
        List<String> zones,
        Span maxClockError,
        List<Team> teams,
        List<Objective> objectives,
        SafetyTimes safetyTimes,
        StateLimits stateLimits,
        CloudLimits cloudLimits,
        int maxConnections) {
    /** Bytes in a KiB. */
    static final double KIBIBYTE = 1024;

    /** Another controller node. */
    public record Peer(String node, String zone, Endpoint endpoint) {}

    /**
     * A service-level objective of a job class.
     *
     * @param kind the measured quantity
     * @param targetTime the target time
     * @param share the fraction of the jobs that should meet the target, 0 to 1
     */
    public record Objective(String kind, String jobClass, Span targetTime, double share) {}

    /** The limits of the state service, each the smaller of the current and the announced limit. {@code valueBytes} counts compact JSON. */
    public record StateLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {
        /** Minimum number of writes per transaction: a node changes the leadership key and the counter, or a job's two keys, together. */
        public static final int MIN_TXN_OPS = 2;

        /** The fraction of the value limit that records use. The rest is a reserve in case the service counts spaces or escapes. */
        private static final double USED_FRACTION_OF_VALUE_LIMIT = 0.8;

        /** Returns the smaller of the two values for each limit. */
        public StateLimits minimum(StateLimits other) {
            return new StateLimits(
                    Math.min(requestsPerS, other.requestsPerS),
                    Math.min(writesPerS, other.writesPerS),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(txnOps, other.txnOps));
        }

        /** Returns the maximum size of a record, in bytes as counted by {@link io.indigoreach.net.JsonSize}. */
        public int maxRecordBytes() {
            return (int) (valueBytes * USED_FRACTION_OF_VALUE_LIMIT);
        }
    }

    /** The limits of the cloud; {@code maxListAge} is the maximum age of its list of machines. */
    public record CloudLimits(double requestsPerS, Span maxListAge) {}

    /** Reads and validates the file. */
    public static PlatformConfig read(Path file) throws ConfigException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(file.toString(), text);
    }

    /** Parses a configuration; {@code fileName} is used in error messages. */
    public static PlatformConfig parse(String fileName, String text) throws ConfigException {
        return PlatformConfigReader.parse(fileName, text);
    }

    /** Returns the text of a file that {@link #parse} reads as this configuration. Announced limits are written as current limits. */
    public String toText() {
        return PlatformConfigWriter.write(this);
    }
}
