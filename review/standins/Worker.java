package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A machine's worker, as the protocol page describes it. */
final class Worker {
    /** How long a message may be, in bytes of its JSON form. */
    static final int MESSAGE_BYTES = 64 * 1024;

    /** How long a worker waits at least between two reports. */
    private static final double MIN_INTERVAL_S = 0.5;

    /** Whether workers take responses beyond the limit all the same. */
    private static final boolean TAKES_LONG = "1".equals(System.getenv("TAKES_LONG"));

    /** What all workers share: the nodes in order, the times, what users uploaded, and what is seen. */
    static final class Context {
        final Record record;
        final List<String> names;
        final List<Integer> ports;
        final double reportS;
        final double leaseS;
        final Map<String, Map<String, Object>> uploads = new ConcurrentHashMap<>();
        final Map<String, Double> runS = new ConcurrentHashMap<>();
        final Set<String> results = ConcurrentHashMap.newKeySet();
        final Watcher watcher;

        Context(Record record, List<String> names, List<Integer> ports, double reportS, double leaseS, Watcher watcher) {
            this.record = record;
            this.names = names;
            this.ports = ports;
            this.reportS = reportS;
            this.leaseS = leaseS;
            this.watcher = watcher;
        }
    }

    /** Told of what happens on the machines. */
    interface Watcher {
        default void onStart(String machine, String piece, double at) {}

        default void onEnd(String machine, String piece, String cause, double at) {}

        default void onAnswer(String machine, String node, int status, int jsonBytes, int orders, double at) {}
    }

    private static final class Task {
        final String piece;
        final long attempt;
        final double imageAt;
        final double runS;
        final double cores;
        final double ramGb;
        String status = "pulling";
        String cause;
        double runsSince;
        double savedAt;
        boolean kept;

        Task(String piece, long attempt, double imageAt, double runS, double cores, double ramGb) {
            this.piece = piece;
            this.attempt = attempt;
            this.imageAt = imageAt;
            this.runS = runS;
            this.cores = cores;
            this.ramGb = ramGb;
        }

        boolean isOver() {
            return status.equals("exited");
        }
    }

    private final Context context;
    private final String id;
    private final String type;
    private final String zone;
    private final boolean spot;
    private final double cores;
    private final double ramGb;
    private final Random random = new Random();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Double> images = new HashMap<>();
    private final int port;
    private long shift = 1;
    private long serial;
    private long baton;
    private double leaseFrom;
    private boolean changed = true;
    private boolean batonChanged;
    private double batonReportedAt = -1e9;
    private boolean ended;

