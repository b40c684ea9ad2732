package io.indigoreach.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A directory that holds a state as records: a base with the whole state at some time, and logs of what changed since.
 * Base and log of one number belong together: log n holds what changed after base n was taken. A base counts only once
 * it stands under its final name, so the change to a new one happens in one step. One process at a time.
 *
 * <p>Not for use by several threads at once, except {@link #writeBase}, which touches nothing but its own file.
 */
public final class RecordStore implements Closeable {
    private static final String BASE = "base-";
    private static final String LOG = "log-";
    private static final String DRAFT = ".draft";
    private static final byte[] END = "end of base".getBytes(StandardCharsets.UTF_8);

    /** What was found at the start. */
    public record Found(long records, long bytes, long tornBytes) {}

    private final Path directory;
    private final FileChannel lockFile;
    private final Found found;
    private RecordFile log;
    private long number;

    /** Opens a directory, making it if need be, and hands over the records it holds, the oldest first. */
    public RecordStore(Path directory, Consumer<byte[]> records) throws IOException {
        this.directory = Files.createDirectories(directory);
        this.lockFile =
                FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock();
            this.found = recover(records);
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        }
    }

    private void lock() throws IOException {
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            throw new IOException(directory + " is in use by another process; stop that one or name another directory");
        }
    }

    private Found recover(Consumer<byte[]> records) throws IOException {
        NavigableMap<Long, Path> bases = numbered(BASE);
        NavigableMap<Long, Path> logs = numbered(LOG);
        long count = 0;
        long bytes = 0;
        long torn = 0;
        if (!bases.isEmpty()) {
            number = bases.lastKey();
            count += readBase(bases.lastEntry().getValue(), records);
            bytes += Files.size(bases.lastEntry().getValue());
        }
        RecordFile.Ending last = new RecordFile.Ending(0, 0, 0);
        for (var e : logs.tailMap(number, true).entrySet()) {
            if (torn > 0) {
                throw new DamagedFileException(
                        logs.get(number), last.goodBytes(), "cut short, though a later log " + "follows");
            }
            number = e.getKey();
            last = RecordFile.read(e.getValue(), records);
            count += last.records();
            bytes += last.goodBytes();
            torn = last.tornBytes();
        }
        log = RecordFile.append(path(LOG, number), last.goodBytes());
        return new Found(count, bytes, torn);
    }

    private static long readBase(Path base, Consumer<byte[]> records) throws IOException {
        List<byte[]> held = new ArrayList<>(1);
        RecordFile.Ending ending = RecordFile.read(base, record -> {
            if (!held.isEmpty()) {
                records.accept(held.remove(0));
            }
            held.add(record);
        });
        if (held.isEmpty() || !java.util.Arrays.equals(held.get(0), END)) {
            throw new DamagedFileException(base, ending.goodBytes(), "a base without its end");
        }
        return ending.records() - 1;
    }

    public Found found() {
        return found;
    }

    public void append(byte[] record) throws IOException {
        log.append(record);
    }

    /** Returns once everything appended is on the disk. */
    public void sync() throws IOException {
        log.sync();
    }

    /** Bytes in the log, which is what the next start has to go through besides the base. */
    public long logBytes() {
        return log.bytes();
    }

    /**
     * Begins a new log. What is appended from now on follows the base that {@link #writeBase} is to be given for the
     * number returned; until that is done, the old base and both logs hold the state.
     */
    public long beginLog() throws IOException {
        log.sync();
        log.close();
        log = RecordFile.append(path(LOG, ++number), 0);
        return number;
    }

    /** Writes the state as it was when log {@code n} began, and removes what this replaces. */
    public void writeBase(long n, Iterator<byte[]> state) throws IOException {
        Path draft = directory.resolve(BASE + n + DRAFT);
        try (RecordFile file = RecordFile.append(draft, 0)) {
            while (state.hasNext()) {
                file.append(state.next());
            }
            file.append(END);
            file.sync();
        }
        Files.move(draft, path(BASE, n), StandardCopyOption.ATOMIC_MOVE);
        for (String kind : List.of(BASE, LOG)) {
            for (Path old : numbered(kind).headMap(n).values()) {
                Files.deleteIfExists(old);
            }
        }
    }

    @Override
    public void close() throws IOException {
        log.sync();
        log.close();
        lockFile.close();
    }

    private Path path(String kind, long n) {
        return directory.resolve(kind + n);
    }

    private NavigableMap<Long, Path> numbered(String kind) throws IOException {
        TreeMap<Long, Path> out = new TreeMap<>();
        try (var files = Files.list(directory)) {
            for (Path p : files.toList()) {
                String name = p.getFileName().toString();
                if (name.matches(kind + "[0-9]{1,18}")) {
                    out.put(Long.parseLong(name.substring(kind.length())), p);
                }
            }
        }
        return out;
    }
}
