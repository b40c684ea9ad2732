package io.indigoreach.core.model;

import java.util.regex.Pattern;

/** A job's id, chosen by its user. The format needs no escaping, so an id can be part of a key or a path. */
public record JobId(String text) implements Comparable<JobId> {
    private static final Pattern PATTERN = Pattern.compile("run-[0-9]{1,18}");

    /** Rejects text that does not match the format of a job id. */
    public JobId {
        if (!isValid(text)) {
            throw new IllegalArgumentException("not a job id: " + text);
        }
    }

    public static boolean isValid(String text) {
        return text != null && PATTERN.matcher(text).matches();
    }

    @Override
    public int compareTo(JobId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