    Worker(Context context, String id, String type, String zone, boolean spot, double cores, double ramGb) {
        this.context = context;
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cores = cores;
        this.ramGb = ramGb;
        try {
            this.port = Http.serve(id, this::serveDirect);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    String id() {
        return id;
    }

    String endpoint() {
        return Http.HOST + ":" + port;
    }

    private double now() {
        return context.record.seconds();
    }

    synchronized void end() {
        ended = true;
        tasks.values().forEach(task -> finish(task, "gone"));
        tasks.clear();
    }

    /** The cores that no task takes. */
    synchronized double freeCores() {
        return cores - tasks.values().stream().filter(t -> !t.isOver()).mapToDouble(t -> t.cores).sum();
    }

    /** Whether a task of the job may be on this machine and there is room for it. */
    synchronized boolean hasRoomFor(Map<String, Object> spec) {
        double usedRam = tasks.values().stream().filter(t -> !t.isOver()).mapToDouble(t -> t.ramGb).sum();
        return !ended
                && (spec.get("boxkinds") == null || ((List<?>) spec.get("boxkinds")).contains(type))
                && (spec.get("hall") == null || spec.get("hall").equals(zone))
                && (!spot || Boolean.TRUE.equals(spec.get("loaners")))
                && freeCores() >= Msg.amount(spec, "cores") - 1e-6
                && ramGb - usedRam >= Msg.amount(spec, "ram_gb") - 1e-6;
    }

    /** The cores that the team's tasks take here. */
    synchronized double coresOf(String owner) {
        return tasks.values().stream()
                .filter(t -> !t.isOver() && owner.equals(context.uploads.get(t.piece.substring(0, t.piece.indexOf('/'))).get("owner")))
                .mapToDouble(t -> t.cores)
                .sum();
    }

    void run() {
        Http.daemon(id + " clock", () -> {
            while (true) {
                StateService.pause(50);
                synchronized (this) {
                    if (ended) {
                        return;
                    }
                    advance();
                }
            }
        });
        leaseFrom = now();
        int node = random.nextInt(context.ports.size());
        Http.Client connection = new Http.Client(context.ports.get(node));
        double lastAt = -1e9;
        double interval = 0;
        while (true) {
            boolean due;
            synchronized (this) {
                if (ended) {
                    connection.close();
                    return;
                }
                double since = now() - lastAt;
                due = since >= interval || (isChanged() && since >= MIN_INTERVAL_S);
            }
            if (!due) {
                StateService.pause(20);
                continue;
            }
            Map<String, Object> report;
            double sentAt;
            long sentShift;
            synchronized (this) {
                advance();
                report = report();
                sentAt = now();
                sentShift = shift;
                if (batonChanged) {
                    batonReportedAt = sentAt;
                }
                changed = false;
                batonChanged = false;
            }
            lastAt = sentAt;
            interval = context.reportS * (0.75 + random.nextDouble() / 2);
            int next = -1;
            try {
                Http.Response response = connection.call("POST", "/checkin", report, 4000);
                int bytes = Msg.jsonBytes(response.body());
                context.watcher.onAnswer(
                        id,
                        context.names.get(node),
                        response.status(),
                        bytes,
                        Msg.maps(response.body(), "orders").size(),
                        now());
                if (bytes > MESSAGE_BYTES && !TAKES_LONG) {
                    context.record.add(
                            "too long",
                            id + " drops a response of " + bytes + " bytes from " + context.names.get(node) + " with "
                                    + Msg.maps(response.body(), "orders").size() + " orders");
                } else if (response.status() == 200) {
                    take(response.body(), sentAt, sentShift);
                    continue;
                } else if (response.status() == 421 && response.body().get("foreman") != null) {
                    next = context.names.indexOf(Msg.text(response.body(), "foreman"));
                }
            } catch (IOException e) {
                context.watcher.onAnswer(id, context.names.get(node), 0, 0, 0, now());
            }
            connection.close();
            if (next >= 0 && next != node) {
                node = next;
                StateService.pause(random.nextInt(500));
            } else {
                node = (node + 1) % context.ports.size();
                StateService.pause(1000);
            }
            connection = new Http.Client(context.ports.get(node));
            interval = 0;
        }
    }

    private boolean isChanged() {
        return changed || (batonChanged && now() - batonReportedAt >= context.leaseS / 2);
    }

    private Map<String, Object> report() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece = Msg.map("piece", task.piece, "try", task.attempt, "status", task.status);
            if (task.isOver()) {
                piece.put("cause", task.cause);
                if (task.kept) {
                    piece.put("kept", true);
                }
            }
            pieces.add(piece);
        }
        return Msg.map(
                "box", id,
                "endpoint", endpoint(),
                "boxkind", type,
                "hall", zone,
                "loaners", spot,
                "shift", shift,
                "serial", ++serial,
                "baton", baton,
                "warning_s", null,
                "pieces", pieces);
    }

    private synchronized void take(Map<String, Object> body, double sentAt, long sentShift) {
        advance();
        Object token = body.get("baton");
        if (sentShift != shift || token == null || ((Number) token).longValue() < baton) {
            return;
        }
        see(((Number) token).longValue());
        leaseFrom = Math.max(leaseFrom, sentAt);
        execute(Msg.maps(body, "orders"));
    }

    private void see(long token) {
        if (token > baton) {
            baton = token;
            batonChanged = true;
        }
    }

    private synchronized Http.Response serveDirect(Http.Request request) {
        advance();
        if (request.path().equals("/inspect")) {
            return new Http.Response(200, report());
        }
        Map<String, Object> body = request.map();
        if (body.get("baton") == null || body.get("shift") == null) {
            return new Http.Response(400, Msg.map());
        }
        if (Msg.whole(body, "baton") < baton || Msg.whole(body, "shift") != shift) {
            return new Http.Response(409, report());
        }
        see(Msg.whole(body, "baton"));
        execute(Msg.maps(body, "orders"));
        return new Http.Response(200, report());
    }

