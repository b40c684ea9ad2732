package io.indigoreach.net;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Converts MessagePack bodies to and from maps, lists, strings, numbers, booleans and null. Integers become {@link Long}, other
 * numbers {@link Double}. Nesting depth and list lengths are limited, so that a short body cannot cause a large allocation.
 */
public final class MessagePackFormat {
    private static final int MAX_DEPTH = 16;
    /** Reduces the buffer for strings that span several input buffers from 8,192 to 128 characters: a body is a single buffer. */
    private static final MessagePack.UnpackerConfig READER =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(128);

    private MessagePackFormat() {}

    /** Decodes a body that contains a map; throws {@link WireException} if it contains another value. */
    public static Fields readMap(Buffer body) {
        return new Fields(asMap(read(body)));
    }

    static Object read(Buffer body) {
        byte[] bytes = body.getBytes();
        try (MessageUnpacker in = READER.newUnpacker(bytes)) {
            Object value = read(in, 0, bytes.length);
            if (in.hasNext()) {
                throw new WireException("bytes after the end of the message");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            throw e instanceof WireException w ? w : new WireException("not MessagePack");
        }
    }

    /** Reads a value; {@code size} is the size of the whole message in bytes, which limits the length of a list. */
    private static Object read(MessageUnpacker in, int depth, int size) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new WireException("nested too deeply");
        }
        switch (in.getNextFormat().getValueType()) {
            case NIL:
                in.unpackNil();
                return null;
            case BOOLEAN:
                return in.unpackBoolean();
            case INTEGER:
                return in.unpackBigInteger().longValue();
            case FLOAT:
                return in.unpackDouble();
            case STRING:
                return in.unpackString();
            case ARRAY:
                return readList(in, depth, size);
            case MAP:
                return readMap(in, depth, size);
            default:
                throw new WireException("a value of an unexpected kind");
        }
    }

    private static List<Object> readList(MessageUnpacker in, int depth, int size) throws IOException {
        int length = in.unpackArrayHeader();
        if (length > size) {
            throw new WireException("a list longer than its message");
        }
        List<Object> list = new ArrayList<>(length);
        for (int i = 0; i < length; i++) {
            list.add(read(in, depth + 1, size));
        }
        return list;
    }

    private static Map<String, Object> readMap(MessageUnpacker in, int depth, int size) throws IOException {
        int length = in.unpackMapHeader();
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < length; i++) {
            if (!in.getNextFormat().getValueType().isStringType()) {
                throw new WireException("a key that is not text");
            }
            String key = in.unpackString();
            if (map.containsKey(key)) {
                throw new WireException("a key that is there twice");
            }
            map.put(key, read(in, depth + 1, size));
        }
        return map;
    }

    /** Encodes a value; throws {@link IllegalArgumentException} if its type is not supported. */
    public static Buffer write(Object value) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            write(out, value);
            return Buffer.buffer(out.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(MessageBufferPacker out, Object value) throws IOException {
        if (value == null) {
            out.packNil();
        } else if (value instanceof String text) {
            out.packString(text);
        } else if (value instanceof Boolean flag) {
            out.packBoolean(flag);
        } else if (value instanceof Integer number) {
            out.packInt(number);
        } else if (value instanceof Long number) {
            out.packLong(number);
        } else if (value instanceof Double number) {
            out.packDouble(number);
        } else if (value instanceof Map<?, ?> map) {
            out.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.packString((String) entry.getKey());
                write(out, entry.getValue());
            }
        } else if (value instanceof List<?> list) {
            out.packArrayHeader(list.size());
            for (Object element : list) {
                write(out, element);
            }
        } else {
            throw new IllegalArgumentException("unsupported type: " + value.getClass());
        }
    }

    /** Creates a map from alternating keys and values, in this order. */
    public static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return map;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asMap(Object value) {
        if (!(value instanceof Map)) {
            throw new WireException("not a map");
        }
        return (Map<String, Object>) value;
    }
}
