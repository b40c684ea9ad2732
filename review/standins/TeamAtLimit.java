package standin;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A team at its limit has an array waiting; the jobs of another team, which has no limit, wait beside free machines. */
final class TeamAtLimit {
    private static final double WAIT_S = 90;
    /** When the run ends, in seconds since the start. */
    private static final double LAST_S = 112;
    private static final int JOBS = 5;
    private static final int LIMIT_CORES = 8;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Double> firstStart = new ConcurrentHashMap<>();
        Deployment.Settings settings = new Deployment.Settings();
        settings.types = List.of(new Cloud.Type("chembu-quad", 4, 16, 0.2, 0.05, 2, 3));
        settings.teams += "[[settings.teams]]\nname = \"malabar-snacks\"\ncpus = 0.0\ncpus_max = " + LIMIT_CORES
                + ".0\ngpus = 0.0\ngpus_max = 0.0\n";
        settings.objectives = "[[settings.objectives]]\nkind = \"finished\"\nclass = \"stock-reconcile\"\nwithin_s = 150.0\nshare = 0.9\n"
                + "[[settings.objectives]]\nkind = \"finished\"\nclass = \"stock-reconcile\"\nwithin_s = 250.0\nshare = 0.9\n";
        settings.watcher = new Worker.Watcher() {
            @Override
            public void onStart(String machine, String piece, double at) {
                firstStart.putIfAbsent(piece.substring(0, piece.indexOf('/')), at);
            }
        };
        try (Deployment deployment = new Deployment(settings, Path.of(args[0]))) {
            Record record = deployment.record;
            Users users = new Users(deployment);
            if (!deployment.startAll(20)) {
                System.exit(2);
            }
            // With TROUBLE=0 the team's job fits within its limit as a whole.
            var guest = Deployment.job("run-000001", "sales-backfill", trouble ? 60 : LIMIT_CORES, 1.0, 3.6, 30.0);
            guest.put("owner", "malabar-snacks");
            guest.put("urgency", "high");
            if (!users.submit(guest, 30)) {
                System.exit(2);
            }
            double submitted = record.seconds();
            while (!firstStart.containsKey("run-000001")) {
                StateService.pause(50);
                if (record.seconds() > submitted + 15) {
                    System.exit(2);
                }
            }
            Map<String, Double> accepted = new HashMap<>();
            Map<String, Object> waiting = Deployment.job("run-000100", "stock-reconcile", 4, 1.0, 3.6, 18.0);
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("run-%06d", 100 + i);
                if (!users.submit(Deployment.job(id, "stock-reconcile", 4, 1.0, 3.6, 18.0), 18)) {
                    System.exit(2);
                }
                accepted.put(id, record.seconds());
            }
            double from = record.seconds();
            double roomSince = -1;
            double nextLook = 0;
            double longest = 0;
            while (record.seconds() < LAST_S && longest < WAIT_S) {
                StateService.pause(100);
                double now = record.seconds();
                List<Worker> machines = deployment.cloud.workers();
                double free = machines.stream().mapToDouble(Worker::freeCores).sum();
                boolean room = machines.stream().anyMatch(worker -> worker.hasRoomFor(waiting));
                roomSince = !room ? -1 : roomSince < 0 ? now : roomSince;
                for (Map.Entry<String, Double> job : accepted.entrySet()) {
                    if (!firstStart.containsKey(job.getKey()) && roomSince > 0) {
                        longest = Math.max(longest, now - Math.max(roomSince, job.getValue()));
                    }
                }
                if (now >= nextLook) {
                    nextLook = now + 5;
                    record.add("machines", machines.size() + " up, " + free + " cores free");
                    users.jobs.keySet().forEach(id -> users.run(() -> users.poll(id)));
                }
                if (accepted.keySet().stream().allMatch(firstStart::containsKey)) {
                    break;
                }
            }
            boolean broken = longest >= WAIT_S;
            record.add(
                    "verdict",
                    String.format(
                            "%s: %d of %d jobs of the team without a limit have begun %.1f s after their acceptance; a job has "
                                    + "waited for up to %.1f s while a machine had room all of this time",
                            broken ? "BROKEN" : "held",
                            accepted.keySet().stream().filter(firstStart::containsKey).count(),
                            JOBS,
                            record.seconds() - from,
                            longest));
            deployment.close();
            // Without a verdict if the time was over before a job had begun or had waited for long enough.
            System.exit(broken ? 1 : accepted.keySet().stream().allMatch(firstStart::containsKey) ? 0 : 2);
        }
    }
}
