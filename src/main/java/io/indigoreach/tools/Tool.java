package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import java.nio.file.Path;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The command line for people: serves, emulates, experiments, and speaks to a cluster as its users do. */
@Command(
        name = "indigoreach",
        mixinStandardHelpOptions = true,
        versionProvider = Tool.Version.class,
        description = "A cluster scheduler on rented machines, and the tools to try, test and use it.",
        synopsisSubcommandLabel = "VERB",
        subcommands = {
            DemoVerb.class,
            ServeVerb.class,
            CheckVerb.class,
            EmulateVerb.class,
            ExperimentVerb.class,
            SubmitVerb.class,
            StatusVerb.class,
            CancelVerb.class,
            JobsVerb.class,
            MachinesVerb.class,
            DutiesVerb.class,
            WatchVerb.class,
            MeasureVerb.class,
            CalendarVerb.class,
            RecordsVerb.class,
            PoolsVerb.class,
            GenerateCompletion.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:a wrong file, or it could not be done",
            "2:a wrong command line",
            "3:a rule was broken, or a plan can't be ready",
            "4:the service could not be reached in time",
            "5:refused: records are another's, or in doubt (records)"
        },
        footer = {
            "",
            "Try it:",
            "  indigoreach demo",
            "",
            "LOG_LEVEL is error, info or debug; LOG_FORMAT=json writes the " + "log as JSON lines."
        })
public final class Tool implements Runnable {
    static final int DONE = 0;
    static final int WRONG = 1;
    static final int USAGE = 2;
    static final int BROKEN = 3;
    static final int UNREACHABLE = 4;
    static final int REFUSED = 5;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The version from the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Tool.class.getPackage().getImplementationVersion();
            return new String[] {"indigoreach " + (version == null ? "(development)" : version)};
        }
    }

    public static void main(String[] args) {
        Logs.configure(System.getenv("LOG_FORMAT"), System.getenv("LOG_LEVEL"), args);
        int code = run(args);
        if (code != ServeVerb.SERVING) {
            System.exit(code);
        }
    }

    /** Carries out a command line; the result is its exit code. */
    static int run(String... args) {
        CommandLine line = new CommandLine(new Tool()).setCaseInsensitiveEnumValuesAllowed(true);
        line.getSubcommands()
                .get("generate-completion")
                .getCommandSpec()
                .usageMessage()
                .description("Prints a completion script: source <(indigoreach generate-completion)");
        line.setExecutionExceptionHandler((e, command, result) -> {
            boolean known = e instanceof ConfigException || e instanceof java.io.IOException || e instanceof Failure;
            command.getErr()
                    .println("indigoreach: "
                            + (known ? e.getMessage().lines().findFirst().orElse("failed") : e.toString()));
            return e instanceof Failure f ? f.code() : WRONG;
        });
        return line.execute(args);
    }

    /** Where the program was unpacked: from the launcher, or the present directory. */
    static Path home() {
        return Path.of(System.getProperty("indigoreach.home", "."));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a verb is missing, such as demo");
    }
}
