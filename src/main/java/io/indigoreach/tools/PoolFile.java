package io.indigoreach.tools;

import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.scenario.Setting;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A warm pool as its owner writes it down. */
public record PoolFile(
        @Setting("its name: small letters, digits, dots, dashes")
        String name,

        @Setting("team that pays for what no task uses") String team,
        @Setting("the model's image") String image,
        @Setting("its size, GB") double imageGb,
        @Setting("cores of a replica") double cores,

        @Setting(value = "accelerators of a replica", standard = "0")
        double gpus,

        @Setting(value = "memory of a replica, GB", standard = "0")
        double ramGb,

        @Setting("machine types") List<String> machineType,
        @Setting("zones; none: all of the types") List<String> zone,

        @Setting(value = "part of the pool that may stand in one zone", standard = "1", most = 1)
        double zonePart,

        @Setting(value = "machines at any time", standard = "0", most = 2000)
        int least,

        @Setting(value = "never more", most = 2000) int most,

        @Setting(value = "part of bursts whose replicas all start without a fetch", standard = "0.95", most = 1)
        double wanted,

        @Setting("bursts that are expected every day") List<Burst> window,

        @Setting(value = "also learn bursts from what is seen", standard = "false")
        boolean learned,

        @Setting(value = "money that the pool's account may reach; 0: no bound", standard = "0")
        double budget,

        @Setting(value = "on spot machines", standard = "false")
        boolean spot) {

    /** A window of every day, UTC. */
    public record Burst(
            @Setting("begins, such as 08:30") String from,
            @Setting("ends, such as 10:00") String to,
            @Setting("replicas it asks for on average") double replicas) {}

    Map<String, Object> body() {
        List<Object> windows = new ArrayList<>();
        window.forEach(w -> windows.add(List.of(w.from, w.to, w.replicas)));
        return MessagePackFormat.map(
                "team",
                team,
                "image",
                image,
                "gb",
                imageGb,
                "cores",
                cores,
                "gpus",
                gpus,
                "ram_gb",
                ramGb,
                "types",
                machineType,
                "zones",
                zone,
                "zone_part",
                zonePart,
                "least",
                least,
                "most",
                most,
                "wanted",
                wanted,
                "windows",
                windows,
                "learned",
                learned,
                "budget",
                budget,
                "spot",
                spot);
    }
}
