package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.scenario.JobFile;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Validates files without doing anything with them. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates files without doing anything else, or lists what may stand in them.",
        footer = {
            "",
            "Examples:",
            "  indigoreach check --job examples/jobs/refill-routes.textproto",
            "  indigoreach check --list scenario"
        })
final class CheckVerb implements Callable<Integer> {
    /** The files that there are. */
    enum Form {
        SETTINGS,
        SCENARIO,
        JOB,
        CLUSTER,
        POOL
    }

    @Option(names = "--config", paramLabel = "FILE", description = "a platform's file (TOML)")
    private Path config;

    @Option(names = "--settings", paramLabel = "FILE", description = "operators' settings")
    private Path settings;

    @Option(names = "--scenario", paramLabel = "FILE", description = "a scenario for emulate and experiment")
    private Path scenario;

    @Option(names = "--job", paramLabel = "FILE", description = "a job")
    private Path job;

    @Option(names = "--list", paramLabel = "FORM", description = "lists the fields of ${COMPLETION-CANDIDATES}")
    private Form list;

    @Override
    public Integer call() throws ConfigException {
        if (list != null) {
            fields(list).forEach(System.out::println);
            return Tool.DONE;
        }
        if (config == null && settings == null && scenario == null && job == null) {
            throw new Failure(Tool.USAGE, "check: nothing to check; name a file, or --list FORM");
        }
        Settings own = settings == null ? Settings.defaults() : SettingsFile.read(settings);
        if (config != null) {
            own.leaderLease(PlatformConfig.read(config).safetyTimes());
        }
        if (scenario != null) {
            TextForm.read(scenario, Scenario.class);
        }
        if (job != null) {
            TextForm.read(job, JobFile.class);
        }
        System.out.println("ok");
        return Tool.DONE;
    }

    private static List<String> fields(Form form) {
        return switch (form) {
            case SETTINGS ->
                java.util.Arrays.stream(Settings.Setting.values())
                        .map(Settings.Setting::help)
                        .toList();
            case SCENARIO -> TextForm.fields(Scenario.class);
            case JOB -> TextForm.fields(JobFile.class);
            case POOL -> TextForm.fields(PoolFile.class);
            case CLUSTER -> TextForm.fields(ClusterFile.class);
        };
    }
}
