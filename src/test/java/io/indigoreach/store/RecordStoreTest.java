package io.indigoreach.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is on the disk after an end at any byte, and after damage at any byte. */
class RecordStoreTest {
    @TempDir
    private Path directory;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static List<String> read(Path directory) throws IOException {
        List<String> out = new ArrayList<>();
        new RecordStore(directory, r -> out.add(new String(r, StandardCharsets.UTF_8))).close();
        return out;
    }

    private static Path copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (var files = Files.list(from)) {
            for (Path p : files.toList()) {
                Files.copy(p, to.resolve(p.getFileName()));
            }
        }
        return to;
    }

    private Path filled(String... records) throws IOException {
        Path d = directory.resolve("filled");
        try (RecordStore store = new RecordStore(d, r -> {})) {
            for (String r : records) {
                store.append(bytes(r));
                store.sync();
            }
        }
        return d;
    }

    /** Ended between any two bytes: what was whole is there, the rest is cut off, and what is added later is read too. */
    @Test
    void survivesAnEndAtAnyByte() throws IOException {
        List<String> records = List.of("one", "", "a longer third record", "four");
        Path log = filled(records.toArray(new String[0])).resolve("log-0");
        byte[] whole = Files.readAllBytes(log);
        for (int cut = 0; cut <= whole.length; cut++) {
            Path d = Files.createDirectories(directory.resolve("cut-" + cut));
            Files.write(d.resolve("log-0"), Arrays.copyOf(whole, cut));
            List<String> found = new ArrayList<>();
            try (RecordStore store = new RecordStore(d, r -> found.add(new String(r, StandardCharsets.UTF_8)))) {
                assertEquals(records.subList(0, found.size()), found);
                assertEquals(cut, store.found().bytes() + store.found().tornBytes());
                store.append(bytes("later"));
            }
            found.add("later");
            assertEquals(found, read(d));
        }
    }

    /** A bit turned anywhere is damage and refused with the place, never taken for an end; even in a length. */
    @Test
    void refusesDamageAtAnyByte() throws IOException {
        Path log = filled("one", "two", "three").resolve("log-0");
        byte[] whole = Files.readAllBytes(log);
        for (int at = 0; at < whole.length; at++) {
            Path d = Files.createDirectories(directory.resolve("damaged-" + at));
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x10;
            Files.write(d.resolve("log-0"), damaged);
            int record = at < 15 ? 0 : at < 30 ? 15 : 30;
            DamagedFileException e = assertThrows(DamagedFileException.class, () -> read(d), "byte " + at);
            assertTrue(e.getMessage().contains("at byte " + record + ":"), e.getMessage());
        }
    }

    /** Zeros at the end are what a file system may leave of an append when the power goes. */
    @Test
    void takesZerosAtTheEndForAnEnd() throws IOException {
        Path log = filled("one").resolve("log-0");
        Files.write(log, new byte[5000], java.nio.file.StandardOpenOption.APPEND);
        assertEquals(List.of("one"), read(log.getParent()));
    }

    /** At each step of the change to a new base, what is on the disk holds the whole state. */
    @Test
    void survivesAnEndWhileChangingBases() throws IOException {
        Path d = directory.resolve("based");
        List<String> found = new ArrayList<>();
        try (RecordStore store = new RecordStore(d, r -> {})) {
            store.append(bytes("a=1"));
            store.append(bytes("a=2"));
            long n = store.beginLog();
            store.append(bytes("b=1"));
            store.sync();
            assertEquals(List.of("a=1", "a=2", "b=1"), read(copy(d, directory.resolve("before"))));
            Files.write(d.resolve("base-" + n + ".draft"), bytes("half a base"));
            assertEquals(List.of("a=1", "a=2", "b=1"), read(copy(d, directory.resolve("drafted"))));
            store.writeBase(n, List.of(bytes("a=2")).iterator());
            store.append(bytes("c=1"));
        }
        found.addAll(read(d));
        assertEquals(List.of("a=2", "b=1", "c=1"), found);
        try (var files = Files.list(d)) {
            assertEquals(
                    List.of("base-1", "lock", "log-1"),
                    files.map(p -> p.getFileName().toString()).sorted().toList());
        }
    }

    /** A base is whole or it does not count: one cut short was never given its name by this program. */
    @Test
    void refusesABaseCutShort() throws IOException {
        Path d = directory.resolve("based");
        try (RecordStore store = new RecordStore(d, r -> {})) {
            store.writeBase(store.beginLog(), List.of(bytes("a"), bytes("b")).iterator());
        }
        byte[] base = Files.readAllBytes(d.resolve("base-1"));
        Files.write(d.resolve("base-1"), Arrays.copyOf(base, base.length - 3));
        assertThrows(DamagedFileException.class, () -> read(d));
    }

    @Test
    void servesOneProcessAtATime() throws IOException {
        try (RecordStore first = new RecordStore(directory, r -> {})) {
            IOException e = assertThrows(IOException.class, () -> read(directory));
            assertTrue(e.getMessage().contains("in use"), e.getMessage());
        }
        assertEquals(List.of(), read(directory));
    }
}
