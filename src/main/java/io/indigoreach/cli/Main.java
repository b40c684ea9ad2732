package io.indigoreach.cli;

import io.indigoreach.config.ConfigException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The entry point of a node: configures logging from the environment and parses the command line. */
public final class Main {
    private static final String USAGE = "indigoreach [check] [--config FILE] [--settings FILE]";
    private static final String HELP_HEADER =
            "Serves as a controller node: runs jobs on a cluster of rented machines that "
                    + "follows the queue. With 'check', validates the given files without serving.";
    private static final String HELP_FOOTER = "The log goes to standard error; LOG_LEVEL is error, info or debug.";

    private Main() {}

    /** Runs a command. Unless the node serves, exits with 0, with 1 for an invalid file, or with 2 for invalid arguments. */
    public static void main(String[] args) {
        Logging.configure(System.getenv("LOG_LEVEL"));
        int exitCode;
        try {
            exitCode = run(args);
        } catch (ParseException | ConfigException e) {
            System.err.println(
                    "indigoreach: " + e.getMessage().lines().findFirst().orElse("bad arguments"));
            exitCode = e instanceof ParseException ? 2 : 1;
        }
        if (exitCode != Commands.SERVING) {
            System.exit(exitCode);
        }
    }

    /** Returns the exit code, or {@link Commands#SERVING} if the process keeps serving. */
    static int run(String[] args) throws ParseException, ConfigException {
        Options options = options();
        CommandLine commandLine = new DefaultParser(false).parse(options, args);
        if (commandLine.hasOption("help")) {
            PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
            new HelpFormatter().printHelp(out, 100, USAGE, HELP_HEADER, options, 2, 3, HELP_FOOTER);
            out.flush();
            return 0;
        }
        if (commandLine.hasOption("version")) {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("indigoreach " + (version == null ? "(development)" : version));
            return 0;
        }
        String config = commandLine.getOptionValue("config");
        String settings = commandLine.getOptionValue("settings");
        String command = commandLine.getArgList().isEmpty()
                ? "serve"
                : commandLine.getArgList().get(0);
        if (commandLine.getArgList().size() > 1) {
            throw new ParseException(
                    "unexpected argument: " + commandLine.getArgList().get(1));
        }
        return switch (command) {
            case "serve" -> Commands.serve(config, settings);
            case "check" -> commandLine.hasOption("list") ? Commands.listSettings() : Commands.check(config, settings);
            case "rehearse" -> Rehearsal.run();
            default -> throw new ParseException("unknown command: " + command);
        };
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(Option.builder()
                .longOpt("config")
                .hasArg()
                .argName("FILE")
                .desc("the platform's file (TOML)")
                .build());
        options.addOption(Option.builder()
                .longOpt("settings")
                .hasArg()
                .argName("FILE")
                .desc("the operators' settings (protobuf text format)")
                .build());
        options.addOption(Option.builder()
                .longOpt("list")
                .desc("with 'check': list the operators' settings with units and defaults")
                .build());
        options.addOption("h", "help", false, "show this help and exit");
        options.addOption("V", "version", false, "show the version and exit");
        return options;
    }
}
