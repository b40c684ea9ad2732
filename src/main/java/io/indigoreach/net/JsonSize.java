package io.indigoreach.net;

import java.util.List;
import java.util.Map;

/**
 * Computes the size of a body as compact JSON in UTF-8, in bytes. Bodies are sent as MessagePack, but the protocol defines its size
 * limits for JSON, so every size that is compared with a limit is computed here.
 */
public final class JsonSize {
    private JsonSize() {}

    /** Returns the size of a map, list, string, number, boolean or null, in bytes. */
    public static int of(Object value) {
        if (value instanceof String text) {
            return textSize(text);
        }
        if (value instanceof Map<?, ?> map) {
            int bytes = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += textSize((String) entry.getKey()) + 1 + of(entry.getValue());
            }
            return bytes;
        }
        if (value instanceof List<?> list) {
            int bytes = 2 + Math.max(0, list.size() - 1);
            for (Object element : list) {
                bytes += of(element);
            }
            return bytes;
        }
        return String.valueOf(value).length();
    }

    /** Overestimates surrogate pairs: each half counts 3 bytes, while UTF-8 encodes a pair in 4 bytes. */
    private static int characterSize(char character) {
        if (character == '"' || character == '\\') {
            return 2;
        }
        if (character < 0x20) {
            return 6;
        }
        if (character < 0x80) {
            return 1;
        }
        return character < 0x800 ? 2 : 3;
    }

    private static int textSize(String text) {
        int bytes = 2;
        for (int i = 0; i < text.length(); i++) {
            bytes += characterSize(text.charAt(i));
        }
        return bytes;
    }
}
