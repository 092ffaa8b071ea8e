package io.sesamehead.daemon.runtime;

import sun.misc.Signal;

/**
 * Delivers SIGTERM and SIGINT to a daemon. A shutdown hook would not do: the JVM starts its hooks at the first signal
 * and ignores a second one, which is to end the stop sooner.
 */
final class ShutdownSignals {
    private ShutdownSignals() {}

    static void install(Runnable action) {
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(new Signal(name), signal -> action.run());
        }
    }
}
