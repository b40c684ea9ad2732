package io.indigoreach.config;

/** A settings file that cannot be used; the message is one line that names the file and the field. No stack trace is recorded. */
public final class ConfigException extends Exception {
    /** {@code message}: one line. */
    public ConfigException(String message) {
        super(message, null, false, false);
    }
}
