package io.indigoreach.tools;

/** A line of progress on standard error: rewritten in place where a person looks on, else now and then a new one. */
final class Console {
    private static final boolean LIVE = System.console() != null;
    private static final int EVERY = 10;
    private static int lines;

    private Console() {}

    static synchronized void progress(String line) {
        if (LIVE) {
            System.err.print("\r\u001b[K" + line);
            System.err.flush();
        } else if (lines++ % EVERY == 0) {
            System.err.println(line);
        }
    }

    static synchronized void over() {
        if (LIVE) {
            System.err.print("\r\u001b[K");
            System.err.flush();
        }
    }
}
