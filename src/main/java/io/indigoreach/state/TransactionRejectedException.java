package io.indigoreach.state;

/** The state service rejected a transaction that it never will execute as it is: too large, or malformed. */
public final class TransactionRejectedException extends StateRequestRejectedException {
    private static final long serialVersionUID = 1;

    TransactionRejectedException(int status) {
        super(status);
    }
}
