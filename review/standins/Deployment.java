package standin;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Three nodes as processes of their own, started as the deploy file says, and the stand-ins round them. */
final class Deployment implements AutoCloseable {
    /** The settings of a small deployment. */
    static final class Settings {
        List<String> zones = List.of("kochi-rack", "trivandrum-rack");
        String teams = "[[settings.teams]]\nname = \"fleet-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
        String objectives = "";
        double reportS = 2;
        double leaseS = 12;
        double cancelS = 32;
        StateService.Limits state = new StateService.Limits(150, 20, 8, 16);
        double cloudRps = 4;
        double listLagS = 3;
        List<Cloud.Type> types = List.of(new Cloud.Type("chembu-quad", 4, 16, 0.2, 0.05, 4, 3));
        Relay.Cut cut = (request, length) -> -1;
        Worker.Watcher watcher = new Worker.Watcher() {};
    }

    static final int NODES = 3;

    final Record record;
    final StateService state;
    final Cloud cloud;
    final Worker.Context workers;
    final List<Integer> ports = new ArrayList<>();
    final List<String> names = new ArrayList<>();
    final List<Relay> relays = new ArrayList<>();
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private volatile boolean closed;

    Deployment(Settings settings, Path recordFile) throws IOException {
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        state = new StateService(settings.state);
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            names.add("worker-" + i);
            ports.add(Http.freePort());
            peerPorts.add(Http.freePort());
        }
        workers = new Worker.Context(record, names, ports, settings.reportS, settings.leaseS, settings.watcher);
        cloud = new Cloud(record, settings.types, settings.zones, settings.cloudRps, settings.listLagS, workers);
        int statePort = state.open();
        int cloudPort = cloud.open();
        for (int i = 0; i < NODES; i++) {
            relays.add(new Relay(statePort, settings.cut));
            Path file = folder.resolve(names.get(i) + ".toml");
            Files.writeString(file, toml(settings, i, peerPorts, relays.get(i).open(), cloudPort));
            files.add(file);
            processes.add(null);
        }
    }

    private String toml(Settings s, int node, List<Integer> peerPorts, int statePort, int cloudPort) {
        StringBuilder text = new StringBuilder();
        text.append(format("node = \"%s\"\ndomain = \"%s\"\n", names.get(node), s.zones.get(node % s.zones.size())));
        text.append(format("serve_on = \"%s:%d\"\n", Http.HOST, ports.get(node)));
        text.append(format("cluster_listen = \"%s:%d\"\n", Http.HOST, peerPorts.get(node)));
        for (int i = 0; i < NODES; i++) {
            if (i != node) {
                text.append(format(
                        "[[peers]]\nnode = \"%s\"\ndomain = \"%s\"\nendpoint = \"%s:%d\"\n",
                        names.get(i), s.zones.get(i % s.zones.size()), Http.HOST, peerPorts.get(i)));
            }
        }
        text.append(format(
                "[endpoints]\ncloud = \"%s:%d\"\nstate = \"%s:%d\"\n", Http.HOST, cloudPort, Http.HOST, statePort));
        text.append(format("[settings]\nsize = %d\nzones = [\"%s\"]\nskew_ms = 100.0\n", NODES, String.join("\", \"", s.zones)));
        text.append(s.teams).append(s.objectives);
        text.append(format(
                "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n",
                s.reportS, s.leaseS, s.cancelS));
        text.append(format(
                "[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
                s.state.rps(), s.state.writeRps(), s.state.valueKb(), s.state.txnOps()));
        text.append(format("[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRps, s.listLagS));
        text.append("[settings.machine_limits]\ncpu = 0.11\nram_mb = 205.0\nmax_connections = 1200\n");
        return text.toString();
    }

    private static String format(String text, Object... values) {
        return String.format(Locale.ROOT, text, values);
    }

    /** Starts a node with the command of the deploy file and the path of its settings. */
    synchronized void start(int node) throws IOException {
        if (closed) {
            return;
        }
        Matcher run = Pattern.compile("(?m)^run *= *\"(.*)\"").matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!run.find()) {
            throw new IOException("no run in deploy/service.toml");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" +")));
        command.add(files.get(node).toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        String logs = System.getenv("NODE_LOGS");
        File log = logs == null ? null : new File(logs, names.get(node) + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(
                        log == null ? ProcessBuilder.Redirect.DISCARD : ProcessBuilder.Redirect.appendTo(log));
        processes.set(node, builder.start());
        record.add("process", names.get(node) + " started");
    }

    /** Kills a node with no signal that it could handle. */
    synchronized void kill(int node) {
        processes.get(node).destroyForcibly();
        record.add("process", names.get(node) + " killed");
    }

    /** The nodes whose processes have ended by themselves. */
    synchronized List<String> ended() {
        List<String> ended = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            if (processes.get(i) != null && !processes.get(i).isAlive()) {
                ended.add(names.get(i) + " with " + processes.get(i).exitValue());
            }
        }
        return ended;
    }

    boolean isReady(int node) {
        try (Http.Client client = new Http.Client(ports.get(node))) {
            return client.call("GET", "/ready", null, 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts all nodes and waits until all are ready; false if they are not within the time. */
    boolean startAll(double withinS) throws IOException {
        for (int i = 0; i < NODES; i++) {
            start(i);
        }
        double until = record.seconds() + withinS;
        while (record.seconds() < until) {
            StateService.pause(200);
            boolean all = true;
            for (int i = 0; i < NODES; i++) {
                all &= isReady(i);
            }
            if (all) {
                record.add("ready", "all nodes");
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            processes.forEach(process -> {
                if (process != null) {
                    process.destroyForcibly();
                }
            });
            processes.forEach(process -> {
                try {
                    if (process != null) {
                        process.waitFor(5, TimeUnit.SECONDS);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // It was deleted before.
        }
    }

    static Map<String, Object> job(String id, String jobClass, int pieces, double cores, double ramGb, double expectedS) {
        return Msg.map(
                "id", id,
                "jobclass", jobClass,
                "owner", "fleet-ops",
                "shape", "array",
                "urgency", "standard",
                "pieces", pieces,
                "cores", cores,
                "gpus", 0.0,
                "ram_gb", ramGb,
                "bundle", "img-01",
                "pull_gb", 0.5,
                "boxkinds", null,
                "hall", null,
                "one_zone", false,
                "spread", false,
                "loaners", true,
                "expected_s", expectedS,
                "snapshot_every_s", 0.0,
                "snapshot_s", 0.0,
                "due_s", null);
    }
}
