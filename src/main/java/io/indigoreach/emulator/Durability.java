package io.indigoreach.emulator;

import io.indigoreach.emulator.model.Mutation;

/** Keeps what the state service changes. */
interface Durability {
    /** Nothing is kept: what was changed counts as kept at once. */
    Durability NONE = new Durability() {
        @Override
        public void keep(Mutation change) {}

        @Override
        public void whenKept(Runnable then) {
            then.run();
        }
    };

    void keep(Mutation change);

    /** Goes on once everything changed so far is kept; at once if it is. */
    void whenKept(Runnable then);
}
