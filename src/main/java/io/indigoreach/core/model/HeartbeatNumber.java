package io.indigoreach.core.model;

/** Orders the heartbeats of one worker: first by its incarnation, then by its sequence number. */
public record HeartbeatNumber(long incarnation, long sequence) implements Comparable<HeartbeatNumber> {
    public static final HeartbeatNumber NONE = new HeartbeatNumber(0, 0);

    @Override
    public int compareTo(HeartbeatNumber other) {
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }
}
