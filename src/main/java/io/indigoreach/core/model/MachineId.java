package io.indigoreach.core.model;

/** The name that the cloud assigned to a rented machine. */
public record MachineId(String text) implements Comparable<MachineId> {
    private static final int MAX_LENGTH = 120;

    /** Rejects text that is not a valid machine name. */
    public MachineId {
        if (text == null
                || text.isEmpty()
                || text.length() > MAX_LENGTH
                || text.indexOf('/') >= 0
                || text.indexOf(' ') >= 0) {
            throw new IllegalArgumentException("not a machine name: " + text);
        }
    }

    @Override
    public int compareTo(MachineId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
