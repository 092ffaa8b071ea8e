package io.sesamehead.daemon.runtime;

import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT. A shutdown hook is not sufficient: the JVM starts its hooks on the first signal and ignores
 * a second one, which must end the graceful stop early.
 */
final class ShutdownSignals {
    private ShutdownSignals() {}

    static void install(Runnable action) {
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(new Signal(name), signal -> action.run());
        }
    }
}