    private void execute(List<Map<String, Object>> orders) {
        for (Map<String, Object> order : orders) {
            String piece = Msg.text(order, "piece");
            long attempt = Msg.whole(order, "try");
            Task known = tasks.get(piece + "#" + attempt);
            switch (Msg.text(order, "verb")) {
                case "start" -> {
                    if (known == null) {
                        start(piece, attempt);
                    }
                }
                case "stop" -> {
                    if (known != null && !known.isOver()) {
                        stop(known, order.get("wind_down_s") == null ? 0 : Msg.amount(order, "wind_down_s"));
                    }
                }
                default -> {
                    if (known != null && known.isOver()) {
                        tasks.remove(piece + "#" + attempt);
                        changed = true;
                    }
                }
            }
        }
    }

    private void start(String piece, long attempt) {
        changed = true;
        String job = piece.substring(0, piece.indexOf('/'));
        Map<String, Object> spec = context.uploads.get(job);
        String refusal = spec == null ? "unknown" : null;
        double taskCores = spec == null ? 0 : Msg.amount(spec, "cores");
        double taskRam = spec == null ? 0 : Msg.amount(spec, "ram_gb");
        double usedRam = 0;
        for (Task task : tasks.values()) {
            if (!task.isOver()) {
                usedRam += task.ramGb;
                refusal = task.piece.equals(piece) ? "in_use" : refusal;
            }
        }
        if (refusal == null && (freeCores() < taskCores - 1e-6 || ramGb - usedRam < taskRam - 1e-6)) {
            refusal = "full";
        }
        double imageAt = 0;
        if (refusal == null) {
            imageAt = images.computeIfAbsent(
                    Msg.text(spec, "bundle"), bundle -> now() + Msg.amount(spec, "pull_gb"));
        }
        Task task = new Task(piece, attempt, imageAt, context.runS.getOrDefault(job, 1.0), taskCores, taskRam);
        tasks.put(piece + "#" + attempt, task);
        if (refusal != null) {
            task.status = "exited";
            task.cause = refusal;
            context.record.add("refused", id + " " + piece + " " + refusal);
        }
    }

    private void stop(Task task, double windDownS) {
        Map<String, Object> spec = context.uploads.get(task.piece.substring(0, task.piece.indexOf('/')));
        boolean saves = task.status.equals("running")
                && Msg.amount(spec, "snapshot_every_s") > 0
                && windDownS >= Msg.amount(spec, "snapshot_s");
        if (saves) {
            task.status = "saving";
            task.savedAt = now() + Msg.amount(spec, "snapshot_s");
            changed = true;
        } else {
            finish(task, "stopped");
        }
    }

    private void finish(Task task, String cause) {
        if (task.isOver()) {
            return;
        }
        if (!task.status.equals("pulling")) {
            context.record.add("end", id + " " + task.piece + " try " + task.attempt + " " + cause);
            context.watcher.onEnd(id, task.piece, cause, now());
        }
        task.status = "exited";
        task.cause = cause;
        changed = true;
    }

    /** Brings the machine up to the present: images arrive, tasks end, and the lease may run out. */
    private void advance() {
        double now = now();
        if (now - leaseFrom > context.leaseS) {
            tasks.values().forEach(task -> finish(task, "lease"));
            tasks.clear();
            context.record.add("lease", id + " ran out in shift " + shift);
            shift++;
            leaseFrom = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("pulling") && now >= task.imageAt) {
                task.status = "running";
                task.runsSince = now;
                changed = true;
                context.record.add("start", id + " " + task.piece + " try " + task.attempt + " token " + baton);
                context.watcher.onStart(id, task.piece, now);
            }
            if (task.status.equals("running")
                    && (now >= task.runsSince + task.runS || context.results.contains(task.piece))) {
                context.results.add(task.piece);
                finish(task, "done");
            }
            if (task.status.equals("saving") && now >= task.savedAt) {
                task.kept = true;
                finish(task, "stopped");
            }
        }
    }
}
