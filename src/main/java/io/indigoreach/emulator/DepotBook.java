package io.indigoreach.emulator;

import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.store.RecordStore;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** What the emulator must know again after a restart besides the state service's contents: uploads, and how often it started. */
final class DepotBook {
    private final Vertx vertx;
    private final RecordStore store;
    private int starts;

    /** Fills the depot with what was uploaded before, and counts this start. */
    DepotBook(Vertx vertx, Path directory, Depot depot) throws IOException {
        this.vertx = vertx;
        this.store = new RecordStore(directory, record -> {
            if (record.length == 0) {
                starts++;
            } else {
                DepotCodec.Upload upload = DepotCodec.read(MessagePackFormat.readMap(Buffer.buffer(record)));
                depot.upload(upload.spec(), upload.conduct());
            }
        });
        store.append(new byte[0]);
        store.sync();
    }

    /** How often the emulator was started on this directory before. */
    int startsBefore() {
        return starts;
    }

    /** Succeeds once the upload is on the disk. */
    Future<Void> keep(DepotCodec.Upload upload) {
        Map<String, Object> record = DepotCodec.write(upload);
        return vertx.executeBlocking(() -> {
            store.append(MessagePackFormat.write(record).getBytes());
            store.sync();
            return null;
        });
    }

    Future<Void> close() {
        return vertx.executeBlocking(() -> {
            store.close();
            return null;
        });
    }
}
