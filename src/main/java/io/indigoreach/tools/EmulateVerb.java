package io.indigoreach.tools;

import io.indigoreach.checker.History;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.emulator.Emulator;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Serves as state service, cloud and workers. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = {
            "Serves as state service, cloud and workers for controllers, until it is ended.",
            "Writes each controller's settings and the cluster's file into --dir, then prints one line that it is ready."
        },
        footer = {
            "",
            "Example, the second line in another terminal for each node:",
            "  indigoreach emulate examples/emulate.textproto --data /var/lib/indigoreach-state",
            "  indigoreach serve --config .indigoreach/node-0.toml"
        })
final class EmulateVerb implements Callable<Integer> {
    private static final long OPENS_WITHIN_S = 60;

    @Parameters(paramLabel = "FILE", description = "a scenario (protobuf text format; see check --list scenario)")
    private Path file;

    @Option(
            names = "--dir",
            paramLabel = "DIR",
            defaultValue = ".indigoreach",
            description = "where the controllers' settings go; default: ${DEFAULT-VALUE}")
    private Path directory;

    @Option(
            names = "--data",
            paramLabel = "DIR",
            description = "keep the state service's contents here, through any end of the process")
    private Path data;

    @Option(
            names = "--host",
            paramLabel = "IP",
            defaultValue = "127.0.0.1",
            description = "where to listen; default: ${DEFAULT-VALUE}")
    private String host;

    @Option(
            names = "--port",
            paramLabel = "N",
            defaultValue = "0",
            description = "the first of the ports to use, four for each controller and one more; 0: free ones")
    private int port;

    @Override
    public Integer call() throws ConfigException, IOException, InterruptedException {
        Scenario scenario = TextForm.read(file, Scenario.class);
        Vertx vertx = Vertx.vertx();
        CountDownLatch ended = new CountDownLatch(1);
        Throwable[] broken = new Throwable[1];
        Emulator emulator;
        try {
            emulator = Emulator.start(vertx, scenario, new Emulator.Place(host, port, data), new History.Discarded())
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(OPENS_WITHIN_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            vertx.close();
            Throwable cause = e.getCause() instanceof java.io.UncheckedIOException u ? u.getCause() : e.getCause();
            throw new Failure(Tool.WRONG, cause == null ? "it did not open in time" : cause.getMessage());
        }
        emulator.broken().onFailure(e -> {
            broken[0] = e;
            ended.countDown();
        });
        String ready = write(emulator);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            emulator.close()
                                    .eventually(vertx::close)
                                    .toCompletionStage()
                                    .toCompletableFuture()
                                    .join();
                            ended.countDown();
                        },
                        "end"));
        System.out.println(ready);
        ended.await();
        if (broken[0] != null) {
            throw new Failure(Tool.WRONG, "the state service's contents cannot be kept: " + broken[0].getMessage());
        }
        return Tool.DONE;
    }

    private String write(Emulator emulator) throws IOException {
        Files.createDirectories(directory);
        for (PlatformConfig node : emulator.nodes()) {
            Files.writeString(directory.resolve(node.node() + ".toml"), node.toText());
        }
        PlatformConfig first = emulator.nodes().get(0);
        ClusterFile cluster = new ClusterFile(
                emulator.nodes().stream().map(n -> n.listen().toString()).toList(),
                first.state().toString(),
                first.cloud().toString(),
                emulator.depotEndpoint().toString());
        Files.writeString(directory.resolve(ClusterFile.NAME), cluster.toText());
        return "ready: state " + first.state() + " cloud " + first.cloud() + " depot " + emulator.depotEndpoint()
                + " settings " + directory.resolve("node-*.toml") + " cluster " + directory.resolve(ClusterFile.NAME);
    }
}
