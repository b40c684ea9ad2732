package io.indigoreach.scenario;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import java.util.List;

/** What there is: controllers, zones, the state service's and the cloud's limits, machines, teams and aims. */
public record Deployment(
        @Setting(value = "controller nodes", standard = "3", least = 1, most = 16)
        int controllers,

        @Setting("zones; controllers and machines are spread over them")
        List<String> zones,

        @Setting(value = "bound on the time of day's error, ms", standard = "100")
        double skewMs,

        @Setting(value = "the state service", standard = "given")
        State state,

        @Setting(value = "the cloud", standard = "given") Cloud cloud,
        @Setting(value = "workers", standard = "given") Workers workers,

        @Setting(value = "spot machines", standard = "given")
        Spot spot,

        @Setting("machine types") List<Machine> machineType,
        @Setting("how many machines there are") List<Capacity> capacity,
        @Setting("teams") List<Team> team,
        @Setting("aims") List<Aim> aim) {

    /** The state service's limits and speed. */
    public record State(
            @Setting(value = "requests a second", standard = "250", least = 1)
            double rps,

            @Setting(value = "changes a second", standard = "100", least = 1)
            double writeRps,

            @Setting(value = "largest value, KiB", standard = "32", least = 1, most = 64)
            double valueKb,

            @Setting(value = "changes in a transaction", standard = "16", least = 4, most = 1000)
            int txnOps) {
        public PlatformConfig.StateLimits limits() {
            return new PlatformConfig.StateLimits(rps, writeRps, (int) (valueKb * 1024), txnOps);
        }
    }

    /** The cloud's limits, and how its machines boot. */
    public record Cloud(
            @Setting(value = "requests a second", standard = "5", least = 0.1)
            double rps,

            @Setting(value = "how old the list of machines is, s; at times twice that", standard = "3")
            double listLagS,

            @Setting(value = "share of machines that boot several times as long", standard = "0.02", most = 1)
            double bootLate,

            @Setting(value = "share of machines that never come up", standard = "0.01", most = 1)
            double bootNever) {
        public PlatformConfig.CloudLimits limits() {
            return new PlatformConfig.CloudLimits(rps, Span.seconds(listLagS));
        }
    }

    /** The workers' times. */
    public record Workers(
            @Setting(value = "a report every, s", standard = "2", least = 0.05)
            double reportS,

            @Setting(value = "lease, s", standard = "12", least = 0.2)
            double leaseS,

            @Setting(value = "time in which a cancelled job must be gone, s", standard = "32", least = 1)
            double cancelS) {}

    /** How spot machines are taken back. */
    public record Spot(
            @Setting(value = "takings an hour of each machine", standard = "0.5")
            double perHour,

            @Setting(value = "nominal notice, s", standard = "12")
            double noticeS,

            @Setting(value = "share taken without notice", standard = "0.1", most = 1)
            double silent) {}

    /** A type of machine. */
    public record Machine(
            @Setting("name") String name,
            @Setting(value = "cores", least = 0.1) double cores,
            @Setting(value = "accelerators", standard = "0") double gpus,
            @Setting(value = "memory, GB", least = 0.1) double ramGb,
            @Setting(value = "price an hour") double price,

            @Setting(value = "nominal price an hour as a spot machine", standard = "0")
            double spotPrice,

            @Setting(value = "image cache, GB", standard = "40")
            double cacheGb,

            @Setting(value = "image fetch, GB a second", standard = "0.5", least = 0.001)
            double fetchGbPerS,

            @Setting(value = "usual boot time, s", standard = "20")
            double bootS) {
        MachineType type(List<String> zones) {
            return new MachineType(
                    name,
                    new Resources(cores, gpus, ramGb),
                    cacheGb,
                    fetchGbPerS,
                    price,
                    spotPrice,
                    Span.seconds(bootS),
                    zones);
        }
    }

    /** How many machines of a type there are in a zone. */
    public record Capacity(
            @Setting("machine type") String type,
            @Setting("zone") String zone,

            @Setting(value = "ordinary machines", standard = "0", most = 100_000)
            int count,

            @Setting(value = "spot machines", standard = "0", most = 100_000)
            int spot) {}

    /** A team's guarantee and limit; 0: none. */
    public record Team(
            @Setting("name") String name,

            @Setting(value = "guaranteed cores", standard = "0")
            double cpus,

            @Setting(value = "most cores", standard = "0") double cpusMax,

            @Setting(value = "guaranteed accelerators", standard = "0")
            double gpus,

            @Setting(value = "most accelerators", standard = "0")
            double gpusMax) {
        public io.indigoreach.core.model.Team rules() {
            return new io.indigoreach.core.model.Team(name, cpus, cpusMax, gpus, gpusMax);
        }
    }

    /** What is expected of a class of jobs. */
    public record Aim(
            @Setting("finished, wait or deadline") String kind,
            @Setting("class of jobs") String jobClass,
            @Setting(value = "within, s", standard = "0") double withinS,

            @Setting(value = "for this share of them", standard = "0.9", most = 1)
            double share) {}

    public Deployment {
        if (zones.isEmpty() || machineType.isEmpty() || capacity.isEmpty() || team.isEmpty()) {
            throw new IllegalArgumentException("deployment: needs zones, a machine_type, a capacity and a team");
        }
        for (Capacity c : capacity) {
            if (machineType.stream().noneMatch(machine -> machine.name.equals(c.type)) || !zones.contains(c.zone)) {
                throw new IllegalArgumentException("capacity: no such type or zone: " + c.type + ", " + c.zone);
            }
        }
    }

    /** The machine types, each with the zones in which there are any. */
    public List<MachineType> types() {
        return machineType.stream()
                .map(machine -> machine.type(capacity.stream()
                        .filter(c -> c.type.equals(machine.name))
                        .map(Capacity::zone)
                        .distinct()
                        .toList()))
                .toList();
    }

    /** A controller's name; they are numbered from 0. */
    public static String node(int n) {
        return "node-" + n;
    }

    public String zoneOf(int node) {
        return zones.get(node % zones.size());
    }
}
