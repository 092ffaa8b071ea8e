package io.sesamehead.proof.fleet;

import java.util.function.Consumer;

/** Passes on the first value only: an answer or a timeout, whichever comes first. */
final class OneShotConsumer<T> implements Consumer<T> {
    private final Consumer<T> delegate;
    private boolean done;

    OneShotConsumer(Consumer<T> sink) {
        this.delegate = sink;
    }

    @Override
    public void accept(T value) {
        if (!done) {
            done = true;
            delegate.accept(value);
        }
    }
}
