package io.indigoreach.core.ownership;

/** It cannot be said yet: the message says what to do, or who is waited for. Whoever asked asks again. */
public final class Unsettled extends RuntimeException {
    private static final long serialVersionUID = 1;

    Unsettled(String message) {
        super(message, null, false, false);
    }
}
