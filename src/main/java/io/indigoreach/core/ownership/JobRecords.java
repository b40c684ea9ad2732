package io.indigoreach.core.ownership;

import java.util.AbstractList;
import java.util.List;

/**
 * Which records a job names and which task has which: spread evenly in their order, so that with as many records as tasks
 * each has one, and of twice as many each has two that follow each other.
 *
 * @param list the records
 * @param tasks of the job
 */
public record JobRecords(List<RecordId> list, int tasks) {
    public static final int MOST = 20_000;

    /** A range of a group: the ids that begin with {@code prefix} and go on with these numbers. */
    public static List<RecordId> range(String prefix, int from, int to) {
        return new AbstractList<>() {
            @Override
            public RecordId get(int index) {
                return new RecordId(prefix + (from + index));
            }

            @Override
            public int size() {
                return to - from + 1;
            }
        };
    }

    private int first(int task) {
        return (int) ((long) task * list.size() / tasks);
    }

    /** A task's own. */
    List<RecordId> of(int task) {
        return list.subList(first(task), first(task + 1));
    }
}
