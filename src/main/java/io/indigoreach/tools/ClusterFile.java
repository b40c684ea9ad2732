package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.net.Endpoint;
import io.indigoreach.scenario.Setting;
import io.indigoreach.scenario.TextForm;
import java.nio.file.Path;
import java.util.List;

/** Where a cluster is reached, for the verbs that speak to one. */
public record ClusterFile(
        @Setting("addresses of the controllers, for users") List<String> node,

        @Setting(value = "address of the state service, for jobs", standard = "")
        String state,

        @Setting(value = "address of the cloud, for machines", standard = "")
        String cloud,

        @Setting(value = "address of the emulator's depot; empty: a real cluster", standard = "")
        String depot) {
    static final String NAME = "cluster.textproto";

    public ClusterFile {
        if (node.isEmpty()) {
            throw new IllegalArgumentException("node: at least one address is needed");
        }
        node.forEach(Endpoint::parse);
    }

    static ClusterFile read(Path file) throws ConfigException {
        return TextForm.read(file, ClusterFile.class);
    }

    String toText() {
        StringBuilder out = new StringBuilder("# Where the cluster is reached. Written anew at each start.\n");
        node.forEach(n -> out.append("node: \"").append(n).append("\"\n"));
        return out.append("state: \"")
                .append(state)
                .append("\"\ncloud: \"")
                .append(cloud)
                .append("\"\ndepot: \"")
                .append(depot)
                .append("\"\n")
                .toString();
    }
}
