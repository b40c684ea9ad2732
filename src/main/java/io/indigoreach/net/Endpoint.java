package io.indigoreach.net;

/** Where something listens: an IP number and a port. */
public record Endpoint(String host, int port) {
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
