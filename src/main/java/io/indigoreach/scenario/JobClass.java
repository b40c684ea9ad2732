package io.indigoreach.scenario;

import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.Urgency;

/** Jobs of one kind: what they need, how long they take, and how they come. */
public record JobClass(
        @Setting("name of the class") String name,
        @Setting("team that owns the jobs") String team,

        @Setting(value = "array or service", standard = "array")
        JobKind shape,

        @Setting(value = "priority", standard = "standard") Urgency urgency,
        @Setting(value = "jobs a minute", standard = "0") double perMinute,

        @Setting(value = "jobs at the start", standard = "0", most = 100_000)
        int atStart,

        @Setting(value = "tasks of a job, in the mean", standard = "1", least = 1, most = 100_000)
        double tasks,

        @Setting(value = "most tasks of a job", standard = "100000", least = 1, most = 100_000)
        int mostTasks,

        @Setting(value = "cores of a task", standard = "1") double cores,

        @Setting(value = "accelerators of a task", standard = "0")
        double gpus,

        @Setting(value = "memory of a task, GB", standard = "1")
        double ramGb,

        @Setting(
                value = "run time of a task, s; for services the time until it is cancelled, 0 for never",
                standard = "0")
        double runS,

        @Setting(value = "how run times differ: standard deviation of their logarithm", standard = "0.3", most = 3)
        double runSpread,

        @Setting(value = "how estimates are off: standard deviation of their logarithm", standard = "0.3", most = 3)
        double estimateSpread,

        @Setting(value = "image, GB", standard = "0.5") double imageGb,

        @Setting(value = "different images", standard = "3", least = 1, most = 1000)
        int images,

        @Setting(value = "may use spot machines", standard = "true")
        boolean spot,

        @Setting(value = "all tasks in one zone", standard = "false")
        boolean oneZone,

        @Setting(value = "at most half of the tasks in one zone", standard = "false")
        boolean spread,

        @Setting(value = "a checkpoint every, s of progress; 0: none", standard = "0")
        double checkpointEveryS,

        @Setting(value = "time to save when stopped, s", standard = "1")
        double checkpointS,

        @Setting(value = "deadline as a multiple of the estimate; 0: none", standard = "0")
        double dueTimes,

        @Setting(value = "share of jobs that their users cancel", standard = "0", most = 1)
        double cancelShare,

        @Setting(value = "share of jobs that fail on every machine", standard = "0", most = 1)
        double mistakeShare,

        @Setting(value = "a burst: jobs come this many times as often", standard = "1")
        double burstTimes,

        @Setting(value = "when the burst begins, s", standard = "0")
        double burstAtS,

        @Setting(value = "how long it lasts, s", standard = "0")
        double burstForS) {

    public JobClass {
        if (shape == JobKind.ARRAY && runS < 0.01) {
            throw new IllegalArgumentException("jobs: run_s of " + name + " must be at least 0.01");
        }
    }
}
