package io.indigoreach.cli;

import picocli.CommandLine;

/** The program's entry: sets up logging from the environment, then hands over to the command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        Logging.configure(System.getenv("LOG_LEVEL"));
        CommandLine line = new CommandLine(new ServeCommand());
        line.setParameterExceptionHandler((e, a) -> {
            System.err.println("indigoreach: " + e.getMessage().lines().findFirst().orElse("bad arguments"));
            return 2;
        });
        line.setExecutionExceptionHandler((e, cmd, parsed) -> {
            System.err.println("indigoreach: " + e.getMessage());
            return 1;
        });
        int code = line.execute(args);
        if (code != ServeCommand.SERVING) {
            System.exit(code);
        }
    }
}
