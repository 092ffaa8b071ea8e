package io.sesamehead.entry.runtime;

/** Clocks whose time is set by a test. */
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
