package io.sesamehead.daemon.runtime;

import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.WatchResult;
import io.sesamehead.daemon.transport.WatchEvent;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Watches one object while this daemon is a relay of its failure domain. */
public final class StoreWatch implements Runnable, AutoCloseable {
    /** A watch ends after this time, so that a daemon that is no longer a relay gives it up. */
    private static final Duration LENGTH = Duration.ofSeconds(20);

    private static final long IDLE_WAIT_MILLIS = 1_000;

    private final DaemonTables tables;
    private final StateDistributor news;
    private final PlatformClient platform;
    private final String kind;
    private final String name;
    private final Consumer<PlatformObject> sink;
    private final LongSupplier clock;
    private final Cancellation cancellation = new Cancellation();
    private String version = "";
    private long waitMillis;

    /**
     * Creates a watch that is not running.
     *
     * @param tables the tables of this daemon
     * @param news learns that the store answered
     * @param platform the store
     * @param kind kind of the object
     * @param name name of the object
     * @param sink takes the object at each change
     * @param clock monotonic clock, in milliseconds
     */
    public StoreWatch(
            DaemonTables tables,
            StateDistributor news,
            PlatformClient platform,
            String kind,
            String name,
            Consumer<PlatformObject> sink,
            LongSupplier clock) {
        this.tables = tables;
        this.news = news;
        this.platform = platform;
        this.kind = kind;
        this.name = name;
        this.sink = sink;
        this.clock = clock;
    }

    @Override
    public void run() {
        waitMillis = IDLE_WAIT_MILLIS;
        if (cancellation.cancelled() || !tables.isRelay(clock.getAsLong())) {
            version = "";
            return;
        }
        WatchResult end = platform.watch(kind, name, version, LENGTH, cancellation, this::take);
        switch (end) {
            case WatchResult.TimedOut timedOut -> {
                news.recordAnswer();
                waitMillis = 1;
            }
            case WatchResult.VersionExpired expired -> version = "";
            case WatchResult.RateLimited(Duration retryAfter) ->
                waitMillis = Math.max(IDLE_WAIT_MILLIS, retryAfter.toMillis());
            case WatchResult.Broken(String detail) -> {
                Logger.debug("store: the watch of {}/{} broke: {}", kind, name, detail);
                // A store that came back may be older than the version that was seen.
                version = "";
            }
        }
    }

    private void take(WatchEvent event) {
        switch (event) {
            case WatchEvent.Changed(PlatformObject object) -> {
                version = object.resourceVersion();
                sink.accept(object);
            }
            case WatchEvent.Deleted(PlatformObject object) -> {
                version = object.resourceVersion();
                Logger.error("store: {}/{} was deleted; what is in force stays", kind, name);
            }
        }
    }

    /**
     * Returns the wait before the next run.
     *
     * @return milliseconds
     */
    public long waitMillis() {
        return waitMillis;
    }

    @Override
    public void close() {
        cancellation.cancel();
    }
}
