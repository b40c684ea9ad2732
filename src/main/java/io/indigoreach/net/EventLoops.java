package io.indigoreach.net;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.concurrent.TimeUnit;

/** Vert.x cut down to one event loop: the machines have a tenth of a core and no disk. */
public final class EventLoops {
    private EventLoops() {}

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
