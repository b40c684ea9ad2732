package io.indigoreach.state;

/** The state service rejected a transaction as malformed or too large; repeating it unchanged cannot succeed. */
public final class TransactionRejectedException extends StateRequestRejectedException {
    private static final long serialVersionUID = 1;

    TransactionRejectedException(int status) {
        super(status);
    }
}
