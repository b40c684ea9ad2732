package standin;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack as the protocol page uses it, and the size of a message in its JSON form. */
final class Msg {
    private Msg() {}

    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return map;
    }

    static byte[] write(Object value) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            write(new DataOutputStream(bytes), value);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(DataOutputStream out, Object value) throws IOException {
        if (value == null) {
            out.writeByte(0xc0);
        } else if (value instanceof Boolean flag) {
            out.writeByte(flag ? 0xc3 : 0xc2);
        } else if (value instanceof Double number) {
            out.writeByte(0xcb);
            out.writeDouble(number);
        } else if (value instanceof Number number) {
            long n = number.longValue();
            if (n >= 0 && n < 128) {
                out.writeByte((int) n);
            } else {
                out.writeByte(0xd3);
                out.writeLong(n);
            }
        } else if (value instanceof String text) {
            byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
            if (utf8.length < 32) {
                out.writeByte(0xa0 | utf8.length);
            } else if (utf8.length < 65536) {
                out.writeByte(0xda);
                out.writeShort(utf8.length);
            } else {
                out.writeByte(0xdb);
                out.writeInt(utf8.length);
            }
            out.write(utf8);
        } else if (value instanceof List<?> list) {
            if (list.size() < 16) {
                out.writeByte(0x90 | list.size());
            } else {
                out.writeByte(0xdd);
                out.writeInt(list.size());
            }
            for (Object element : list) {
                write(out, element);
            }
        } else if (value instanceof Map<?, ?> map) {
            if (map.size() < 16) {
                out.writeByte(0x80 | map.size());
            } else {
                out.writeByte(0xdf);
                out.writeInt(map.size());
            }
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("not a value of the protocol: " + value.getClass());
        }
    }

    /** Reads a map; throws {@link IllegalArgumentException} if the bytes are none. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> readMap(byte[] bytes) {
        if (bytes.length == 0) {
            return Map.of();
        }
        try {
            return (Map<String, Object>) read(ByteBuffer.wrap(bytes));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not a map in MessagePack", e);
        }
    }

    private static Object read(ByteBuffer in) {
        int b = in.get() & 0xff;
        if (b < 0x80) {
            return (long) b;
        }
        if (b >= 0xe0) {
            return (long) (byte) b;
        }
        if (b < 0x90) {
            return readMap(in, b & 0xf);
        }
        if (b < 0xa0) {
            return readList(in, b & 0xf);
        }
        if (b < 0xc0) {
            return readText(in, b & 0x1f);
        }
        switch (b) {
            case 0xc0:
                return null;
            case 0xc2:
                return false;
            case 0xc3:
                return true;
            case 0xca:
                return (double) in.getFloat();
            case 0xcb:
                return in.getDouble();
            case 0xcc:
                return (long) (in.get() & 0xff);
            case 0xcd:
                return (long) (in.getShort() & 0xffff);
            case 0xce:
                return in.getInt() & 0xffffffffL;
            case 0xcf:
            case 0xd3:
                return in.getLong();
            case 0xd0:
                return (long) in.get();
            case 0xd1:
                return (long) in.getShort();
            case 0xd2:
                return (long) in.getInt();
            case 0xd9:
                return readText(in, in.get() & 0xff);
            case 0xda:
                return readText(in, in.getShort() & 0xffff);
            case 0xdb:
                return readText(in, in.getInt());
            case 0xdc:
                return readList(in, in.getShort() & 0xffff);
            case 0xdd:
                return readList(in, in.getInt());
            case 0xde:
                return readMap(in, in.getShort() & 0xffff);
            case 0xdf:
                return readMap(in, in.getInt());
            default:
                throw new IllegalArgumentException("kind " + b);
        }
    }

    private static String readText(ByteBuffer in, int length) {
        byte[] utf8 = new byte[length];
        in.get(utf8);
        return new String(utf8, StandardCharsets.UTF_8);
    }

    private static List<Object> readList(ByteBuffer in, int length) {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            list.add(read(in));
        }
        return list;
    }

    private static Map<String, Object> readMap(ByteBuffer in, int length) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < length; i++) {
            map.put((String) read(in), read(in));
        }
        return map;
    }

    /** The size in bytes of a value in its compact JSON form. */
    static int jsonBytes(Object value) {
        if (value instanceof String text) {
            return text.getBytes(StandardCharsets.UTF_8).length + 2;
        }
        if (value instanceof Map<?, ?> map) {
            int bytes = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += jsonBytes(entry.getKey()) + 1 + jsonBytes(entry.getValue());
            }
            return bytes;
        }
        if (value instanceof List<?> list) {
            int bytes = 2 + Math.max(0, list.size() - 1);
            for (Object element : list) {
                bytes += jsonBytes(element);
            }
            return bytes;
        }
        return String.valueOf(value).length();
    }

    static long whole(Map<String, Object> map, String field) {
        return ((Number) map.get(field)).longValue();
    }

    static double amount(Map<String, Object> map, String field) {
        return ((Number) map.get(field)).doubleValue();
    }

    static String text(Map<String, Object> map, String field) {
        return (String) map.get(field);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Map<String, Object> map, String field) {
        Object list = map.get(field);
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }
}
