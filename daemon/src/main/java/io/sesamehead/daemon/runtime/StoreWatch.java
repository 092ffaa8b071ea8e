package io.sesamehead.daemon.runtime;

import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.WatchEvent;
import io.sesamehead.daemon.transport.WatchResult;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Watches one object of the store while this daemon is a relay of its failure domain. */
public final class StoreWatch implements Runnable, AutoCloseable {
    /** Maximum duration of a watch, so that a daemon that is no longer a relay stops watching. */
    private static final Duration MAX_DURATION = Duration.ofSeconds(20);

    private static final long IDLE_WAIT_MILLIS = 1_000;

    private final DaemonTables tables;
    private final StateDistributor distributor;
    private final PlatformClient platform;
    private final String kind;
    private final String name;
    private final Consumer<PlatformObject> consumer;
    private final LongSupplier clock;
    private final Cancellation cancellation = new Cancellation();
    private String version = "";
    private long waitMillis;

    /**
     * Creates a watch that is not running yet.
     *
     * @param tables the tables of this daemon
     * @param distributor records that the store answered
     * @param platform the store
     * @param kind kind of the object
     * @param name name of the object
     * @param consumer receives the object after each change
     * @param clock monotonic clock, in milliseconds
     */
    public StoreWatch(
            DaemonTables tables,
            StateDistributor distributor,
            PlatformClient platform,
            String kind,
            String name,
            Consumer<PlatformObject> consumer,
            LongSupplier clock) {
        this.tables = tables;
        this.distributor = distributor;
        this.platform = platform;
        this.kind = kind;
        this.name = name;
        this.consumer = consumer;
        this.clock = clock;
    }

    @Override
    public void run() {
        waitMillis = IDLE_WAIT_MILLIS;
        if (cancellation.cancelled() || !tables.isRelay(clock.getAsLong())) {
            version = "";
            return;
        }
        WatchResult end = platform.watch(kind, name, version, MAX_DURATION, cancellation, this::handle);
        switch (end) {
            case WatchResult.TimedOut timedOut -> {
                distributor.recordAnswer();
                waitMillis = 1;
            }
            case WatchResult.VersionExpired expired -> version = "";
            case WatchResult.RateLimited(Duration retryAfter) ->
                waitMillis = Math.max(IDLE_WAIT_MILLIS, retryAfter.toMillis());
            case WatchResult.Broken(String detail) -> {
                Logger.debug("store: watch of {}/{} failed: {}", kind, name, detail);
                // The store may have been restored to a state older than the last version received.
                version = "";
            }
        }
    }

    private void handle(WatchEvent event) {
        switch (event) {
            case WatchEvent.Changed(PlatformObject object) -> {
                version = object.resourceVersion();
                consumer.accept(object);
            }
            case WatchEvent.Deleted(PlatformObject object) -> {
                version = object.resourceVersion();
                Logger.error("store: {}/{} was deleted; keeping the version in force", kind, name);
            }
        }
    }

    /**
     * Returns the delay before the next run.
     *
     * @return the delay in milliseconds
     */
    public long waitMillis() {
        return waitMillis;
    }

    @Override
    public void close() {
        cancellation.cancel();
    }
}
