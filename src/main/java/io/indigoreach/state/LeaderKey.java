package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/** The leadership key: which node leads, which of its processes, and under which token. */
record LeaderKey(String node, String process, FencingToken token, Revision revision) {
    static LeaderKey read(Fields f, Revision revision) {
        return new LeaderKey(f.text("node"), f.text("process"), new FencingToken(f.whole("token")), revision);
    }

    static Map<String, Object> write(String node, String process, FencingToken token) {
        return MessagePackFormat.map("node", node, "process", process, "token", token.value());
    }
}
