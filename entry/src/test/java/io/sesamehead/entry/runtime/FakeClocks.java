package io.sesamehead.entry.runtime;

/** Clocks that a test sets. */
final class FakeClocks implements Clocks {
    long now;

    FakeClocks(long startMillis) {
        now = startMillis;
    }

    @Override
    public long steadyMillis() {
        return now;
    }

    @Override
    public long bootMillis() {
        return now;
    }
}
