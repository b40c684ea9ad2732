package io.indigoreach.state;

/** The state service rejected a request, which surely was not executed: an outage, or a limit. */
public class StateRequestRejectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    StateRequestRejectedException(int status) {
        super("the state service answers " + status, null, false, false);
    }
}
