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
    /**
     * A body is a single buffer, so the decoder's buffer for strings that span several input buffers is reduced from
     * 8,192 to 128 characters.
     */
    private static final MessagePack.UnpackerConfig UNPACKER_CONFIG =
            new MessagePack.UnpackerConfig().withStringDecoderBufferSize(128);

    private MessagePackFormat() {}

    /** Decodes a body that contains a map; throws {@link WireException} if it contains another value. */
    public static Fields readMap(Buffer body) {
        return new Fields(asMap(read(body)));
    }

    static Object read(Buffer body) {
        byte[] bytes = body.getBytes();
        try (MessageUnpacker unpacker = UNPACKER_CONFIG.newUnpacker(bytes)) {
            Object value = read(unpacker, 0, bytes.length);
            if (unpacker.hasNext()) {
                throw new WireException("bytes after the end of the message");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            throw e instanceof WireException wireException ? wireException : new WireException("not MessagePack");
        }
    }

    /** Reads a value; {@code messageSize} is the size of the whole message in bytes, which limits the length of a list. */
    private static Object read(MessageUnpacker unpacker, int depth, int messageSize) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new WireException("nested too deeply");
        }
        switch (unpacker.getNextFormat().getValueType()) {
            case NIL:
                unpacker.unpackNil();
                return null;
            case BOOLEAN:
                return unpacker.unpackBoolean();
            case INTEGER:
                return unpacker.unpackBigInteger().longValue();
            case FLOAT:
                return unpacker.unpackDouble();
            case STRING:
                return unpacker.unpackString();
            case ARRAY:
                return readList(unpacker, depth, messageSize);
            case MAP:
                return readMap(unpacker, depth, messageSize);
            default:
                throw new WireException("a value of an unexpected kind");
        }
    }

    private static List<Object> readList(MessageUnpacker unpacker, int depth, int messageSize) throws IOException {
        int length = unpacker.unpackArrayHeader();
        if (length > messageSize) {
            throw new WireException("a list longer than its message");
        }
        List<Object> list = new ArrayList<>(length);
        for (int i = 0; i < length; i++) {
            list.add(read(unpacker, depth + 1, messageSize));
        }
        return list;
    }

    private static Map<String, Object> readMap(MessageUnpacker unpacker, int depth, int messageSize)
            throws IOException {
        int length = unpacker.unpackMapHeader();
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < length; i++) {
            if (!unpacker.getNextFormat().getValueType().isStringType()) {
                throw new WireException("a key that is not text");
            }
            String key = unpacker.unpackString();
            if (map.containsKey(key)) {
                throw new WireException("a key that is there twice");
            }
            map.put(key, read(unpacker, depth + 1, messageSize));
        }
        return map;
    }

    /** Encodes a value; throws {@link IllegalArgumentException} if its type is not supported. */
    public static Buffer write(Object value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            write(packer, value);
            return Buffer.buffer(packer.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(MessageBufferPacker packer, Object value) throws IOException {
        if (value == null) {
            packer.packNil();
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (value instanceof Integer number) {
            packer.packInt(number);
        } else if (value instanceof Long number) {
            packer.packLong(number);
        } else if (value instanceof Double number) {
            packer.packDouble(number);
        } else if (value instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packer.packString((String) entry.getKey());
                write(packer, entry.getValue());
            }
        } else if (value instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object element : list) {
                write(packer, element);
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
