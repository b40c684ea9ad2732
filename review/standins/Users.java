package standin;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Users behind a load balancer that chooses a healthy node for each connection. */
final class Users {
    /** How a job stands as its user was told. */
    static final class Told {
        volatile double firstSentAt;
        volatile double acceptedAt = -1;
        volatile String status = "";
    }

    final Map<String, Told> jobs = new ConcurrentHashMap<>();
    private final Deployment deployment;
    private final Record record;
    private final Random random = new Random();
    private final ExecutorService threads = Executors.newFixedThreadPool(24, work -> {
        Thread thread = new Thread(work, "user");
        thread.setDaemon(true);
        return thread;
    });
    private final boolean[] healthy = new boolean[Deployment.NODES];

    Users(Deployment deployment) {
        this.deployment = deployment;
        this.record = deployment.record;
        Http.daemon("probes", () -> {
            int[] failures = new int[Deployment.NODES];
            while (true) {
                for (int i = 0; i < Deployment.NODES; i++) {
                    failures[i] = deployment.isReady(i) ? 0 : failures[i] + 1;
                    healthy[i] = failures[i] == 0 || (healthy[i] && failures[i] < 2);
                }
                StateService.pause(1000);
            }
        });
    }

    void run(Runnable work) {
        threads.submit(work);
    }

    private int anyHealthyNode() {
        int first = random.nextInt(Deployment.NODES);
        for (int i = 0; i < Deployment.NODES; i++) {
            if (healthy[(first + i) % Deployment.NODES]) {
                return (first + i) % Deployment.NODES;
            }
        }
        return first;
    }

    /** One request on a connection of its own; null if there was no response in time. */
    Http.Response call(int node, String method, String path, Map<String, Object> body, int timeoutMs) {
        try (Http.Client client = new Http.Client(deployment.ports.get(node))) {
            return client.call(method, path, body, timeoutMs);
        } catch (IOException e) {
            return null;
        }
    }

    /** Submits a job until it is accepted, for 60 s at most; returns whether it was. */
    boolean submit(Map<String, Object> job, double runS) {
        String id = Msg.text(job, "id");
        deployment.workers.uploads.put(id, job);
        deployment.workers.runS.put(id, runS);
        Told told = new Told();
        told.firstSentAt = record.seconds();
        jobs.put(id, told);
        while (record.seconds() < told.firstSentAt + 60) {
            int node = anyHealthyNode();
            Http.Response response = call(node, "POST", "/api/jobs", job, 5000);
            String answer = response == null ? "no response" : response.status() + " " + response.body();
            record.add("submit", id + " at " + deployment.names.get(node) + ": " + answer);
            if (response != null && (response.status() == 201 || response.status() == 200)) {
                told.acceptedAt = record.seconds();
                told.status = Msg.text(response.body(), "status");
                return true;
            }
            if (response != null && (response.status() == 400 || response.status() == 422)) {
                return false;
            }
            StateService.pause(1000);
        }
        return false;
    }

    /** Asks once how a job stands. */
    Http.Response poll(String id) {
        return poll(id, anyHealthyNode());
    }

    Http.Response poll(String id, int node) {
        Http.Response response = call(node, "GET", "/api/jobs/" + id, null, 2000);
        String answer = response == null ? "no response" : response.status() + " " + response.body();
        record.add("poll", id + " at " + deployment.names.get(node) + ": " + answer);
        if (response != null && response.status() == 200) {
            jobs.get(id).status = Msg.text(response.body(), "status");
        }
        return response;
    }
}
