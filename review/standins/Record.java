package standin;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, a line each, with the seconds since the start. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final BufferedWriter out;

    Record(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void add(String kind, String text) {
        try {
            out.write(String.format(Locale.ROOT, "%8.3f %-9s %s%n", seconds(), kind, text));
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
