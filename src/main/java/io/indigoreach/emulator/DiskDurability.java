package io.indigoreach.emulator;

import io.indigoreach.emulator.model.Mutation;
import io.indigoreach.emulator.model.StateModel;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.StateClient.Txn;
import io.indigoreach.state.StateCodec;
import io.indigoreach.store.RecordStore;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the state service's changes on disk. Changes that come while the disk is busy are written together; no answer
 * leaves before what it rests on is written. All methods belong to one event loop; the disk is used by worker threads.
 */
final class DiskDurability implements Durability {
    private static final Logger LOG = LoggerFactory.getLogger(DiskDurability.class);
    /** A log of this length, and longer than what it adds to, is replaced by a new base. */
    private static final long LOG_BYTES = 64L << 20;

    private final Context context;
    private final RecordStore store;
    private final Consumer<Throwable> broken;
    private StateModel model;
    private List<byte[]> waiting = new ArrayList<>();
    private List<Runnable> thens = new ArrayList<>();
    private boolean busy;
    private boolean basing;
    private long baseBytes;

    private DiskDurability(Vertx vertx, RecordStore store, long baseBytes, Consumer<Throwable> broken) {
        this.context = vertx.getOrCreateContext();
        this.store = store;
        this.baseBytes = baseBytes;
        this.broken = broken;
    }

    /** Opens the directory and puts its contents into {@code model}; to be called on the event loop that uses it. */
    static DiskDurability open(Vertx vertx, Path directory, Consumer<Mutation> restore, Consumer<Throwable> broken)
            throws IOException {
        RecordStore store = new RecordStore(directory, record -> restore.accept(read(record)));
        RecordStore.Found found = store.found();
        LOG.info(
                "{}: {} records, {} bytes{}",
                directory,
                found.records(),
                found.bytes(),
                found.tornBytes() == 0
                        ? ""
                        : "; the last write was cut short, its " + found.tornBytes() + " bytes are left out");
        return new DiskDurability(vertx, store, found.bytes() - store.logBytes(), broken);
    }

    void serves(StateModel served) {
        model = served;
    }

    @Override
    public void keep(Mutation change) {
        waiting.add(write(change));
    }

    @Override
    public void whenKept(Runnable then) {
        if (waiting.isEmpty() && !busy) {
            then.run();
            return;
        }
        thens.add(then);
        flush();
    }

    private void flush() {
        if (busy) {
            return;
        }
        if (waiting.isEmpty()) {
            List<Runnable> now = thens;
            thens = new ArrayList<>();
            now.forEach(Runnable::run);
            return;
        }
        busy = true;
        List<byte[]> batch = waiting;
        List<Runnable> after = thens;
        waiting = new ArrayList<>();
        thens = new ArrayList<>();
        List<Mutation> contents = isLong() ? model.contents() : null;
        basing |= contents != null;
        context.executeBlocking(() -> {
                    for (byte[] record : batch) {
                        store.append(record);
                    }
                    store.sync();
                    return contents == null ? -1L : store.beginLog();
                })
                .onComplete(done -> {
                    busy = false;
                    if (done.failed()) {
                        broken.accept(done.cause());
                        return;
                    }
                    if (contents != null) {
                        base(done.result(), contents);
                    }
                    after.forEach(Runnable::run);
                    flush();
                });
    }

    private boolean isLong() {
        return !basing && store.logBytes() > Math.max(LOG_BYTES, baseBytes);
    }

    private void base(long n, List<Mutation> contents) {
        long[] bytes = new long[1];
        context.<Void>executeBlocking(
                        () -> {
                            store.writeBase(
                                    n,
                                    contents.stream()
                                            .map(m -> {
                                                byte[] record = write(m);
                                                bytes[0] += record.length;
                                                return record;
                                            })
                                            .iterator());
                            return null;
                        },
                        false)
                .onComplete(done -> {
                    basing = false;
                    baseBytes = bytes[0];
                    if (done.failed()) {
                        broken.accept(done.cause());
                    }
                });
    }

    Future<Void> close() {
        return context.<Void>executeBlocking(() -> {
            for (byte[] record : waiting) {
                store.append(record);
            }
            store.close();
            return null;
        });
    }

    static byte[] write(Mutation m) {
        Txn txn = new Txn();
        m.writes().forEach(w -> txn.put(w.key(), w.value(), w.lease()));
        Map<String, Object> map = m.writes().isEmpty() ? MessagePackFormat.map() : StateCodec.writeTxn(txn);
        map.put("revision", m.revision());
        map.put("lease", m.lease());
        map.put("life", m.lifeMs());
        map.put("version", m.stamp());
        return MessagePackFormat.write(map).getBytes();
    }

    static Mutation read(byte[] record) {
        Fields f = MessagePackFormat.readMap(Buffer.buffer(record));
        return new Mutation(
                f.wholeNumber("revision"),
                StateCodec.readTxn(f).writes(),
                f.wholeNumber("lease"),
                f.wholeNumber("life"),
                f.wholeNumber("version"));
    }
}
