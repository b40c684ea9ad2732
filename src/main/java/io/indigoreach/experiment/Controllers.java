package io.indigoreach.experiment;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.toml.TomlParser;
import io.indigoreach.checker.Event;
import io.indigoreach.checker.History;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.net.SteadyClock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Controllers as real processes, started as {@code deploy/service.toml} says. They end with this process, also if it is
 * ended by a signal that can be caught.
 */
public final class Controllers implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Controllers.class);
    private static final long ENDS_WITHIN_S = 5;

    private final Path home;
    private final Path directory;
    private final List<String> command;
    private final History history;
    private final SteadyClock clock = new SteadyClock();
    private final Map<String, Process> processes = new TreeMap<>();
    private final Thread atEnd = new Thread(this::endAll, "controllers' end");
    private final List<String> endedBySelf = new ArrayList<>();
    private boolean closed;

    /**
     * @param home the program's directory, in which {@code deploy/service.toml} lies
     * @param directory for the nodes' settings and logs
     */
    public Controllers(Path home, Path directory, History history) throws ConfigException {
        this.home = home;
        this.directory = directory;
        this.history = history;
        Path deploy = home.resolve("deploy/service.toml");
        try {
            UnmodifiableConfig config = new TomlParser().parse(Files.readString(deploy));
            this.command = List.of(((String) config.get("run")).trim().split("\\s+"));
            Files.createDirectories(directory);
        } catch (IOException | RuntimeException e) {
            throw new ConfigException(deploy + ": cannot be used: " + e.getMessage());
        }
        java.lang.Runtime.getRuntime().addShutdownHook(atEnd);
    }

    /** Starts a node, for the first time or again. */
    public synchronized void start(PlatformConfig node) throws IOException {
        if (closed) {
            return;
        }
        Path settings = directory.resolve(node.node() + ".toml").toAbsolutePath();
        Files.writeString(settings, node.toText());
        List<String> arguments = new ArrayList<>(command);
        arguments.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(arguments)
                .directory(home.toFile())
                .redirectError(ProcessBuilder.Redirect.appendTo(log(node.node()).toFile()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")));
        history.add(new Event.Process(clock.now(), node.node(), true));
        Process process = builder.start();
        processes.put(node.node(), process);
        var unused = process.onExit().thenAccept(p -> ended(node.node(), p));
    }

    public Path log(String node) {
        return directory.resolve(node + ".log");
    }

    private synchronized void ended(String node, Process p) {
        if (processes.get(node) == p && !closed) {
            processes.remove(node);
            history.add(new Event.Process(clock.now(), node, false));
            endedBySelf.add(node + " with " + p.exitValue());
            LOG.error("{} has ended by itself with {}; see {}", node, p.exitValue(), log(node));
        }
    }

    /** The nodes that ended without having been told to. */
    public synchronized List<String> endedBySelf() {
        return List.copyOf(endedBySelf);
    }

    /** Ends a node at once, without a word. */
    public synchronized void kill(String node) {
        Process p = processes.remove(node);
        if (p != null) {
            p.destroyForcibly();
            history.add(new Event.Process(clock.now(), node, false));
        }
    }

    /** Stops a node where it is, or lets it go on. */
    public synchronized void pause(String node, boolean stops) throws IOException {
        Process p = processes.get(node);
        if (p != null) {
            new ProcessBuilder("kill", stops ? "-STOP" : "-CONT", Long.toString(p.pid())).start();
        }
    }

    /** Processor time used so far, in seconds; 0 for a node that does not run. */
    public synchronized double cpuS(String node) {
        Process p = processes.get(node);
        return p == null
                ? 0
                : p.info().totalCpuDuration().map(d -> d.toMillis() / 1000.0).orElse(0.0);
    }

    private synchronized void endAll() {
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
        for (Process p : processes.values()) {
            try {
                p.waitFor(ENDS_WITHIN_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
    }

    @Override
    public void close() {
        endAll();
        try {
            java.lang.Runtime.getRuntime().removeShutdownHook(atEnd);
        } catch (IllegalStateException e) {
            LOG.debug("ending already");
        }
    }
}
