package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import java.util.function.IntConsumer;

/**
 * Ends the process when its event loop has ended, for example because memory was exhausted. Without it, the process
 * would keep its connections and answer nothing; after its end it is started again, and callers turn to other daemons.
 */
final class EventLoopGuard {
    /** Exit code of a process whose event loop has ended. */
    static final int EXIT_CODE = 3;

    private final EventLog log;
    private final IntConsumer exit;

    /**
     * Creates a guard.
     *
     * @param exit ends the process with a code
     */
    EventLoopGuard(EventLog log, IntConsumer exit) {
        this.log = log;
        this.exit = exit;
    }

    void watch(EventLoop loop) {
        loop.terminationFuture().addListener(ended -> {
            log.write(EventLog.Component.DAEMON, "event-loop-ended", "exit_code", EXIT_CODE);
            log.flush();
            exit.accept(EXIT_CODE);
        });
    }
}
