package io.indigoreach.net;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.concurrent.TimeUnit;

/** Creates Vert.x instances with one event loop each, because controller machines have a tenth of a core and no disk. */
public final class EventLoops {
    private EventLoops() {}

    /** Creates an instance with one event loop, one worker thread and no file cache. */
    public static Vertx vertx() {
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setPreferNativeTransport(false)
                .setBlockedThreadCheckInterval(1)
                .setBlockedThreadCheckIntervalUnit(TimeUnit.DAYS)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
    }
}
