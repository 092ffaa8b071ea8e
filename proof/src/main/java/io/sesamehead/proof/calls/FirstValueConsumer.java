package io.sesamehead.proof.calls;

import java.util.function.Consumer;

/** Passes the first value to the target and ignores subsequent values. */
final class FirstValueConsumer<T> implements Consumer<T> {
    private final Consumer<T> target;
    private boolean received;

    FirstValueConsumer(Consumer<T> target) {
        this.target = target;
    }

    @Override
    public void accept(T value) {
        if (!received) {
            received = true;
            target.accept(value);
        }
    }
}
