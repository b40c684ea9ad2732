package io.indigoreach.tools;

import io.indigoreach.api.JobCodec;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.DepotCodec;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.EraRecordCodec;
import io.indigoreach.state.IntentRecordCodec;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.LeaderKey;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Option;

/** A cluster as the verbs see it: asks its nodes in turn until one answers. Calls wait for their answers. */
final class Cluster implements AutoCloseable {
    private static final Span PATIENCE = Span.seconds(5);
    private static final Span TRIES_FOR = Span.seconds(60);
    private static final Span RETRY = Span.seconds(1);
    private static final int PAGE = 500;

    /** The option that names the cluster. */
    static final class Choice {
        @Option(
                names = "--cluster",
                paramLabel = "FILE",
                defaultValue = "${env:INDIGOREACH_CLUSTER:-.indigoreach/" + ClusterFile.NAME + "}",
                description = "where the cluster is reached; default: $INDIGOREACH_CLUSTER, or " + ".indigoreach/"
                        + ClusterFile.NAME)
        private Path file;

        @Option(names = "--json", description = "print JSON")
        boolean json;

        Cluster open() throws ConfigException {
            return new Cluster(ClusterFile.read(file));
        }
    }

    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private final ClusterFile file;
    private final List<ServiceClient> nodes = new ArrayList<>();
    private int turn;

    Cluster(ClusterFile file) {
        this.file = file;
        file.node().forEach(n -> nodes.add(new ServiceClient(vertx, Endpoint.parse(n), 2)));
    }

    /** Submits a job; with an emulator, uploads first what its tasks do. */
    JobCodec.Progress submit(JobSpec spec, Depot.Conduct conduct) {
        upload(spec, conduct);
        return JobCodec.readProgress(ask(JobCodec.JOBS, JobCodec.write(spec)).body());
    }

    /** With an emulator, what a job's tasks do; else nothing. */
    void upload(JobSpec spec, Depot.Conduct conduct) {
        if (!file.depot().isEmpty()) {
            ServiceClient depot = new ServiceClient(vertx, Endpoint.parse(file.depot()), 1);
            ServiceResponse r = await(
                    depot.post(DepotCodec.UPLOAD, DepotCodec.write(new DepotCodec.Upload(spec, conduct)), PATIENCE));
            if (!r.isOk()) {
                throw new Failure(
                        Tool.WRONG, "the depot refuses the job: " + r.body().optionalText("error"));
            }
        }
    }

    /** How a job stands; null if there is none. */
    JobCodec.Progress status(JobId id) {
        ServiceResponse r = ask(JobCodec.JOBS + "/" + id, null);
        return r.status() == 404 ? null : JobCodec.readProgress(r.body());
    }

    /** The state after cancelling; null if there is no such job. */
    JobCodec.Progress cancel(JobId id) {
        ServiceResponse r = ask(JobCodec.JOBS + "/" + id + JobCodec.CANCEL, Map.of());
        return r.status() == 404 ? null : JobCodec.readProgress(r.body());
    }

    /**
     * Tries the nodes in turn for a minute; {@code body} null: a question. Any answer but 429, 503 and 504, after which to come
     * back, is one.
     */
    ServiceResponse call(String method, String path, Map<String, Object> body) {
        Moment until = clock.now().plus(TRIES_FOR);
        String last = "no node answers";
        while (clock.now().isBefore(until)) {
            ServiceClient node = nodes.get(turn % nodes.size());
            try {
                ServiceResponse r = await(
                        "DELETE".equals(method)
                                ? node.delete(path, PATIENCE)
                                : body == null ? node.get(path, PATIENCE) : node.post(path, body, PATIENCE));
                if (r.status() != 429 && r.status() != 503 && r.status() != 504) {
                    return r;
                }
                last = r.status() + " " + r.body().optionalText("error");
            } catch (Failure e) {
                last = e.getMessage();
            }
            turn++;
            pause();
        }
        throw new Failure(Tool.UNREACHABLE, "not answered for " + (int) TRIES_FOR.seconds() + " s: " + last);
    }

    /** Every open job as recorded, read page by page from the state service. */
    List<io.indigoreach.state.JobRecord> openJobs() {
        StateClient state = state();
        List<io.indigoreach.state.JobRecord> jobs = new ArrayList<>();
        String after = null;
        for (boolean more = true; more; ) {
            StateClient.Page page = await(state.list(RecordKeys.OPEN_JOBS, after, PAGE));
            for (StateClient.Entry e : page.items()) {
                jobs.add(JobRecordCodec.readJob(RecordKeys.jobOfOpenKey(e.key()), e.value(), e.revision()));
                after = e.key();
            }
            more = page.more();
        }
        return jobs;
    }

    /** Who leads, what leaders have under way with the cloud, and the last loss of data, a line each. */
    List<String> duties() {
        StateClient state = state();
        List<String> lines = new ArrayList<>();
        StateClient.Entry leader = await(state.get(RecordKeys.LEADER));
        lines.add("leads      "
                + (leader == null
                        ? "nobody"
                        : leader.value().text("node") + ", token "
                                + LeaderKey.tokenOf(leader.value().map())));
        for (StateClient.Entry e :
                await(state.list(RecordKeys.INTENTS, null, PAGE)).items()) {
            String by = " (token " + e.key().substring(RecordKeys.INTENTS.length()) + ")";
            Intents.Page page = IntentRecordCodec.readIntents(e.value());
            page.rents()
                    .forEach(r -> lines.add("renting    " + r.name() + ": " + r.count() + " "
                            + (r.pool().spot() ? "spot " : "") + r.pool().type() + " in "
                            + r.pool().zone() + ", for " + (clock.timeOfDay() - r.askedMs()) / 1000 + " s" + by));
            page.returns().forEach(id -> lines.add("returning  " + id + by));
        }
        StateClient.Entry era = await(state.get(RecordKeys.ERA));
        lines.add("era        " + (era == null ? "none" : Long.toString(EraRecordCodec.readEra(era.value()))));
        if (era != null) {
            EraRecordCodec.readLoss(era.value()).forEach(line -> lines.add("loss       " + line));
        }
        return lines;
    }

    List<ListedMachine> machines() {
        if (file.cloud().isEmpty()) {
            throw new Failure(Tool.WRONG, "the cluster's file names no cloud");
        }
        return await(new CloudClient(new ServiceClient(vertx, Endpoint.parse(file.cloud()), 1)).listMachines());
    }

    private StateClient state() {
        if (file.state().isEmpty()) {
            throw new Failure(Tool.WRONG, "the cluster's file names no state service");
        }
        ServiceClient client = new ServiceClient(vertx, Endpoint.parse(file.state()), 1);
        return new StateClient(client, client);
    }

    /** A refusal for good is a {@link Failure}. */
    private ServiceResponse ask(String path, Map<String, Object> body) {
        ServiceResponse r = call(body == null ? "GET" : "POST", path, body);
        if (r.status() == 200 || r.status() == 201 || r.status() == 404) {
            return r;
        }
        throw new Failure(Tool.WRONG, "refused: " + r.status() + " " + r.body().optionalText("error"));
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY.ms());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new Failure(Tool.WRONG, "interrupted");
        }
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(PATIENCE.ms() * 2, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new Failure(Tool.UNREACHABLE, e.getCause().getMessage());
        } catch (TimeoutException | InterruptedException e) {
            throw new Failure(Tool.UNREACHABLE, "no answer in time");
        }
    }

    @Override
    public void close() {
        vertx.close();
    }
}
