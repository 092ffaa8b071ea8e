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
    private static final int ANSWER_SPREAD_MILLIS = 5;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private Map<String, Versioned> objects = new HashMap<>();
    private Map<String, Versioned> snapshot = Map.of();
    private long nextVersion = 1;
    private boolean down;
    private int slowMillis;
    private double loseAnswerChance;

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
    public void down(boolean isDown) {
        if (isDown && !down) {
            record.injected(FaultKind.STORE_DOWN);
        }
        down = isDown;
    }

    /**
     * Delays answers.
     *
     * @param millis longest extra delay, 0 for none, in milliseconds
     */
    public void slow(int millis) {
        if (millis > 0 && slowMillis == 0) {
            record.injected(FaultKind.STORE_SLOW);
        }
        slowMillis = millis;
    }

    /**
     * Makes answers to writes get lost after the write took effect.
     *
     * @param chance chance of a write, 0 to 1
     */
    public void loseAnswers(double chance) {
        loseAnswerChance = chance;
    }

    /** Remembers the present content. */
    public void takeSnapshot() {
        snapshot = new HashMap<>(objects);
    }

    /** Goes back to the remembered content; versions continue to grow. */
    public void restoreSnapshot() {
        record.injected(FaultKind.STORE_RESTORED);
        objects = new HashMap<>(snapshot);
    }

    /**
     * Reads the present content without a call, for checks from outside.
     *
     * @param name name of the object
     * @return the object, or empty
     */
    public Optional<Versioned> peek(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @param answer receives the result
     */
    public void read(String name, Consumer<StoreAnswer> answer) {
        queue.after(1, () -> {
            if (down) {
                reply(answer, new StoreAnswer.Unavailable());
                return;
            }
            Versioned found = objects.get(name);
            reply(answer, found == null ? new StoreAnswer.Missing() : new StoreAnswer.Found(found));
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
    public void write(String name, long expectedVersion, Object value, Consumer<StoreAnswer> answer) {
        queue.after(1, () -> {
            if (down) {
                reply(answer, new StoreAnswer.Unavailable());
                return;
            }
            StoreAnswer result = apply(name, expectedVersion, value);
            if (random.nextDouble() < loseAnswerChance) {
                record.injected(FaultKind.STORE_ANSWER_LOST);
                reply(answer, new StoreAnswer.Lost());
                return;
            }
            reply(answer, result);
        });
    }

    private StoreAnswer apply(String name, long expectedVersion, Object value) {
        Versioned present = objects.get(name);
        long presentVersion = present == null ? 0 : present.version();
        if (presentVersion != expectedVersion) {
            return new StoreAnswer.Conflict();
        }
        Versioned written = new Versioned(nextVersion++, value);
        objects.put(name, written);
        return new StoreAnswer.Found(written);
    }

    private void reply(Consumer<StoreAnswer> answer, StoreAnswer result) {
        long delay = random.nextInt(ANSWER_SPREAD_MILLIS);
        if (slowMillis > 0) {
            delay += random.nextInt(slowMillis);
        }
        queue.after(delay, () -> answer.accept(result));
    }

    /**
     * A stored value.
     *
     * @param version version for conditional writes, from 1
     * @param value the value
     */
    public record Versioned(long version, Object value) {}

    /** Answer of the store. */
    public sealed interface StoreAnswer {
        /**
         * The object read or written.
         *
         * @param object the stored value
         */
        record Found(Versioned object) implements StoreAnswer {}

        /** There is no such object. */
        record Missing() implements StoreAnswer {}

        /** The version was not the expected one; nothing was written. */
        record Conflict() implements StoreAnswer {}

        /** The call was refused; nothing was written. */
        record Unavailable() implements StoreAnswer {}

        /** No answer came; a write may or may not have taken effect. */
        record Lost() implements StoreAnswer {}
    }
}
