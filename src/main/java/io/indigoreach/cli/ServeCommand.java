package io.indigoreach.cli;

import io.indigoreach.cluster.Node;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Serves as a controller node. */
@Command(name = "indigoreach", mixinStandardHelpOptions = true, versionProvider = Version.class,
        description = "Runs jobs on a cluster of rented machines that follows the queue.",
        subcommands = {CheckCommand.class, RehearseCommand.class},
        footer = {"", "The log goes to standard error; LOG_LEVEL is error, info or debug."})
final class ServeCommand implements Callable<Integer> {
    static final int SERVING = -1;

    @Option(names = "--config", paramLabel = "FILE", description = "the platform's file (TOML)")
    private Path config;

    @Option(names = "--settings", paramLabel = "FILE",
            description = "the operators' settings (protobuf text format); `check --list` shows them")
    private Path settings;

    @Override
    public Integer call() throws ConfigException {
        if (config == null) {
            throw new ConfigException("--config FILE is needed; see --help");
        }
        PlatformConfig platform = PlatformConfig.read(config);
        Settings own = settings == null ? Settings.standard() : SettingsFile.read(settings);
        Vertx vertx = Runtime.vertx();
        new Node(vertx, platform, own).start().onFailure(e -> {
            LoggerFactory.getLogger(ServeCommand.class).error("cannot serve: {}", e.getMessage());
            System.exit(1);
        });
        return SERVING;
    }
}
