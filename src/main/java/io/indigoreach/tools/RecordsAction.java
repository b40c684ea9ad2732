package io.indigoreach.tools;

import io.indigoreach.config.ConfigException;
import io.indigoreach.net.Fields;
import io.indigoreach.net.ServiceResponse;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;

/** A request to the registry of records: how it is sent, and how its answer becomes an exit code. */
abstract class RecordsAction implements Callable<Integer> {
    private static final String PATH = "/api/records/";

    @Mixin
    Cluster.Choice cluster;

    private int code = Tool.DONE;

    @Override
    public final Integer call() throws ConfigException, IOException {
        try (Cluster c = cluster.open()) {
            ask(c);
        }
        return code;
    }

    abstract void ask(Cluster c) throws IOException;

    /** The answer; a conflict is told and remembered as the exit code. */
    Fields post(Cluster c, String what, Map<String, Object> body) {
        return told(c.call("POST", PATH + what, body));
    }

    Fields get(Cluster c, String path) {
        return told(c.call("GET", PATH + path, null));
    }

    private Fields told(ServiceResponse r) {
        if (r.status() == 409) {
            r.body().optionalTexts("against").forEach(line -> System.err.println("indigoreach: " + line));
            code = Tool.REFUSED;
        } else if (!r.isOk()) {
            throw new Failure(Tool.WRONG, r.body().optionalText("error"));
        }
        return r.body();
    }

    boolean isRefused() {
        return code != Tool.DONE;
    }

    void refuse() {
        code = Tool.REFUSED;
    }

    void print(Map<String, Object> map, String line) {
        System.out.println(cluster.json ? new JsonObject(map).encode() : line);
    }
}
