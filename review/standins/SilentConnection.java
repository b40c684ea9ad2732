package standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The leader is killed. While its successor reads the records, the connections that this node has open to the state
 * service go silent; connections that it opens afterwards work.
 */
final class SilentConnection {
    private static final int JOBS = 60;
    private static final double WAIT_S = 90;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        AtomicReference<Double> cutAt = new AtomicReference<>();
        boolean[] armed = new boolean[1];
        Map<String, Double> firstStart = new ConcurrentHashMap<>();
        String[] leader = new String[1];
        int[] answers = new int[1];
        double[] lastStart = {-1};
        Deployment.Settings settings = new Deployment.Settings();
        Deployment[] made = new Deployment[1];
        settings.cut = (request, length) -> {
            synchronized (armed) {
                if (!armed[0] || cutAt.get() != null || length < 8192 || !request.contains("/store?starts=j/&most")) {
                    return -1;
                }
                cutAt.set(made[0].record.seconds());
                made[0].record.add("trouble", "silent within the answer of " + length + " bytes to " + request);
                return 2048;
            }
        };
        settings.watcher = new Worker.Watcher() {
            @Override
            public void onStart(String machine, String piece, double at) {
                firstStart.putIfAbsent(piece.substring(0, piece.indexOf('/')), at);
                lastStart[0] = at;
            }

            @Override
            public void onAnswer(String machine, String node, int status, int bytes, int orders, double at) {
                made[0].record.add("report", machine + " at " + node + ": " + status + " orders " + orders);
                if (status == 200) {
                    leader[0] = node;
                    answers[0]++;
                }
            }
        };
        try (Deployment deployment = new Deployment(settings, Path.of(args[0]))) {
            made[0] = deployment;
            Users users = new Users(deployment);
            if (!deployment.startAll(20)) {
                System.exit(2);
            }
            for (int i = 1; i <= JOBS; i++) {
                String id = String.format("run-%06d", i);
                users.run(() -> users.submit(Deployment.job(id, "stock-reconcile", 6, 1.0, 3.6, 4.0), 4));
                StateService.pause(60);
            }
            double from = deployment.record.seconds();
            while (lastStart[0] < 0 || users.jobs.values().stream().anyMatch(told -> told.acceptedAt < 0)) {
                StateService.pause(50);
                if (deployment.record.seconds() > from + 15) {
                    System.exit(2);
                }
            }
            int killed = deployment.names.indexOf(leader[0]);
            armed[0] = trouble;
            deployment.kill(killed);
            double killedAt = deployment.record.seconds();
            Http.daemon("restart", () -> {
                StateService.pause(3000);
                try {
                    deployment.start(killed);
                } catch (Exception e) {
                    deployment.record.add("process", "not started: " + e);
                }
            });
            Http.daemon("polls", () -> {
                while (true) {
                    users.jobs.keySet().forEach(id -> users.run(() -> users.poll(id)));
                    StateService.pause(5000);
                }
            });
            while (trouble && cutAt.get() == null) {
                StateService.pause(50);
                if (deployment.record.seconds() > killedAt + 12) {
                    deployment.record.add("verdict", "no listing was read after the leader's end");
                    System.exit(2);
                }
            }
            double over = trouble ? cutAt.get() : deployment.record.seconds();
            answers[0] = 0;
            // A job waits unjustly only while a machine has had room for one of its tasks all the time.
            double roomSince = -1;
            while (deployment.record.seconds() < over + WAIT_S + 1) {
                StateService.pause(100);
                boolean room = deployment.cloud.workers().stream().anyMatch(worker -> worker.freeCores() >= 1);
                roomSince = !room ? -1 : roomSince < 0 ? deployment.record.seconds() : roomSince;
                if (users.jobs.keySet().stream().allMatch(firstStart::containsKey)) {
                    break;
                }
            }
            double now = deployment.record.seconds();
            List<String> waiting = new ArrayList<>();
            users.jobs.forEach((id, told) -> {
                if (told.acceptedAt > 0 && !firstStart.containsKey(id)) {
                    waiting.add(id);
                }
            });
            boolean broken = roomSince > 0 && now - Math.max(roomSince, over) >= WAIT_S && !waiting.isEmpty();
            deployment.record.add(
                    "verdict",
                    String.format(
                            "%s: %d of %d accepted jobs have not begun; a machine has had room for %.1f s; reports answered "
                                    + "with 200 since the trouble: %d; last start of a task %.1f s after it; machines up %d",
                            broken ? "BROKEN" : "held",
                            waiting.size(),
                            JOBS,
                            roomSince < 0 ? 0 : now - roomSince,
                            answers[0],
                            lastStart[0] - over,
                            deployment.cloud.workers().size()));
            deployment.close();
            System.exit(broken ? 1 : 0);
        }
    }
}
