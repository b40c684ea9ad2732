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
 * The platform's file: the identity of this node, the addresses that it uses, and the limits that apply to it. Unknown fields are
 * ignored.
 *
 * @param node the name of this node
 * @param zone the availability zone of this node
 * @param listen the address for users and workers
 * @param peerListen the address for the other nodes
 * @param peers the other nodes
 * @param cloud the address of the cloud
 * @param state the address of the state service
 * @param zones the availability zones in which machines can be rented
 * @param maxClockError the most by which the time of day may be wrong
 * @param teams the teams with their quotas; at least one
 * @param objectives the service-level objectives
 * @param rules the times that safety rests on
 * @param stateLimits the limits of the state service
 * @param cloudLimits the limits of the cloud
 * @param maxConnections the most connections that a node may have open
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
     * @param kind what is measured
     * @param within the time that is aimed at
     * @param share the part of the jobs that should meet it, 0 to 1
     */
    public record Objective(String kind, String jobClass, Span targetTime, double share) {}

    /** The limits of the state service: for each the smaller of the current and the announced one. {@code valueBytes} counts compact JSON. */
    public record StateLimits(double requestsPerS, double writesPerS, int valueBytes, int txnOps) {
        /** The fewest writes in a transaction that a node can work with: the leadership key and the counter, and a job's two keys, change together. */
        public static final int MIN_TXN_OPS = 2;

        /** The part of a value's limit that is used: the rest is for a service that counts spaces or escapes. */
        private static final double USED_FRACTION_OF_VALUE_LIMIT = 0.8;

        /** The smaller of each of the two. */
        public StateLimits minimum(StateLimits other) {
            return new StateLimits(
                    Math.min(requestsPerS, other.requestsPerS),
                    Math.min(writesPerS, other.writesPerS),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(txnOps, other.txnOps));
        }

        /** The longest value to be written, in bytes by {@link io.indigoreach.net.JsonSize}. */
        public int maxRecordBytes() {
            return (int) (valueBytes * USED_FRACTION_OF_VALUE_LIMIT);
        }
    }

    /** The limits of the cloud; {@code listLag}: the age of its list of machines at most. */
    public record CloudLimits(double requestsPerS, Span maxListAge) {}

    /** Reads and checks the file. */
    public static PlatformConfig read(Path file) throws ConfigException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
        return parse(file.toString(), text);
    }

    /** Parses a text; {@code name} is the file's name in error messages. */
    public static PlatformConfig parse(String fileName, String text) throws ConfigException {
        return PlatformConfigReader.parse(fileName, text);
    }

    /** The file that {@link #parse} reads this from; announced limits are written as if they applied already. */
    public String toText() {
        return PlatformConfigWriter.write(this);
    }
}
