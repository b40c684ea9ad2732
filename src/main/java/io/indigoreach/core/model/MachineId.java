package io.indigoreach.core.model;

/** A rented machine's name, given by the cloud. */
public record MachineId(String text) implements Comparable<MachineId> {
    /** Rejects text that is no name of a machine. */
    public MachineId {
        if (text == null || text.isEmpty() || text.length() > 120 || text.indexOf('/') >= 0 || text.indexOf(' ') >= 0) {
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
