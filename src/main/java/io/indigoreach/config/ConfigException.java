package io.indigoreach.config;

/** A file that cannot be used; the message is one line that names the file and the field. */
public final class ConfigException extends Exception {
    public ConfigException(String message) {
        super(message, null, false, false);
    }
}
