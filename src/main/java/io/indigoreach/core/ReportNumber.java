package io.indigoreach.core;

/** Orders the messages of one worker: first by its session, then by its serial number. */
public record ReportNumber(long session, long serial) implements Comparable<ReportNumber> {
    public static final ReportNumber NONE = new ReportNumber(0, 0);

    @Override
    public int compareTo(ReportNumber other) {
        int bySession = Long.compare(session, other.session);
        return bySession != 0 ? bySession : Long.compare(serial, other.serial);
    }
}
