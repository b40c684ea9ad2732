package io.indigoreach.core.model;

/** Orders the messages of one worker: first by its session, then by its serial number. */
public record HeartbeatNumber(long incarnation, long sequence) implements Comparable<HeartbeatNumber> {
    public static final HeartbeatNumber NONE = new HeartbeatNumber(0, 0);

    @Override
    public int compareTo(HeartbeatNumber other) {
        int bySession = Long.compare(incarnation, other.incarnation);
        return bySession != 0 ? bySession : Long.compare(sequence, other.sequence);
    }
}
