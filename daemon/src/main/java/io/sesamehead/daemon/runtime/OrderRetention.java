package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.Kinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.OrderCodec;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.OrderRecord;
import io.sesamehead.state.RunState;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Deletes recorded results of keyed calls when their retention is over. Only results that ran are deleted: they never
 * change again, while a claim, or a result that states not-run, can become a claim between the list and the delete.
 */
public final class OrderRetention implements Runnable {
    /** Interval of the sweep. */
    public static final Duration INTERVAL = Duration.ofHours(1);

    private static final Duration RETENTION = Duration.ofHours(24);

    private final PlatformClient platform;
    private final BooleanSupplier isHolder;
    private final LongSupplier epochMillis;

    /**
     * Creates the task.
     *
     * @param platform client of the object API
     * @param isHolder tells whether this daemon holds the controller lease
     * @param epochMillis wall clock, in milliseconds since 1970
     */
    public OrderRetention(PlatformClient platform, BooleanSupplier isHolder, LongSupplier epochMillis) {
        this.platform = platform;
        this.isHolder = isHolder;
        this.epochMillis = epochMillis;
    }

    @Override
    public void run() {
        if (!isHolder.getAsBoolean()
                || !(platform.list(Kinds.ORDERS)
                        instanceof StoreResult.Ok<ImmutableList<PlatformObject>>(ImmutableList<PlatformObject> all))) {
            return;
        }
        long deleted = all.stream()
                .filter(this::isOver)
                .filter(object -> isHolder.getAsBoolean())
                .filter(object -> platform.delete(object.kind(), object.name()) instanceof StoreResult.Ok)
                .count();
        Logger.info("order: deleted {} of {} recorded results", deleted, all.size());
    }

    private boolean isOver(PlatformObject object) {
        try {
            OrderRecord order = OrderCodec.decode(object.spec());
            return order.result()
                    .filter(result -> result.runState() == RunState.RAN)
                    .filter(result -> epochMillis.getAsLong() - result.recordedEpochMillis() > RETENTION.toMillis())
                    .isPresent();
        } catch (MalformedMessageException e) {
            return false;
        }
    }
}
