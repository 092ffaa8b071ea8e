package io.sesamehead.proof;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * In-memory object store with versions and conditional writes that can inject the faults of the real object API. Values
 * are immutable. Responses are delivered through the event queue. Not thread-safe.
 */
public final class FakeStore {
    private static final int RESPONSE_DELAY_SPREAD_MILLIS = 5;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private Map<String, VersionedValue> objects = new HashMap<>();
    private Map<String, VersionedValue> snapshot = Map.of();
    private long nextVersion = 1;
    private boolean unavailable;
    private int maxExtraDelayMillis;
    private double lostResponseChance;

    /**
     * Creates an empty store.
     *
     * @param queue virtual time
     * @param random source of randomness for delays and lost responses
     * @param record counts the injected faults
     */
    public FakeStore(EventQueue queue, RandomGenerator random, RunRecord record) {
        this.queue = queue;
        this.random = random;
        this.record = record;
    }

    /**
     * Starts or ends an outage.
     *
     * @param isUnavailable whether every call is refused
     */
    public void setUnavailable(boolean isUnavailable) {
        if (isUnavailable && !unavailable) {
            record.recordFault(FaultKind.STORE_DOWN);
        }
        unavailable = isUnavailable;
    }

    /**
     * Sets the upper bound of a random extra delay of responses.
     *
     * @param millis upper bound of the extra delay, in milliseconds; 0 for none
     */
    public void setMaxExtraDelay(int millis) {
        if (millis > 0 && maxExtraDelayMillis == 0) {
            record.recordFault(FaultKind.STORE_SLOW);
        }
        maxExtraDelayMillis = millis;
    }

    /**
     * Sets how often the response to a write is lost after the write was processed.
     *
     * @param chance probability for each write, 0 to 1
     */
    public void setLostResponseChance(double chance) {
        lostResponseChance = chance;
    }

    /** Takes a snapshot of the current content for {@link #restoreSnapshot}. */
    public void takeSnapshot() {
        snapshot = new HashMap<>(objects);
    }

    /** Restores the last snapshot. Version numbers are not reset and keep increasing. */
    public void restoreSnapshot() {
        record.recordFault(FaultKind.STORE_RESTORED);
        objects = new HashMap<>(snapshot);
    }

    /**
     * Reads the current content directly, without a store call; for invariant checks.
     *
     * @param name name of the object
     * @return the object, or empty
     */
    public Optional<VersionedValue> peek(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /**
     * Reads an object asynchronously.
     *
     * @param name name of the object
     * @param callback receives the response
     */
    public void read(String name, Consumer<StoreResponse> callback) {
        queue.after(1, () -> {
            if (unavailable) {
                respond(callback, new StoreResponse.Unavailable());
                return;
            }
            VersionedValue found = objects.get(name);
            respond(callback, found == null ? new StoreResponse.Missing() : new StoreResponse.Found(found));
        });
    }

    /**
     * Writes an object asynchronously if its current version equals the expected version.
     *
     * @param name name of the object
     * @param expectedVersion version that was read, or 0 to create the object
     * @param value new value
     * @param callback receives the response
     */
    public void write(String name, long expectedVersion, Object value, Consumer<StoreResponse> callback) {
        queue.after(1, () -> {
            if (unavailable) {
                respond(callback, new StoreResponse.Unavailable());
                return;
            }
            StoreResponse result = apply(name, expectedVersion, value);
            if (random.nextDouble() < lostResponseChance) {
                record.recordFault(FaultKind.STORE_ANSWER_LOST);
                respond(callback, new StoreResponse.ResponseLost());
                return;
            }
            respond(callback, result);
        });
    }

    private StoreResponse apply(String name, long expectedVersion, Object value) {
        VersionedValue current = objects.get(name);
        long currentVersion = current == null ? 0 : current.version();
        if (currentVersion != expectedVersion) {
            return new StoreResponse.Conflict();
        }
        VersionedValue written = new VersionedValue(nextVersion++, value);
        objects.put(name, written);
        return new StoreResponse.Found(written);
    }

    private void respond(Consumer<StoreResponse> callback, StoreResponse result) {
        long delay = random.nextInt(RESPONSE_DELAY_SPREAD_MILLIS);
        if (maxExtraDelayMillis > 0) {
            delay += random.nextInt(maxExtraDelayMillis);
        }
        queue.after(delay, () -> callback.accept(result));
    }

    /**
     * A stored value.
     *
     * @param version version for conditional writes, at least 1
     * @param value the value
     */
    public record VersionedValue(long version, Object value) {}

    /** Response of the store. */
    public sealed interface StoreResponse {
        /**
         * The read or write succeeded.
         *
         * @param object the object that was read or written
         */
        record Found(VersionedValue object) implements StoreResponse {}

        /** The object does not exist. */
        record Missing() implements StoreResponse {}

        /** The current version differs from the expected one; nothing was written. */
        record Conflict() implements StoreResponse {}

        /** The call was refused; nothing was written. */
        record Unavailable() implements StoreResponse {}

        /** The response was lost; a write may or may not have taken effect. */
        record ResponseLost() implements StoreResponse {}
    }
}
