package io.indigoreach.core.model;

import java.util.regex.Pattern;

/** A job's id, chosen by its user. The form is fixed, so an id can be used as part of a key or a path as it is. */
public record JobId(String text) implements Comparable<JobId> {
    private static final Pattern PATTERN = Pattern.compile("run-[0-9]{1,18}");

    /** Rejects text that has not the form of a job id. */
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
