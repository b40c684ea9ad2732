package io.indigoreach.cli;

import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Validates both files without serving, or lists the operators' settings. */
@Command(name = "check", mixinStandardHelpOptions = true,
        description = "Validates the given files without serving.")
final class CheckCommand implements Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", description = "the platform's file (TOML)")
    private Path config;

    @Option(names = "--settings", paramLabel = "FILE", description = "the operators' settings")
    private Path settings;

    @Option(names = "--list", description = "list the operators' settings with units and defaults")
    private boolean list;

    @Override
    public Integer call() throws ConfigException {
        if (list) {
            for (Settings.Knob knob : Settings.Knob.values()) {
                System.out.println(knob.help());
            }
            return 0;
        }
        if (config == null && settings == null) {
            throw new ConfigException("check: nothing to check; give --config FILE, --settings FILE or --list");
        }
        Settings own = settings == null ? Settings.standard() : SettingsFile.read(settings);
        if (config != null) {
            own.leaderLease(PlatformConfig.read(config).rules());
        }
        System.out.println("ok");
        return 0;
    }
}
