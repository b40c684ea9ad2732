package io.indigoreach.net;

import java.util.List;
import java.util.Map;

/**
 * The length of a body as compact JSON in UTF-8, in bytes. The protocol counts its limits in this form although bodies are sent as
 * MessagePack, so this is the only measure for anything that a limit applies to.
 */
public final class JsonSize {
    private JsonSize() {}

    /** The length of a map, list, text, number, boolean or null, in bytes. */
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

    /** Half of a surrogate pair counts 3 here; the form takes 4 bytes for a pair. */
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
