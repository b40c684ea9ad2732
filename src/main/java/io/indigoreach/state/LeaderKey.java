package io.indigoreach.state;

import io.indigoreach.core.Stamp;
import io.indigoreach.core.Token;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Wire;
import java.util.Map;

/** The leadership key: which node leads, which of its processes, and under which token. */
record LeaderKey(String node, String process, Token token, Stamp stamp) {
    static LeaderKey read(Fields f, Stamp stamp) {
        return new LeaderKey(f.text("node"), f.text("process"), new Token(f.whole("token")), stamp);
    }

    static Map<String, Object> write(String node, String process, Token token) {
        return Wire.map("node", node, "process", process, "token", token.value());
    }
}
