package io.indigoreach.core.model;

/** Orders the messages of one worker: first by its session, then by its serial number. */
public record HeartbeatNumber(long session, long serial) implements Comparable<HeartbeatNumber> {
    public static final HeartbeatNumber NONE = new HeartbeatNumber(0, 0);

    @Override
    public int compareTo(HeartbeatNumber other) {
        int bySession = Long.compare(session, other.session);
        return bySession != 0 ? bySession : Long.compare(serial, other.serial);
    }
}
