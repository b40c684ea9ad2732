package io.indigoreach.cli;

/** Configures the log on standard error; must run before the first logger is created. */
final class Logging {
    private Logging() {}

    /** Takes {@code error}, {@code info} or {@code debug}; anything else counts as {@code info}. */
    static void configure(String level) {
        String effectiveLevel = "error".equals(level) || "debug".equals(level) ? level : "info";
        set("defaultLogLevel", "error");
        set("log.io.indigoreach", effectiveLevel);
        set("logFile", "System.err");
        set("showThreadName", "false");
        set("showShortLogName", "true");
        set("showDateTime", "false");
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }

    private static void set(String name, String value) {
        System.setProperty("org.slf4j.simpleLogger." + name, value);
    }
}
