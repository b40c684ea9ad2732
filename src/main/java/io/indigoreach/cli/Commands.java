package io.indigoreach.cli;

import io.indigoreach.cluster.Node;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.net.EventLoops;
import java.nio.file.Path;
import org.slf4j.LoggerFactory;

/** What the command line can ask for. */
final class Commands {
    static final int SERVING = -1;

    private Commands() {}

    /** Validates everything before anything is served. */
    static int serve(String config, String settings) throws ConfigException {
        if (config == null) {
            throw new ConfigException("--config FILE is needed; see --help");
        }
        PlatformConfig platform = PlatformConfig.read(Path.of(config));
        Node node = new Node(EventLoops.vertx(), platform, read(settings));
        node.start().onFailure(e -> {
            LoggerFactory.getLogger(Commands.class).error("cannot serve: {}", e.getMessage());
            System.exit(1);
        });
        return SERVING;
    }

    static int check(String config, String settings) throws ConfigException {
        if (config == null && settings == null) {
            throw new ConfigException("check: nothing to check; give --config FILE, --settings FILE or --list");
        }
        Settings own = read(settings);
        if (config != null) {
            own.leaderLease(PlatformConfig.read(Path.of(config)).rules());
        }
        System.out.println("ok");
        return 0;
    }

    static int list() {
        for (Settings.Setting knob : Settings.Setting.values()) {
            System.out.println(knob.help());
        }
        return 0;
    }

    private static Settings read(String settings) throws ConfigException {
        return settings == null ? Settings.standard() : SettingsFile.read(Path.of(settings));
    }
}
