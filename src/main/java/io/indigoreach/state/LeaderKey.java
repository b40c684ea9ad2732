package io.indigoreach.state;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/** The leadership key: which node leads, which of its processes, and under which token. */
public record LeaderKey(String node, String process, FencingToken token, Revision revision) {
    /** Throws {@link io.indigoreach.net.WireException} if the key cannot be read. */
    public static LeaderKey read(Fields value, Revision revision) {
        return new LeaderKey(
                value.text("node"), value.text("process"), new FencingToken(value.wholeNumber("token")), revision);
    }

    /** The token in the value of a leadership key. */
    public static long tokenOf(Map<String, Object> value) {
        return new Fields(value).wholeNumber("token");
    }

    static Map<String, Object> write(String node, String process, FencingToken token) {
        return MessagePackFormat.map("node", node, "process", process, "token", token.value());
    }
}
