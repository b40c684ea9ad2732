package io.indigoreach.cli;

import io.indigoreach.cluster.Node;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.net.EventLoops;
import java.nio.file.Path;
import org.slf4j.LoggerFactory;

/** The commands of the node's command line. Each returns the exit code of the process. */
final class Commands {
    /** Returned in place of an exit code if the process keeps serving. */
    static final int SERVING = -1;

    private Commands() {}

    /** Validates both files, then starts the node. */
    static int serve(String configFile, String settingsFile) throws ConfigException {
        if (configFile == null) {
            throw new ConfigException("--config FILE is needed; see --help");
        }
        PlatformConfig platform = PlatformConfig.read(Path.of(configFile));
        Node node = new Node(EventLoops.vertx(), platform, readSettings(settingsFile));
        node.start().onFailure(failure -> {
            LoggerFactory.getLogger(Commands.class).error("startup failed cause={}", failure.getMessage());
            System.exit(1);
        });
        return SERVING;
    }

    /** Validates the given files. */
    static int check(String configFile, String settingsFile) throws ConfigException {
        if (configFile == null && settingsFile == null) {
            throw new ConfigException("check: nothing to check; give --config FILE, --settings FILE or --list");
        }
        Settings operatorSettings = readSettings(settingsFile);
        if (configFile != null) {
            operatorSettings.leaderLease(
                    PlatformConfig.read(Path.of(configFile)).safetyTimes());
        }
        System.out.println("ok");
        return 0;
    }

    /** Prints the operators' settings with units, defaults and ranges. */
    static int listSettings() {
        for (Settings.Setting setting : Settings.Setting.values()) {
            System.out.println(setting.help());
        }
        return 0;
    }

    private static Settings readSettings(String settingsFile) throws ConfigException {
        return settingsFile == null ? Settings.defaults() : SettingsFile.read(Path.of(settingsFile));
    }
}
