package io.indigoreach.store;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * A file of records, only ever appended to. Each record has a head of its length, the head's own checksum and the
 * body's. A process may end between any two bytes: what it leaves is a record cut short at the end of the file, which is
 * told apart from damage because the head vouches for the length. Checksums are CRC-32C.
 */
public final class RecordFile implements Closeable {
    private static final int HEAD = 12;
    private static final int MOST_BODY = 64 * 1024 * 1024;
    private static final int BUFFER = 256 * 1024;

    /** How a file ended. */
    public record Ending(long records, long goodBytes, long tornBytes) {}

    private final FileChannel channel;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER);
    private long bytes;

    private RecordFile(FileChannel channel, long bytes) {
        this.channel = channel;
        this.bytes = bytes;
    }

    /** Opens a file to go on after its first {@code goodBytes}; whatever stands behind them is cut off. */
    public static RecordFile append(Path path, long goodBytes) throws IOException {
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.truncate(goodBytes);
        channel.position(goodBytes);
        return new RecordFile(channel, goodBytes);
    }

    /** Puts a record at the end. It is not there for certain before {@link #sync}. */
    public void append(byte[] body) throws IOException {
        if (body.length > MOST_BODY) {
            throw new IOException("a record may have " + MOST_BODY + " bytes");
        }
        if (buffer.remaining() < HEAD) {
            drain();
        }
        int at = buffer.position();
        buffer.putInt(body.length).putInt(checksum(buffer.array(), at, 4)).putInt(checksum(body, 0, body.length));
        for (int done = 0; done < body.length; ) {
            if (!buffer.hasRemaining()) {
                drain();
            }
            int n = Math.min(buffer.remaining(), body.length - done);
            buffer.put(body, done, n);
            done += n;
        }
        bytes += HEAD + body.length;
    }

    /** Returns once everything appended is on the disk. */
    public void sync() throws IOException {
        drain();
        channel.force(false);
    }

    /** The file's length with what is not written yet. */
    public long bytes() {
        return bytes;
    }

    private void drain() throws IOException {
        buffer.flip();
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        buffer.clear();
    }

    @Override
    public void close() throws IOException {
        drain();
        channel.close();
    }

    /**
     * Reads the records in order. A record cut short at the end is reported, not an error; anything else that is wrong
     * is {@link DamagedFileException} with the place.
     */
    public static Ending read(Path path, Consumer<byte[]> records) throws IOException {
        long size = Files.size(path);
        long at = 0;
        long count = 0;
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(path), BUFFER))) {
            while (size - at >= HEAD) {
                byte[] head = in.readNBytes(HEAD);
                ByteBuffer numbers = ByteBuffer.wrap(head);
                int length = numbers.getInt();
                int headSum = numbers.getInt();
                int bodySum = numbers.getInt();
                if (isZero(head) && restIsZero(in)) {
                    // What a file system may leave of an append that was under way when the power went.
                    return new Ending(count, at, size - at);
                }
                if (headSum != checksum(head, 0, 4) || length < 0 || length > MOST_BODY) {
                    throw new DamagedFileException(path, at, "the head of a record does not match its checksum");
                }
                if (size - at - HEAD < length) {
                    break;
                }
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    throw new EOFException(path + ": shorter than it was");
                }
                if (bodySum != checksum(body, 0, length)) {
                    throw new DamagedFileException(path, at, "a record does not match its checksum");
                }
                records.accept(body);
                at += HEAD + length;
                count++;
            }
        }
        return new Ending(count, at, size - at);
    }

    private static boolean isZero(byte[] bytes) {
        for (byte b : bytes) {
            if (b != 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean restIsZero(InputStream in) throws IOException {
        byte[] part = new byte[BUFFER];
        for (int n = in.readNBytes(part, 0, BUFFER); n > 0; n = in.readNBytes(part, 0, BUFFER)) {
            for (int i = 0; i < n; i++) {
                if (part[i] != 0) {
                    return false;
                }
            }
        }
        return true;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
