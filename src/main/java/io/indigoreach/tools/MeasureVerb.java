package io.indigoreach.tools;

import io.indigoreach.emulator.Measurements;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what the emulator carries on this machine. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "WHAT",
        description = "Measures what the emulator carries on this machine; see docs/MEASUREMENTS.md.")
final class MeasureVerb {
    @Option(
            names = "--dir",
            paramLabel = "DIR",
            defaultValue = "target/measure",
            scope = picocli.CommandLine.ScopeType.INHERIT,
            description = "for files; what is in it is not touched; default: ${DEFAULT-VALUE}")
    private Path directory;

    @Command(name = "state", description = "Transactions a second, beside a server that does nothing.")
    int state(
            @Option(names = "--connections", defaultValue = "32") int connections,
            @Option(names = "--seconds", defaultValue = "10") int seconds)
            throws Exception {
        Measurements.state(connections, seconds, fresh("state")).forEach(System.out::println);
        return Tool.DONE;
    }

    @Command(name = "silent", description = "Transactions beside very many silent connections.")
    int silent(
            @Option(names = "--count", defaultValue = "10000") int count,
            @Option(names = "--seconds", defaultValue = "5") int seconds)
            throws Exception {
        System.out.println(Measurements.silent(count, seconds));
        return Tool.DONE;
    }

    @Command(name = "workers", description = "Reports of many workers in one process.")
    int workers(
            @Option(names = "--count", defaultValue = "2000") int count,
            @Option(names = "--seconds", defaultValue = "20") int seconds)
            throws Exception {
        System.out.println(Measurements.workers(count, seconds));
        return Tool.DONE;
    }

    @Command(name = "recovery", description = "A restart from disk after many changes.")
    int recovery(@Option(names = "--changes", defaultValue = "1000000") long changes) throws IOException {
        Measurements.recovery(changes, fresh("recovery")).forEach(System.out::println);
        return Tool.DONE;
    }

    private Path fresh(String name) throws IOException {
        Files.createDirectories(directory);
        return Files.createTempDirectory(directory, name + "-");
    }
}
