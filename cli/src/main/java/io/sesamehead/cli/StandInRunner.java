package io.sesamehead.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

/** What the stand-in commands have in common. */
final class StandInRunner {
    private StandInRunner() {}

    /** Announces the address, then waits; SIGTERM ends the process. */
    static ExitCode untilStopped(String kind, InetSocketAddress address, Console console) throws InterruptedException {
        console.print("stand-in " + kind + " listens on " + address.getHostString() + ":" + address.getPort());
        new CountDownLatch(1).await();
        return ExitCode.DONE;
    }

    static CommandException cannotListen(InetSocketAddress address, IOException cause) {
        return new CommandException(
                ExitCode.FAILED,
                "cannot listen on " + address.getHostString() + ":" + address.getPort() + ": " + cause.getMessage());
    }
}
