package standin;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A job of many small tasks on large machines, and ordinary jobs beside it: the orders for one worker have to fit a response. */
final class LongOrders {
    private static final double WAIT_S = 85;
    private static final String JOB = "run-000001";
    private static final int ORDINARY_JOBS = 4;

    /** A number that the caller may set to try other jobs than the case's own. */
    private static double setting(String name, double usual) {
        String text = System.getenv(name);
        return text == null ? usual : Double.parseDouble(text);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int pieces = (int) setting("PIECES", trouble ? 3300 : 330);
        Set<String> started = ConcurrentHashMap.newKeySet();
        Set<String> lost = ConcurrentHashMap.newKeySet();
        int[] longest = new int[2];
        int[] answers = new int[1];
        Deployment[] made = new Deployment[1];
        Deployment.Settings settings = new Deployment.Settings();
        settings.types = java.util.List.of(new Cloud.Type("g8", 96, 768, 12, 4.5, 4, 1));
        settings.watcher = new Worker.Watcher() {
            @Override
            public void onStart(String machine, String piece, double at) {
                started.add(piece);
            }

            @Override
            public void onEnd(String machine, String piece, String cause, double at) {
                if (!cause.equals("done")) {
                    lost.add(piece);
                }
            }

            @Override
            public void onAnswer(String machine, String node, int status, int bytes, int orders, double at) {
                made[0].record.add(
                        "report", machine + " at " + node + ": " + status + " orders " + orders + " bytes " + bytes);
                answers[0] += orders > 0 ? 1 : 0;
                if (bytes > Worker.MESSAGE_BYTES) {
                    longest[0] = Math.max(longest[0], bytes);
                    longest[1]++;
                }
            }
        };
        try (Deployment deployment = new Deployment(settings, Path.of(args[0]))) {
            made[0] = deployment;
            Users users = new Users(deployment);
            if (!deployment.startAll(20)) {
                System.exit(2);
            }
            if (!users.submit(Deployment.job(JOB, "sales-backfill", pieces, setting("CORES", 0.05), setting("RAM_GB", 0.2), 2.0), 2)) {
                System.exit(2);
            }
            // The ordinary jobs come once the first machine has been answered.
            double submitted = deployment.record.seconds();
            while (answers[0] == 0 && deployment.record.seconds() < submitted + 12) {
                StateService.pause(50);
            }
            for (int i = 1; i <= ORDINARY_JOBS; i++) {
                var job = Deployment.job(String.format("run-%06d", 100 + i), "refill-routes", 6, 1.0, 3.8, 5.0);
                job.put("urgency", "high");
                if (!users.submit(job, 5)) {
                    System.exit(2);
                }
            }
            double accepted = deployment.record.seconds();
            Set<String> ended = ConcurrentHashMap.newKeySet();
            double upFor = 0;
            while (deployment.record.seconds() < accepted + WAIT_S
                    && !users.jobs.values().stream().allMatch(told -> told.status.equals("done"))) {
                for (int i = 0; i < 50; i++) {
                    double before = deployment.record.seconds();
                    StateService.pause(100);
                    boolean room = deployment.cloud.workers().stream().anyMatch(worker -> worker.freeCores() >= 90);
                    upFor += room ? deployment.record.seconds() - before : 0;
                }
                ended.addAll(deployment.ended());
                users.jobs.keySet().forEach(id -> users.run(() -> users.poll(id)));
            }
            long ordinary = started.stream().filter(piece -> !piece.startsWith(JOB + "/")).count();
            boolean broken = started.isEmpty() && upFor >= 20;
            deployment.record.add(
                    "verdict",
                    String.format(
                            "%s: %d of the job's %d tasks and %d of %d tasks of ordinary jobs have begun %.1f s after the "
                                    + "acceptance, %d lost; for %.1f s of these an empty machine was up; responses to workers "
                                    + "beyond 64 KiB: %d, the longest of %d bytes; nodes that ended by themselves: %s",
                            broken ? "BROKEN" : "held",
                            started.size() - ordinary,
                            pieces,
                            ordinary,
                            ORDINARY_JOBS * 6,
                            deployment.record.seconds() - accepted,
                            lost.size(),
                            upFor,
                            longest[1],
                            longest[0],
                            ended));
            deployment.close();
            System.exit(broken ? 1 : 0);
        }
    }
}
