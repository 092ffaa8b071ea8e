package io.sesamehead.proof.fleet;

import java.util.function.Consumer;

/** Passes on the first value only: an answer or a timeout, whichever comes first. */
final class Once<T> implements Consumer<T> {
    private final Consumer<T> sink;
    private boolean done;

    Once(Consumer<T> sink) {
        this.sink = sink;
    }

    @Override
    public void accept(T value) {
        if (!done) {
            done = true;
            sink.accept(value);
        }
    }
}
