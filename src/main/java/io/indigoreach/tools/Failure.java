package io.indigoreach.tools;

/** Something that could not be done, with the exit code that says so. */
final class Failure extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final int code;

    Failure(int code, String message) {
        super(message, null, false, false);
        this.code = code;
    }

    int code() {
        return code;
    }
}
