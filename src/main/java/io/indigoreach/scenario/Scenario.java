package io.indigoreach.scenario;

import io.indigoreach.config.PlatformConfig.StateLimits;
import java.util.List;

/** One file for emulator and experiment: what there is, what comes, what goes wrong, for how long, and the seed. */
public record Scenario(
        @Setting("name") String name,

        @Setting(value = "seed of all chance", standard = "1")
        long seed,

        @Setting(value = "length of an experiment, s", standard = "60", least = 1, most = 86_400)
        double lengthS,

        @Setting(value = "time after that for jobs to end, s", standard = "60", most = 86_400)
        double drainS,

        @Setting("what there is") Deployment deployment,
        @Setting("jobs that come") List<JobClass> jobs,
        @Setting("what goes wrong, and when") List<Fault> fault) {

    public Scenario {
        for (JobClass c : jobs) {
            if (deployment.team().stream().noneMatch(t -> t.name().equals(c.team()))) {
                throw new IllegalArgumentException("jobs: no such team: " + c.team());
            }
        }
    }

    /** The state service's limits when all faults that shrink them have happened: what controllers' settings announce. */
    public StateLimits limitsToCome() {
        StateLimits limits = deployment.state().limits();
        for (Fault f : fault) {
            limits = f.after(limits);
        }
        return limits;
    }
}
