package io.indigoreach.net;

/**
 * An address to listen on or to connect to.
 *
 * @param host an IP address
 * @param port 0 to 65535; for 0 the operating system chooses a free port
 */
public record Endpoint(String host, int port) {
    /** Parses {@code HOST:PORT}; throws {@link IllegalArgumentException} if the text has another form. */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > 65535) {
            throw new IllegalArgumentException("not a port: " + text);
        }
        return new Endpoint(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
