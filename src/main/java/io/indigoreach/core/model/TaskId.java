package io.indigoreach.core.model;

/** One task of a job, numbered from 0. */
public record TaskId(JobId job, int index) {
    /**
     * Parses a job id and an index, such as {@code run-000412/3}.
     *
     * @throws IllegalArgumentException if the text has another format
     */
    public static TaskId parse(String text) {
        int slash = text == null ? -1 : text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("not a task: " + text);
        }
        int index = Integer.parseInt(text.substring(slash + 1));
        if (index < 0) {
            throw new IllegalArgumentException("not a task: " + text);
        }
        return new TaskId(new JobId(text.substring(0, slash)), index);
    }

    @Override
    public String toString() {
        return job.text() + "/" + index;
    }
}
