package io.indigoreach.core.ownership;

/**
 * What a page says of one record.
 *
 * @param fence grows with each change of who may bill it, also over lost state; who shows a lower one was replaced
 * @param holder the job or export run; of what a person resolved, the person and the reason
 * @param task of a job the number of its task that bills it; empty for an export
 * @param attempt the task's or run's latest attempt that asked to bill; of what is only claimed, its claim's life
 * @param sinceMs time of day of the last change
 */
public record Entry(State state, long fence, String holder, String task, long attempt, long sinceMs) {
    /** {@link #CLAIMED} holds only as its claim's own record says ({@link Claim}). */
    public enum State {
        /** Said by a person, after it was something else. */
        FREE('f'),
        CLAIMED('c'),
        BILLING('b'),
        /** Final. */
        BILLED('p'),
        /** Begun, or perhaps begun, by somebody who is not there any more. */
        DOUBT('d');

        final char letter;

        State(char letter) {
            this.letter = letter;
        }

        static State of(char letter) {
            for (State s : values()) {
                if (s.letter == letter) {
                    return s;
                }
            }
            throw new IllegalArgumentException("no state " + letter);
        }
    }

    static Entry claimed(long fence, String holder, String task, Claim by, long now) {
        return new Entry(State.CLAIMED, fence, holder, task, by.life(), now);
    }

    Entry as(State next, long at) {
        return new Entry(next, fence, holder, task, attempt, at);
    }

    /** Another attempt goes on under the same name. */
    Entry begun(long newFence, long by, long at) {
        return new Entry(State.BILLING, newFence, holder, task, by, at);
    }

    boolean isOf(String name, String part) {
        return holder.equals(name) && task.equals(part);
    }

    /** A person's name and reason stand in the holder's place: names of jobs and runs have no spaces. */
    boolean isSaidByPerson() {
        return holder.indexOf(' ') >= 0;
    }

    /** Under which the effect is to be done, and is the same for all attempts. */
    public String billingName() {
        return task.isEmpty() ? holder : holder + "/" + task;
    }
}
