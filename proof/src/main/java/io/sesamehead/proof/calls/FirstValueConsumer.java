package io.sesamehead.proof.calls;

import java.util.function.Consumer;

/** Passes the first value on and drops the others. */
final class FirstValueConsumer<T> implements Consumer<T> {
    private final Consumer<T> target;
    private boolean used;

    FirstValueConsumer(Consumer<T> target) {
        this.target = target;
    }

    @Override
    public void accept(T value) {
        if (!used) {
            used = true;
            target.accept(value);
        }
    }
}
