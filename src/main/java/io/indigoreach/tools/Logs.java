package io.indigoreach.tools;

import java.util.List;

/** Chooses how the log is written; must run before the first logger is made. */
final class Logs {
    private Logs() {}

    /** Plain lines as the node writes them, or JSON lines; tools for people are quiet unless asked otherwise. */
    static void configure(String format, String level, String... args) {
        boolean serves = args.length > 0 && List.of("serve", "emulate").contains(args[0]);
        String wanted = level != null ? level : serves ? "info" : "error";
        System.setProperty("slf4j.internal.verbosity", "WARN");
        if ("json".equals(format)) {
            System.setProperty("slf4j.provider", "ch.qos.logback.classic.spi.LogbackServiceProvider");
            System.setProperty("logback.configurationFile", "io/indigoreach/tools/logback-json.xml");
            System.setProperty("LOG_LEVEL", wanted);
        } else {
            System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
            System.setProperty("org.slf4j.simpleLogger.log.io.indigoreach", wanted);
            // Connections that are cut are what an emulator is for, no error of it.
            System.setProperty("org.slf4j.simpleLogger.log.io.vertx", "off");
            System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
            System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        }
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }
}
