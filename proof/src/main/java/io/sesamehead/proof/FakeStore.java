package io.sesamehead.proof;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Object API with versions, conditional writes and the faults of the real one. Values are immutable. Answers come
 * through the event queue. Used by one thread.
 */
public final class FakeStore {
    private static final int RESPONSE_DELAY_SPREAD_MILLIS = 5;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private Map<String, VersionedValue> objects = new HashMap<>();
    private Map<String, VersionedValue> snapshot = Map.of();
    private long nextVersion = 1;
    private boolean down;
    private int maxExtraDelayMillis;
    private double lostResponseChance;

    /**
     * Creates an empty store.
     *
     * @param queue virtual time
     * @param random source of delays and lost answers
     * @param record where faults are counted
     */
    public FakeStore(EventQueue queue, RandomGenerator random, RunRecord record) {
        this.queue = queue;
        this.random = random;
        this.record = record;
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown true when every call is refused
     */
    public void setUnavailable(boolean isDown) {
        if (isDown && !down) {
            record.recordFault(FaultKind.STORE_DOWN);
        }
        down = isDown;
    }

    /**
     * Delays answers.
     *
     * @param millis longest extra delay, 0 for none, in milliseconds
     */
    public void setMaxExtraDelay(int millis) {
        if (millis > 0 && maxExtraDelayMillis == 0) {
            record.recordFault(FaultKind.STORE_SLOW);
        }
        maxExtraDelayMillis = millis;
    }

    /**
     * Makes answers to writes get lost after the write took effect.
     *
     * @param chance chance of a write, 0 to 1
     */
    public void setLostResponseChance(double chance) {
        lostResponseChance = chance;
    }

    /** Remembers the present content. */
    public void takeSnapshot() {
        snapshot = new HashMap<>(objects);
    }

    /** Goes back to the remembered content; versions continue to grow. */
    public void restoreSnapshot() {
        record.recordFault(FaultKind.STORE_RESTORED);
        objects = new HashMap<>(snapshot);
    }

    /**
     * Reads the present content without a call, for checks from outside.
     *
     * @param name name of the object
     * @return the object, or empty
     */
    public Optional<VersionedValue> peek(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @param answer receives the result
     */
    public void read(String name, Consumer<StoreResponse> answer) {
        queue.after(1, () -> {
            if (down) {
                reply(answer, new StoreResponse.Unavailable());
                return;
            }
            VersionedValue found = objects.get(name);
            reply(answer, found == null ? new StoreResponse.Missing() : new StoreResponse.Found(found));
        });
    }

    /**
     * Writes an object if its version is the expected one.
     *
     * @param name name of the object
     * @param expectedVersion version that was read, 0 to create
     * @param value new value
     * @param answer receives the result
     */
    public void write(String name, long expectedVersion, Object value, Consumer<StoreResponse> answer) {
        queue.after(1, () -> {
            if (down) {
                reply(answer, new StoreResponse.Unavailable());
                return;
            }
            StoreResponse result = apply(name, expectedVersion, value);
            if (random.nextDouble() < lostResponseChance) {
                record.recordFault(FaultKind.STORE_ANSWER_LOST);
                reply(answer, new StoreResponse.ResponseLost());
                return;
            }
            reply(answer, result);
        });
    }

    private StoreResponse apply(String name, long expectedVersion, Object value) {
        VersionedValue present = objects.get(name);
        long presentVersion = present == null ? 0 : present.version();
        if (presentVersion != expectedVersion) {
            return new StoreResponse.Conflict();
        }
        VersionedValue written = new VersionedValue(nextVersion++, value);
        objects.put(name, written);
        return new StoreResponse.Found(written);
    }

    private void reply(Consumer<StoreResponse> answer, StoreResponse result) {
        long delay = random.nextInt(RESPONSE_DELAY_SPREAD_MILLIS);
        if (maxExtraDelayMillis > 0) {
            delay += random.nextInt(maxExtraDelayMillis);
        }
        queue.after(delay, () -> answer.accept(result));
    }

    /**
     * A stored value.
     *
     * @param version version for conditional writes, from 1
     * @param value the value
     */
    public record VersionedValue(long version, Object value) {}

    /** Answer of the store. */
    public sealed interface StoreResponse {
        /**
         * The object read or written.
         *
         * @param object the stored value
         */
        record Found(VersionedValue object) implements StoreResponse {}

        /** There is no such object. */
        record Missing() implements StoreResponse {}

        /** The version was not the expected one; nothing was written. */
        record Conflict() implements StoreResponse {}

        /** The call was refused; nothing was written. */
        record Unavailable() implements StoreResponse {}

        /** No answer came; a write may or may not have taken effect. */
        record ResponseLost() implements StoreResponse {}
    }
}
