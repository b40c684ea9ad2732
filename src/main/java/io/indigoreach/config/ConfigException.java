package io.indigoreach.config;

/** Thrown if a configuration file is invalid. The message is one line that names the file and the field. Has no stack trace. */
public final class ConfigException extends Exception {
    /** Creates an exception with a one-line message. */
    public ConfigException(String message) {
        super(message, null, false, false);
    }
}
