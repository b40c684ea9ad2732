package io.indigoreach.state;

/** The state service rejected a request, which surely was not executed: an outage, or a limit. */
public class RequestRejectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    RequestRejectedException(int status) {
        super("the state service answers " + status, null, false, false);
    }
}
