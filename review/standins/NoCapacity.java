package standin;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud has no machine of the cheaper type, and many of another one that the jobs allow. */
final class NoCapacity {
    private static final double WAIT_S = 100;
    private static final int JOBS = 3;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Set<String> started = ConcurrentHashMap.newKeySet();
        Deployment.Settings settings = new Deployment.Settings();
        settings.types = List.of(
                new Cloud.Type("chembu-quad", 4, 16, 0.2, 0.05, 4, trouble ? 0 : 10),
                new Cloud.Type("alpen-acht", 8, 16, 0.31, 0.08, 4, 10));
        settings.watcher = new Worker.Watcher() {
            @Override
            public void onStart(String machine, String piece, double at) {
                started.add(piece);
            }
        };
        try (Deployment deployment = new Deployment(settings, Path.of(args[0]))) {
            Record record = deployment.record;
            Users users = new Users(deployment);
            if (!deployment.startAll(20)) {
                System.exit(2);
            }
            for (int i = 1; i <= JOBS; i++) {
                var job = Deployment.job(String.format("run-%06d", i), "refill-routes", 6, 1.0, 3.8, 20.0);
                job.put("urgency", "high");
                job.put("loaners", i != 1);
                job.put("boxkinds", i == 2 ? List.<Object>of("chembu-quad", "alpen-acht") : null);
                if (!users.submit(job, 5)) {
                    System.exit(2);
                }
            }
            double accepted = record.seconds();
            while (record.seconds() < accepted + WAIT_S
                    && users.jobs.values().stream().anyMatch(told -> !told.status.equals("done"))) {
                StateService.pause(5000);
                users.jobs.keySet().forEach(users::poll);
            }
            long done = users.jobs.values().stream().filter(told -> told.status.equals("done")).count();
            boolean broken = started.isEmpty();
            record.add(
                    "verdict",
                    String.format(
                            "%s: %d of %d accepted jobs done %.1f s after their acceptance, %d tasks begun; rental requests "
                                    + "refused for capacity: %d of chembu-quad, %d of alpen-acht; granted: %d",
                            broken ? "BROKEN" : "held",
                            done,
                            JOBS,
                            record.seconds() - accepted,
                            started.size(),
                            deployment.cloud.refused("chembu-quad"),
                            deployment.cloud.refused("alpen-acht"),
                            deployment.cloud.granted()));
            deployment.close();
            System.exit(broken ? 1 : 0);
        }
    }
}
