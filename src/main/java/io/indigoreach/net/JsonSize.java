package io.indigoreach.net;

import java.util.List;
import java.util.Map;

/**
 * How long a body would be as compact JSON in UTF-8: the form in which the protocol counts its limits, although bodies are sent as
 * MessagePack. The only measure for whatever is sized by a limit.
 */
public final class JsonSize {
    private JsonSize() {}

    public static int of(Object value) {
        if (value instanceof String s) {
            return text(s);
        }
        if (value instanceof Map<?, ?> map) {
            int n = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> e : map.entrySet()) {
                n += text((String) e.getKey()) + 1 + of(e.getValue());
            }
            return n;
        }
        if (value instanceof List<?> list) {
            int n = 2 + Math.max(0, list.size() - 1);
            for (Object o : list) {
                n += of(o);
            }
            return n;
        }
        return String.valueOf(value).length();
    }

    private static int text(String s) {
        int n = 2;
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            n += c == '"' || c == '\\' ? 2 : c < 0x20 ? 6 : c < 0x80 ? 1 : c < 0x800 ? 2 : 3;
        }
        return n;
    }
}
