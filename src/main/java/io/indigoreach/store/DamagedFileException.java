package io.indigoreach.store;

import java.io.IOException;
import java.nio.file.Path;

/** A file holds something that was never written so: not a write cut short, but damage. */
public final class DamagedFileException extends IOException {
    private static final long serialVersionUID = 1;

    DamagedFileException(Path path, long offset, String what) {
        super(path + " is damaged at byte " + offset + ": " + what + "; restore it from a copy, or start with an empty "
                + "directory");
    }
}
