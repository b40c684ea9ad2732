package io.indigoreach.net;

/** An answer of another service: its status and, where it could be read, its body. */
public record ServiceResponse(int status, Fields body) {
    public boolean isOk() {
        return status == 200;
    }
}
