package io.indigoreach.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Serves as a controller node; the same as the node's own program. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Serves as a controller node until it is ended.",
        footer = {"", "Example:", "  indigoreach serve --config .indigoreach/node-0.toml"})
final class ServeVerb implements Callable<Integer> {
    static final int SERVING = -1;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's file (TOML)")
    private String config;

    @Option(names = "--settings", paramLabel = "FILE", description = "the operators' settings (protobuf text format)")
    private String settings;

    @Override
    public Integer call() {
        List<String> args = new ArrayList<>(List.of("--config", config));
        if (settings != null) {
            args.addAll(List.of("--settings", settings));
        }
        io.indigoreach.cli.Main.main(args.toArray(new String[0]));
        return SERVING;
    }
}
