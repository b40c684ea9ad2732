package io.indigoreach.state;

/** The state service rejected a request without executing it, because of an outage or a limit. */
public class StateRequestRejectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    StateRequestRejectedException(int status) {
        super("the state service rejected the request with status " + status, null, false, false);
    }
}
