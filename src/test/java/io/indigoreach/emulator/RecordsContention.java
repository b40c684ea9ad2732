package io.indigoreach.emulator;

import io.indigoreach.checker.Event;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Jobs whose tasks bill records, and an emulated legacy export beside them, over real controllers. The books are a file that
 * nothing else writes: a line a billing, refused under a fence lower than they know, and once under a name.
 */
final class RecordsContention {
    private static final Span PATIENCE = Span.seconds(3);

    private final LocalCluster cluster;
    private final SplittableRandom random;
    private final Path books;
    private final List<ServiceClient> nodes = new ArrayList<>();
    private final List<String> records = new ArrayList<>();
    final List<String> breaches = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, String> lines = new HashMap<>();
    private final Map<String, Long> fences = new HashMap<>();
    private final Set<String> seen = new HashSet<>();
    private final int perRun;
    private int events;
    private int runs;
    int requests;

    RecordsContention(LocalCluster cluster, long seed, Path books, int groups, int each, int perRun) {
        this.cluster = cluster;
        this.random = new SplittableRandom(seed);
        this.books = books;
        this.perRun = perRun;
        for (PlatformConfig c : cluster.emulator.nodes()) {
            nodes.add(new ServiceClient(cluster.vertx, c.listen(), 40));
        }
        for (int g = 0; g < groups; g++) {
            for (int n = 0; n < each; n++) {
                records.add("coop-" + g + "/farm/" + n);
            }
        }
    }

    List<String> records() {
        return records;
    }

    synchronized int billed() {
        return lines.size();
    }

    synchronized Map<String, String> lines() {
        return new HashMap<>(lines);
    }

    /** Asks any node until one decides: a repeat is the same request. */
    Future<ServiceResponse> ask(String what, Map<String, Object> body) {
        ServiceClient node;
        synchronized (this) {
            node = nodes.get(random.nextInt(nodes.size()));
            requests++;
        }
        return (body == null
                        ? node.get("/api/records/" + what, PATIENCE)
                        : node.post("/api/records/" + what, body, PATIENCE))
                .otherwise(new ServiceResponse(503, new Fields(Map.of())))
                .compose(r -> r.status() == 200 || r.status() == 409
                        ? Future.succeededFuture(r)
                        : r.status() == 400 || r.status() == 422
                                ? Future.failedFuture(
                                        r.status() + " " + r.body().map())
                                : pause(200).compose(v -> ask(what, body)));
    }

    private Future<Void> pause(long ms) {
        Promise<Void> later = Promise.promise();
        cluster.vertx.setTimer(ms, t -> later.complete());
        return later.future();
    }

    /** The books: false if the fence is too low. */
    private synchronized boolean enter(String id, String name, long fence) {
        if (fence < fences.getOrDefault(id, 0L)) {
            return false;
        }
        fences.put(id, fence);
        String before = lines.putIfAbsent(id, name);
        if (before == null) {
            try {
                Files.writeString(
                        books,
                        id + " " + name + " " + fence + "\n",
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        } else if (!before.equals(name)) {
            breaches.add(id + " billed by " + before + " and by " + name);
        }
        return true;
    }

    /** Both steps with the effect between them; what is refused is left to whoever has it. */
    private Future<Void> bill(Map<String, Object> who, String name, List<String> ids) {
        Map<String, Object> first = new LinkedHashMap<>(who);
        first.put("ids", List.copyOf(ids));
        return ask("billing", first).compose(r -> {
            Map<String, Object> given = new LinkedHashMap<>();
            List<String> done = r.body().optionalTexts("billed");
            r.body().child("fences").map().forEach((id, fence) -> {
                if (!done.contains(id) && enter(id, name, (Long) fence)) {
                    given.put(id, fence);
                }
            });
            if (given.isEmpty()) {
                return Future.succeededFuture();
            }
            Map<String, Object> second = new LinkedHashMap<>(who);
            second.put("fences", given);
            return ask("billed", second).mapEmpty();
        });
    }

    /** Attempts that run bill their record, also where they were replaced meanwhile. */
    void followTasks(Map<String, JobSpec> jobs) {
        cluster.vertx.setPeriodic(100, t -> {
            List<Event> all = cluster.history.events();
            for (; events < all.size(); events++) {
                if (all.get(events) instanceof Event.Running running
                        && seen.add(running.task() + " " + running.attempt())) {
                    TaskId task = running.task();
                    Attempt attempt = running.attempt();
                    JobSpec spec = jobs.get(task.job().text());
                    if (spec != null) {
                        Fields f = new Fields(spec.more()).child(JobSpec.RECORDS);
                        bill(
                                MessagePackFormat.map(
                                        "job",
                                        task.job().text(),
                                        "task",
                                        (long) task.index(),
                                        "attempt",
                                        attempt.value()),
                                task.job() + "/" + task.index(),
                                List.of(f.text("prefix") + (f.wholeNumber("from") + task.index())));
                    }
                }
            }
        });
    }

    /** A legacy export: one run after the other, each claims what has no line yet, all or none, and bills it. */
    Future<Void> export(int until) {
        if (billed() >= until) {
            return Future.succeededFuture();
        }
        List<String> some = new ArrayList<>();
        String run;
        synchronized (this) {
            int from = random.nextInt(records.size());
            for (int i = 0; i < records.size() && some.size() < perRun; i++) {
                String id = records.get((from + i) % records.size());
                if (!lines.containsKey(id)) {
                    some.add(id);
                }
            }
            run = "export-" + runs++;
        }
        return ask("claim", MessagePackFormat.map("run", run, "ids", new ArrayList<Object>(some)))
                .compose(r -> r.status() == 200 ? bill(MessagePackFormat.map("run", run), run, some) : pause(300))
                .compose(v -> export(until));
    }

    /** What the registry says of each record that is not billed, or under another name than its line. */
    List<String> differences() throws Exception {
        List<String> out = new ArrayList<>(breaches);
        Map<String, String> entered = lines();
        for (int from = 0; from < records.size(); from += 12) {
            List<String> some = records.subList(from, Math.min(records.size(), from + 12));
            for (Fields r : LocalCluster.await(ask("show?id=" + String.join(",", some), null))
                    .body()
                    .children("records")) {
                if (!r.text("state").equals("billed") || !r.text("by").equals(entered.get(r.text("id")))) {
                    out.add(r.map() + ", its line by " + entered.get(r.text("id")));
                }
            }
        }
        return out;
    }
}
