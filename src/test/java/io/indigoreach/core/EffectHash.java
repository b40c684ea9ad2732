package io.indigoreach.core;

import java.io.BufferedOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Computes a hash over all effects of a simulation, in order. */
final class EffectHash implements EffectListener {
    private final MessageDigest digest;
    private final DataOutputStream out;
    private long count;

    EffectHash() {
        digest = sha256();
        out = new DataOutputStream(
                new BufferedOutputStream(new DigestOutputStream(OutputStream.nullOutputStream(), digest)));
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    long count() {
        return count;
    }

    byte[] hash() {
        try {
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return digest.digest();
    }

    @Override
    public void effect(int code, Object... values) {
        count++;
        try {
            out.writeInt(code);
            out.writeInt(values.length);
            for (Object value : values) {
                write(value);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a letter for the type of the value, then the value. All integers have the same type. */
    private void write(Object value) throws IOException {
        if (value == null) {
            out.writeByte('0');
        } else if (value instanceof Integer || value instanceof Long) {
            out.writeByte('n');
            out.writeLong(((Number) value).longValue());
        } else if (value instanceof Double number) {
            out.writeByte('d');
            out.writeDouble(number);
        } else if (value instanceof Boolean truth) {
            out.writeByte(truth ? 't' : 'f');
        } else if (value instanceof String text) {
            out.writeByte('s');
            out.writeInt(text.length());
            out.writeChars(text);
        } else if (value instanceof BitSet bits) {
            out.writeByte('b');
            write(bits.stream().boxed().toList());
        } else if (value instanceof List<?> list) {
            out.writeByte('l');
            out.writeInt(list.size());
            for (Object item : list) {
                write(item);
            }
        } else if (value instanceof Map<?, ?> map) {
            Map<String, Object> sorted = new TreeMap<>();
            map.forEach((key, item) -> sorted.put((String) key, item));
            out.writeByte('m');
            out.writeInt(sorted.size());
            for (Map.Entry<String, Object> entry : sorted.entrySet()) {
                write(entry.getKey());
                write(entry.getValue());
            }
        } else {
            // The text of other objects may contain names from the code, or an identity hash.
            throw new IllegalArgumentException("cannot hash a value of type " + value.getClass());
        }
    }
}
